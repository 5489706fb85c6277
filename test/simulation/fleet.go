package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/test/history"
	"tansyseam/test/standin"
)

// Plant is a defect put on purpose into what surrounds the product's
// machines, to show that the checks see it.
type Defects struct {
	// IsLeaseless: every lease that a node hears is a hundred times longer.
	OverlongLeases bool
	// IsForgetful: other nodes' records of goes seem to be blank.
	BlankIdempotencyRecords bool
	// IsLyingAhead: replicas seem to hold all that their primary holds.
	InflatedReplicaPositions bool
	// IsLyingBehind: primaries seem to stand where they stood 4 s before.
	OutdatedPrimaryPositions bool
	// IsWorstReplica: duties promote the replica that is furthest behind.
	PromoteWorstReplica bool
	// IsResending: a request is sent again when its answer is lost.
	ResendUnanswered bool
	// IsStubborn: nobody hears an instance say that it is leaving.
	IgnoreLeaving bool
	// IsUnclean: instances call connections with state clean.
	DirtyConnections bool
	// IsHasty: a planned stop does not wait for what was passed on.
	AbruptStop bool
	// IsTwisted: the control primary writes other bindings than it was sent.
	AlteredBindings bool
	// IsReadAnywhere: a control machine answers reads also without primacy.
	ReadWithoutPrimacy bool
}

// Shape is the size of a simulated fleet.
type Config struct {
	Controls  int
	Nodes     int
	Databases int
	Callers   int
	// Connections and Slots are those of each instance.
	Connections, Slots int
	// Span is how long faults are brought about; Tail follows without any.
	FaultDuration, RecoveryDuration time.Duration
	// Only, where given, names the troubles that may come, and Longest is
	// the longest that one lasts.
	AllowedFaults    []string
	MaxFaultDuration time.Duration
	// Calm is how long callers are served before the first fault.
	WarmUp time.Duration
	// IsDiced: callers choose each act by dice, and go on in a transaction
	// whose end was not carried out, as they did when some of the kept seeds
	// were found. They else choose each tenth of their acts once in ten, in an
	// order of chance, so that what is asked stays level, and leave.
	IndependentDraws bool
	// Script, where given, is played in place of random troubles.
	Script func(*fleet)
}

// Magnolia is the simulated desk-booking fleet.
func SmallConfig() Config {
	return Config{Controls: 3, Nodes: 5, Databases: 1, Callers: 24, Connections: 24, Slots: 4, WarmUp: 8 * time.Second, FaultDuration: 20 * time.Second, RecoveryDuration: 18 * time.Second}
}

// Chile is the simulated portability fleet.
func LargeConfig() Config {
	return Config{Controls: 5, Nodes: 4, Databases: 2, Callers: 24, Connections: 24, Slots: 4, WarmUp: 8 * time.Second, FaultDuration: 20 * time.Second, RecoveryDuration: 18 * time.Second}
}

var zones = []string{"za", "zb", "zc"}

type fleet struct {
	simulator *simulator
	defects   Defects
	config    Config
	controls  []*controlServer
	// gone are the control machines that were removed for good.
	removedControls []*controlServer
	// acknowledged is the newest sequence that an answer kept has told, reads counts
	// the answers to reads of the newest set.
	acknowledgedSequence uint64
	answeredReads        int
	nodes                []*node
	instances            []*instance
	databases            []string
	platform             *platform
	events               []standin.Event
	restarts             []history.Restart
	submittedSets        []history.SubmittedSet
	servedSets           []history.ServedSet
	setAnswers           []history.SetAnswer
	quietSpans           []history.Span
	outstanding          map[uint64]standin.Event
	lastRequest          uint64
	acceptedSets         []history.AcceptedSet
	closedFaults         []history.ClosedFault
	violations           []string
	newestSequence       uint64
	loadFactor           float64
	removedNodes         map[string]bool
	knownServedSets      map[string]bool
	faultPhases          map[string]int
	followUpsLeft        int

	modelsWindows bool
	windowUpdates int
	maxWindow     float64

	replacingInstances bool
	repaired           bool

	lines *lineFleet
}

func (f *fleet) findControl(name string) *controlServer {
	for _, one := range slices.Concat(f.controls, f.removedControls) {
		if one.name == name {
			return one
		}
	}
	return nil
}

func (f *fleet) findNode(name string) *node {
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	if at < 0 {
		return nil
	}
	return f.nodes[at]
}

func (f *fleet) findInstance(name string) *instance {
	at := slices.IndexFunc(f.instances, func(x *instance) bool { return x.name == name })
	if at < 0 {
		return nil
	}
	return f.instances[at]
}

func (f *fleet) addViolation(format string, parts ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, parts...))
}

func (f *fleet) crashAndRestart(m *machine, start func(), span time.Duration) {
	if !m.running {
		return
	}
	m.crash()
	f.simulator.after(span, func() {
		if !m.running {
			start()
		}
	})
}

func (f *fleet) newMachine(name string) machine {
	w := f.simulator
	return machine{simulator: w, name: name, clockDrift: (w.random.Float64() - 0.5) * 0.004, wallClockSkew: w.randomDuration(0, 20*time.Millisecond)}
}

func (f *fleet) addNode() *node {
	one := &node{machine: f.newMachine(fmt.Sprintf("d%d", len(f.nodes)+1)), fleet: f, weight: 1}
	one.zone, one.crashHandler = zones[len(f.nodes)%len(zones)], one.onCrash
	f.nodes = append(f.nodes, one)
	return one
}

func newFleet(seed uint64, shape Config, defects Defects) *fleet {
	w := newSimulator(seed)
	f := &fleet{simulator: w, defects: defects, config: shape, outstanding: map[uint64]standin.Event{}, loadFactor: 1, removedNodes: map[string]bool{}, knownServedSets: map[string]bool{}, faultPhases: map[string]int{}, followUpsLeft: 4}
	make_ := f.newMachine
	for at := range shape.Controls {
		f.controls = append(f.controls, &controlServer{machine: make_(fmt.Sprintf("c%d", at+1)), fleet: f, disk: newDisk()})
	}
	for range shape.Nodes {
		f.addNode()
	}
	for at := range shape.Databases {
		database := fmt.Sprintf("db%d", at+1)
		f.databases = append(f.databases, database)
		var primary *instance
		for rank := range 3 {
			name := fmt.Sprintf("%s-%c", database, 'a'+rank)
			one := &instance{
				machine: make_(name), fleet: f, database: database, role: model.RoleReplica, term: 1, incarnationName: name + ".0",
				upstream: primary, replicationDelay: 2 * time.Millisecond, serviceTime: 8 * time.Millisecond,
			}
			one.zone, one.claimsClean = zones[rank], defects.DirtyConnections
			one.crashHandler = one.onCrash
			if rank == 0 {
				one.role, primary = model.RolePrimary, one
			}
			f.instances = append(f.instances, one)
		}
	}
	f.platform = &platform{machine: make_("platform"), fleet: f}
	f.platform.running = true
	for _, one := range f.instances {
		one.start()
	}
	for _, one := range f.controls {
		one.start()
	}
	for _, one := range f.nodes {
		one.start()
	}
	return f
}

func newBindings(databases []string, id string) []model.Binding {
	list := []model.Binding{{Name: "mark-" + id, Database: databases[0]}}
	for _, database := range databases {
		for _, bound := range stalenessBoundsMS {
			list = append(list, model.Binding{Name: bindingName(database, bound), Database: database, Freshness: time.Duration(bound) * time.Millisecond})
		}
	}
	return list
}

var stalenessBoundsMS = []int{0, 1500, 2500}

func bindingName(database string, bound int) string { return fmt.Sprintf("%s-%d", database, bound) }

func bindingsContent(bindings []model.Binding) string {
	content := ""
	for _, one := range bindings {
		content += fmt.Sprintf("%s=%s/%d ", one.Name, one.Database, one.Freshness.Milliseconds())
	}
	return content
}

func (f *fleet) recordServedSets(where string, sets []model.BindingSet) {
	for _, set := range sets {
		content := bindingsContent(set.Bindings)
		key := fmt.Sprint(set.Sequence, content)
		if !f.knownServedSets[key] {
			f.knownServedSets[key] = true
			f.servedSets = append(f.servedSets, history.ServedSet{Node: where, Sequence: set.Sequence, Content: content, At: int64(f.simulator.now)})
		}
	}
}

func (f *fleet) submitSet(id string, expected uint64, due int64) {
	operator := &machine{simulator: f.simulator, name: "operator", running: true}
	for _, control := range f.controls {
		if !control.running || control.frozen || !control.isPrimary() {
			continue
		}
		set := newBindings(f.databases, id)
		f.submittedSets = append(f.submittedSets, history.SubmittedSet{ID: id, Content: bindingsContent(set), EffectiveAt: due - wallClockEpoch, Scheduled: due != 0, At: int64(f.simulator.now)})
		f.simulator.send(operator, &control.machine, func() { f.handleSet(operator, control, id, expected, due, set) })
		return
	}
}

func (f *fleet) handleSet(operator *machine, control *controlServer, id string, expected uint64, due int64, set []model.Binding) {
	if !control.isPrimary() {
		return
	}
	if f.defects.AlteredBindings {
		set = set[:len(set)-1]
	}
	sequence, conflict := uint64(0), false
	control.submit(func(held *store.Table) []store.Put {
		if past, isPast := callresult.Find(held, id); isPast {
			sequence = uint64(past.Status)
			return nil
		}
		if due != 0 {
			puts, err := rollout.Schedule(held, id, due, set, control.wallNow())
			if err != nil {
				conflict = true
				return nil
			}
			return callresult.Record(held, id, callresult.Result{}, puts)
		}
		puts, err := rollout.AcceptBindings(held, expected, set, id, control.wallNow())
		var stale *rollout.SequenceError
		if errors.As(err, &stale) {
			conflict, sequence = true, stale.Newest
			return nil
		}
		sequence = expected + 1
		return callresult.Record(held, id, callresult.Result{Status: int(sequence)}, puts)
	}, func(done consensus.SubmitResult) {
		f.simulator.send(&control.machine, operator, func() {
			f.simulator.record("operator: %s on %d kept %v conflict %v sequence %d", id, expected, done.Committed, conflict, sequence)
			f.newestSequence = max(f.newestSequence, sequence)
			if done.Committed {
				f.acknowledgedSequence = max(f.acknowledgedSequence, sequence)
			}
			told := history.SetAnswer{ID: id, At: int64(f.simulator.now), Sequence: sequence, Refused: conflict}
			if conflict || (done.Committed && (due != 0 || sequence > 0)) {
				f.setAnswers = append(f.setAnswers, told)
			}
			if done.Committed && !conflict && due == 0 && sequence > 0 {
				f.acceptedSets = append(f.acceptedSets, history.AcceptedSet{Sequence: sequence, AcknowledgedAt: int64(f.simulator.now)})
			}
		})
	})
}

func (f *fleet) recordRestart(n *node, from time.Duration) {
	f.restarts = append(f.restarts, history.Restart{Address: n.name, From: int64(from), Until: int64(f.simulator.now)})
}

// Result is what one simulated run showed.
type Result struct {
	Seed          uint64
	Violations    map[string][]string
	Events        int
	Writes        int
	Reads         int
	HistoryDigest string
	Terms         uint64
	Epochs        uint64
	// Met counts how often each trouble met each phase.
	FaultPhases map[string]int
}

// Run simulates one seed. Log, where given, hears every line of the history.
func Run(seed uint64, shape Config, defects Defects, log func(string, ...any)) Result {
	f := newFleet(seed, shape, defects)
	if log != nil {
		f.simulator.log = log
	}
	w := f.simulator
	start := w.now
	w.runUntil(start + 1500*time.Millisecond)
	for range 10 {
		f.submitSet("first", 0, 0)
		w.runUntil(w.now + 300*time.Millisecond)
	}
	w.runUntil(start + 5500*time.Millisecond)
	f.startCallers(seed)
	calm := w.now
	w.runUntil(calm + shape.WarmUp)
	before := w.now
	if shape.Script != nil {
		shape.Script(f)
	} else {
		f.injectFaultsUntil(w.now + shape.FaultDuration)
	}
	f.submitSetsUntil(w.now + shape.FaultDuration + 2*time.Second)
	f.checkReadsUntil(w.now + shape.FaultDuration + 2*time.Second)
	f.checkSinglePrimary(w.now + shape.FaultDuration + shape.RecoveryDuration)
	w.runUntil(w.now + shape.FaultDuration)
	if shape.Script == nil {
		f.repairAll()
	}
	f.endFaultPhase()
	f.quietSpans = append(f.quietSpans, history.Span{From: int64(calm + 500*time.Millisecond), Until: int64(before)})
	f.quietSpans = append(f.quietSpans, history.Span{From: int64(w.now + 12*time.Second), Until: int64(w.now + shape.RecoveryDuration)})
	f.closedFaults = append(f.closedFaults, history.ClosedFault{
		Name: "all faults", BeforeFrom: int64(calm + 500*time.Millisecond), BeforeUntil: int64(before), At: int64(w.now),
	})
	w.runUntil(w.now + shape.RecoveryDuration)
	return f.result(seed)
}

func (f *fleet) result(seed uint64) Result {
	evidence := history.Evidence{
		Events: f.events, Logs: map[string]map[string][]standin.Entry{}, Writers: map[string]string{}, AcceptedSets: f.acceptedSets, ClosedFaults: f.closedFaults,
		Restarts: f.restarts, SubmittedSets: f.submittedSets, ServedSets: f.servedSets, SetAnswers: f.setAnswers, End: int64(f.simulator.now), QuietSpans: f.quietSpans,
	}
	for _, event := range f.outstanding {
		event.Outcome, event.Got = "cut", int64(f.simulator.now)
		evidence.Events = append(evidence.Events, event)
	}
	result := Result{Seed: seed, FaultPhases: f.faultPhases}
	var best *node
	for _, one := range f.nodes {
		if one.running && (best == nil || best.pool.Routing().Version().IsBefore(one.pool.Routing().Version())) {
			best = one
		}
	}
	for _, one := range f.instances {
		if evidence.Logs[one.database] == nil {
			evidence.Logs[one.database] = map[string][]standin.Entry{}
		}
		evidence.Logs[one.database][one.name] = one.entries
		evidence.Executions = append(evidence.Executions, one.executions...)
		if writer := best.pool.Routing().WriterRole(one.database); writer.Primary != "" {
			evidence.Writers[one.database] = writer.Primary
			result.Terms = max(result.Terms, writer.Term)
		}
	}
	for _, event := range f.events {
		result.Events++
		if event.Outcome == "kept" {
			result.Writes++
		}
		if event.Outcome == "read" {
			result.Reads++
		}
	}
	for _, control := range f.controls {
		if control.consensus != nil {
			result.Epochs = max(result.Epochs, control.consensus.Record().Epoch)
		}
	}
	result.Violations = history.Violations(evidence)
	if len(f.violations) > 0 {
		result.Violations["simulation"] = f.violations
	}
	result.HistoryDigest = fmt.Sprintf("%x", f.simulator.trace.Sum(nil))
	return result
}

// instanceNames lists the instances in the order of their making.
func (f *fleet) instanceNames() []string {
	var names []string
	for _, one := range f.instances {
		names = append(names, one.name)
	}
	if f.lines != nil {
		for _, one := range f.lines.lineInstances {
			names = append(names, one.name)
		}
	}
	return names
}
