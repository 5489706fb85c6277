package simulation

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/test/history"
	"tansyseam/test/standin"
)

// Plant is a defect put on purpose into what surrounds the product's
// machines, to show that the checks see it.
type Plant struct {
	// IsLeaseless: every lease that a node hears is a hundred times longer.
	IsLeaseless bool
	// IsForgetful: other nodes' records of goes seem to be blank.
	IsForgetful bool
	// IsLyingAhead: replicas seem to hold all that their primary holds.
	IsLyingAhead bool
	// IsLyingBehind: primaries seem to stand where they stood 4 s before.
	IsLyingBehind bool
	// IsWorstReplica: duties promote the replica that is furthest behind.
	IsWorstReplica bool
	// IsResending: a request is sent again when its answer is lost.
	IsResending bool
	// IsStubborn: nobody hears an instance say that it is leaving.
	IsStubborn bool
	// IsUnclean: instances call connections with state clean.
	IsUnclean bool
	// IsHasty: a planned stop does not wait for what was passed on.
	IsHasty bool
	// IsTwisted: the control primary writes other bindings than it was sent.
	IsTwisted bool
	// IsReadAnywhere: a control machine answers reads also without primacy.
	IsReadAnywhere bool
}

// Shape is the size of a simulated fleet.
type Shape struct {
	Controls  int
	Nodes     int
	Databases int
	Callers   int
	// Connections and Slots are those of each instance.
	Connections, Slots int
	// Span is how long faults are brought about; Tail follows without any.
	Span, Tail time.Duration
	// Only, where given, names the troubles that may come, and Longest is
	// the longest that one lasts.
	Only    []string
	Longest time.Duration
	// Calm is how long callers are served before the first fault.
	Calm time.Duration
	// IsDiced: callers choose each act by dice, and go on in a transaction
	// whose end was not carried out, as they did when some of the kept seeds
	// were found. They else choose each tenth of their acts once in ten, in an
	// order of chance, so that what is asked stays level, and leave.
	IsDiced bool
	// Script, where given, is played in place of random troubles.
	Script func(*fleet)
}

// Magnolia is the simulated desk-booking fleet.
func Magnolia() Shape {
	return Shape{Controls: 3, Nodes: 5, Databases: 1, Callers: 24, Connections: 24, Slots: 4, Calm: 8 * time.Second, Span: 20 * time.Second, Tail: 18 * time.Second}
}

// Chile is the simulated portability fleet.
func Chile() Shape {
	return Shape{Controls: 5, Nodes: 4, Databases: 2, Callers: 24, Connections: 24, Slots: 4, Calm: 8 * time.Second, Span: 20 * time.Second, Tail: 18 * time.Second}
}

var zones = []string{"za", "zb", "zc"}

type fleet struct {
	world    *world
	plant    Plant
	shape    Shape
	controls []*control
	// gone are the control machines that were removed for good.
	gone []*control
	// acknowledged is the newest sequence that an answer kept has told, reads counts
	// the answers to reads of the newest set.
	acknowledged uint64
	reads        int
	nodes        []*node
	instances    []*instance
	databases    []string
	platform     *platform
	events       []standin.Event
	restarts     []history.Restart
	sent         []history.Sent
	seen         []history.Seen
	told         []history.Told
	calm         []history.Span
	out          map[uint64]standin.Event
	outs         uint64
	puts         []history.Put
	closings     []history.Closing
	faults       []string
	sequence     uint64
	rush         float64
	removed      map[string]bool
	isSeen       map[string]bool
	met          map[string]int
	ambushes     int

	isMirrored bool
	moves      int
	widest     float64

	isReplacing bool
	isMended    bool

	lines *lines
}

func (f *fleet) controlBy(name string) *control {
	for _, one := range slices.Concat(f.controls, f.gone) {
		if one.name == name {
			return one
		}
	}
	return nil
}

func (f *fleet) nodeBy(name string) *node {
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	if at < 0 {
		return nil
	}
	return f.nodes[at]
}

func (f *fleet) instanceBy(name string) *instance {
	at := slices.IndexFunc(f.instances, func(x *instance) bool { return x.name == name })
	if at < 0 {
		return nil
	}
	return f.instances[at]
}

func (f *fleet) miss(format string, parts ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, parts...))
}

func (f *fleet) bounce(m *machine, start func(), span time.Duration) {
	if !m.isUp {
		return
	}
	m.crash()
	f.world.after(span, func() {
		if !m.isUp {
			start()
		}
	})
}

func (f *fleet) machine(name string) machine {
	w := f.world
	return machine{world: w, name: name, drift: (w.random.Float64() - 0.5) * 0.004, skew: w.between(0, 20*time.Millisecond)}
}

func (f *fleet) addNode() *node {
	one := &node{machine: f.machine(fmt.Sprintf("d%d", len(f.nodes)+1)), fleet: f, beta: 1}
	one.zone, one.crashed = zones[len(f.nodes)%len(zones)], one.onCrash
	f.nodes = append(f.nodes, one)
	return one
}

func newFleet(seed uint64, shape Shape, plant Plant) *fleet {
	w := newWorld(seed)
	f := &fleet{world: w, plant: plant, shape: shape, out: map[uint64]standin.Event{}, rush: 1, removed: map[string]bool{}, isSeen: map[string]bool{}, met: map[string]int{}, ambushes: 4}
	make_ := f.machine
	for at := range shape.Controls {
		f.controls = append(f.controls, &control{machine: make_(fmt.Sprintf("c%d", at+1)), fleet: f, disk: newDisk()})
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
				machine: make_(name), fleet: f, database: database, role: model.RoleReplica, term: 1, birth: name + ".0",
				upstream: primary, delay: 2 * time.Millisecond, service: 8 * time.Millisecond,
			}
			one.zone, one.isLying = zones[rank], plant.IsUnclean
			one.crashed = one.onCrash
			if rank == 0 {
				one.role, primary = model.RolePrimary, one
			}
			f.instances = append(f.instances, one)
		}
	}
	f.platform = &platform{machine: make_("platform"), fleet: f}
	f.platform.isUp = true
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

func bindings(databases []string, id string) []model.Binding {
	list := []model.Binding{{Name: "mark-" + id, Database: databases[0]}}
	for _, database := range databases {
		for _, bound := range bounds {
			list = append(list, model.Binding{Name: bindingOf(database, bound), Database: database, Freshness: time.Duration(bound) * time.Millisecond})
		}
	}
	return list
}

var bounds = []int{0, 1500, 2500}

func bindingOf(database string, bound int) string { return fmt.Sprintf("%s-%d", database, bound) }

func contentOf(bindings []model.Binding) string {
	content := ""
	for _, one := range bindings {
		content += fmt.Sprintf("%s=%s/%d ", one.Name, one.Database, one.Freshness.Milliseconds())
	}
	return content
}

func (f *fleet) took(where string, sets []model.Set) {
	for _, set := range sets {
		content := contentOf(set.Bindings)
		key := fmt.Sprint(set.Sequence, content)
		if !f.isSeen[key] {
			f.isSeen[key] = true
			f.seen = append(f.seen, history.Seen{Node: where, Sequence: set.Sequence, Content: content, At: int64(f.world.now)})
		}
	}
}

func (f *fleet) operate(id string, expected uint64, due int64) {
	operator := &machine{world: f.world, name: "operator", isUp: true}
	for _, disk := range f.controls {
		if !disk.isUp || disk.isFrozen || !disk.isPrimary() {
			continue
		}
		set := bindings(f.databases, id)
		f.sent = append(f.sent, history.Sent{ID: id, Content: contentOf(set), Due: due - wallBase, IsBooked: due != 0, At: int64(f.world.now)})
		f.world.send(operator, &disk.machine, func() { f.put(operator, disk, id, expected, due, set) })
		return
	}
}

func (f *fleet) put(operator *machine, disk *control, id string, expected uint64, due int64, set []model.Binding) {
	if !disk.isPrimary() {
		return
	}
	if f.plant.IsTwisted {
		set = set[:len(set)-1]
	}
	sequence, isConflict := uint64(0), false
	disk.submit(func(held *store.Table) []store.Put {
		if past, isPast := distribution.Past(held, id); isPast {
			sequence = uint64(past.Status)
			return nil
		}
		if due != 0 {
			puts, _ := distribution.BookSet(held, id, due, set, disk.wallNow())
			if len(puts) == 0 {
				isConflict = true
				return nil
			}
			return distribution.Keep(held, id, distribution.Outcome{}, puts)
		}
		puts, newest := distribution.PutSet(held, expected, set, id, disk.wallNow())
		if len(puts) == 0 {
			isConflict, sequence = true, newest
			return nil
		}
		sequence = newest + 1
		return distribution.Keep(held, id, distribution.Outcome{Status: int(sequence)}, puts)
	}, func(done consensus.Answer) {
		f.world.send(&disk.machine, operator, func() {
			f.world.note("operator: %s on %d kept %v conflict %v sequence %d", id, expected, done.IsKept, isConflict, sequence)
			f.sequence = max(f.sequence, sequence)
			if done.IsKept {
				f.acknowledged = max(f.acknowledged, sequence)
			}
			told := history.Told{ID: id, At: int64(f.world.now), Sequence: sequence, IsRefused: isConflict}
			if isConflict || (done.IsKept && (due != 0 || sequence > 0)) {
				f.told = append(f.told, told)
			}
			if done.IsKept && !isConflict && due == 0 && sequence > 0 {
				f.puts = append(f.puts, history.Put{Sequence: sequence, Told: int64(f.world.now)})
			}
		})
	})
}

func (f *fleet) restarted(n *node, from time.Duration) {
	f.restarts = append(f.restarts, history.Restart{Door: n.name, From: int64(from), Until: int64(f.world.now)})
}

// Result is what one simulated run showed.
type Result struct {
	Seed   uint64
	Faults map[string][]string
	Events int
	Kept   int
	Reads  int
	Trace  string
	Terms  uint64
	Epochs uint64
	// Met counts how often each trouble met each phase.
	Met map[string]int
}

// Run simulates one seed. Log, where given, hears every line of the history.
func Run(seed uint64, shape Shape, plant Plant, log func(string, ...any)) Result {
	f := newFleet(seed, shape, plant)
	if log != nil {
		f.world.log = log
	}
	w := f.world
	start := w.now
	w.runUntil(start + 1500*time.Millisecond)
	for range 10 {
		f.operate("first", 0, 0)
		w.runUntil(w.now + 300*time.Millisecond)
	}
	w.runUntil(start + 5500*time.Millisecond)
	f.startCallers(seed)
	calm := w.now
	w.runUntil(calm + shape.Calm)
	before := w.now
	if shape.Script != nil {
		shape.Script(f)
	} else {
		f.trouble(w.now + shape.Span)
	}
	f.operateAlong(w.now + shape.Span + 2*time.Second)
	f.readAlong(w.now + shape.Span + 2*time.Second)
	f.watchPrimacy(w.now + shape.Span + shape.Tail)
	w.runUntil(w.now + shape.Span)
	if shape.Script == nil {
		f.mend()
	}
	f.rest()
	f.calm = append(f.calm, history.Span{From: int64(calm + 500*time.Millisecond), Until: int64(before)})
	f.calm = append(f.calm, history.Span{From: int64(w.now + 12*time.Second), Until: int64(w.now + shape.Tail)})
	f.closings = append(f.closings, history.Closing{
		Name: "all faults", BeforeFrom: int64(calm + 500*time.Millisecond), BeforeUntil: int64(before), At: int64(w.now),
	})
	w.runUntil(w.now + shape.Tail)
	return f.result(seed)
}

func (f *fleet) result(seed uint64) Result {
	evidence := history.Evidence{
		Events: f.events, Logs: map[string]map[string][]standin.Entry{}, Writer: map[string]string{}, Puts: f.puts, Closings: f.closings,
		Restarts: f.restarts, Sent: f.sent, Seen: f.seen, Told: f.told, End: int64(f.world.now), Calm: f.calm,
	}
	for _, event := range f.out {
		event.Outcome, event.Got = "cut", int64(f.world.now)
		evidence.Events = append(evidence.Events, event)
	}
	result := Result{Seed: seed, Met: f.met}
	var best *node
	for _, one := range f.nodes {
		if one.isUp && (best == nil || best.hall.Serve().Stamp().IsBefore(one.hall.Serve().Stamp())) {
			best = one
		}
	}
	for _, one := range f.instances {
		if evidence.Logs[one.database] == nil {
			evidence.Logs[one.database] = map[string][]standin.Entry{}
		}
		evidence.Logs[one.database][one.name] = one.entries
		evidence.Ran = append(evidence.Ran, one.ran...)
		if writer := best.hall.Serve().Writer(one.database); writer.Primary != "" {
			evidence.Writer[one.database] = writer.Primary
			result.Terms = max(result.Terms, writer.Term)
		}
	}
	for _, event := range f.events {
		result.Events++
		if event.Outcome == "kept" {
			result.Kept++
		}
		if event.Outcome == "read" {
			result.Reads++
		}
	}
	for _, disk := range f.controls {
		if disk.epoch != nil {
			result.Epochs = max(result.Epochs, disk.epoch.Record().Epoch)
		}
	}
	result.Faults = history.All(evidence)
	if len(f.faults) > 0 {
		result.Faults["simulation"] = f.faults
	}
	result.Trace = fmt.Sprintf("%x", f.world.trace.Sum(nil))
	return result
}

// instanceNames lists the instances in the order of their making.
func (f *fleet) instanceNames() []string {
	var names []string
	for _, one := range f.instances {
		names = append(names, one.name)
	}
	if f.lines != nil {
		for _, one := range f.lines.servers {
			names = append(names, one.name)
		}
	}
	return names
}
