package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"tansyseam/test/history"
	"tansyseam/test/standin"
)

// Run is one scenario under way.
type Run struct {
	*Fleet
	Callers *standin.Callers
	Proof   *history.Evidence
	Began   time.Time
	Notes   []string
	Faults  []string
}

// Scenario brings about one fault, or one change, under load.
type Scenario struct {
	Name    string
	About   string
	Options Options
	Act     func(*Run)
	// Tail is how long the load goes on afterwards.
	Tail time.Duration
	// Planted names the rule that this run must break: its defect is put in
	// on purpose, to show that load and checkers would see it.
	Planted string
}

// Note writes down a figure or event of the run.
func (r *Run) Note(format string, parts ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf("%6.2f s  ", time.Since(r.Began).Seconds())+fmt.Sprintf(format, parts...))
}

// Miss notes something that should have been so.
func (r *Run) Miss(format string, parts ...any) {
	r.Faults = append(r.Faults, fmt.Sprintf(format, parts...))
}

// Hold lets load run for a while.
func (r *Run) Hold(span time.Duration) { time.Sleep(span) }

// Put puts the mix's bindings again, with a changed freshness, as the next
// sequence.
func (r *Run) Put(expected uint64) uint64 {
	bindings := r.Shape.Mix.Bindings()
	id := fmt.Sprintf("put-%d-%d", expected, time.Now().UnixNano())
	for range 5 {
		code, raw, err := r.PutBindings(id, expected, bindings)
		var answer struct {
			Sequence uint64 `json:"sequence"`
		}
		if err == nil && code == http.StatusOK && json.Unmarshal(raw, &answer) == nil {
			r.Proof.AcceptedSets = append(r.Proof.AcceptedSets, history.AcceptedSet{Sequence: answer.Sequence, AcknowledgedAt: time.Now().UnixNano()})
			return answer.Sequence
		}
		r.Note("put answered %d %s", code, raw)
		time.Sleep(300 * time.Millisecond)
	}
	r.Miss("no set could be put on %d", expected)
	return expected
}

// Closed notes the end of a fault.
func (r *Run) Closed(name string, from, until time.Time) {
	r.Proof.ClosedFaults = append(r.Proof.ClosedFaults, history.ClosedFault{
		Name: name, BeforeFrom: from.UnixNano(), BeforeUntil: until.UnixNano(), At: time.Now().UnixNano(),
	})
}

// Primary names the process of a database's primary, as the nodes hold it.
func (r *Run) Primary(database string) *Process {
	for _, front := range r.Fronts {
		if writer, isKnown := r.Writers(front.Door)[database]; isKnown {
			return r.Find(writer.Primary)
		}
	}
	return nil
}

// AwaitTerm waits until a database's role is open in a term past one.
func (r *Run) AwaitTerm(database string, past uint64, bound time.Duration) (Writer, bool) {
	var writer Writer
	isOpen := Until(bound, func() bool {
		for _, front := range r.Fronts {
			writer = r.Writers(front.Door)[database]
			if writer.Term > past && writer.Phase == "open" {
				return true
			}
		}
		return false
	})
	return writer, isOpen
}

// Control names the process that is control primary.
func (r *Run) Control() *Process {
	for _, disk := range r.Disks {
		_, raw, err := r.Post(disk.Door, "/v1/fleet", map[string]any{})
		var view struct {
			Primacy bool `json:"primacy"`
		}
		if err == nil && json.Unmarshal(raw, &view) == nil && view.Primacy {
			return disk
		}
	}
	return nil
}

// Epoch asks a disk machine for the epoch record.
func (r *Run) Epoch(disk *Process) (epoch uint64, primary, backup string) {
	_, raw, err := r.Post(disk.Door, "/v1/vitals", map[string]any{})
	var vitals struct {
		Epoch   uint64 `json:"epoch"`
		Primary string `json:"primary"`
		Backup  string `json:"backup"`
	}
	if err == nil {
		_ = json.Unmarshal(raw, &vitals)
	}
	return vitals.Epoch, vitals.Primary, vitals.Backup
}

func ptr[T any](value T) *T { return &value }

const database0 = 0

func (r *Run) database() string { return r.Shape.Databases[database0] }

func (r *Run) failover(act func(*Process)) {
	from := time.Now()
	r.Hold(3 * time.Second)
	until := time.Now()
	old := r.Primary(r.database())
	if old == nil {
		r.Miss("no primary known")
		return
	}
	term := r.Writers(r.Fronts[0].Door)[r.database()].Term
	hit := time.Now()
	act(old)
	r.Note("%s hit", old.Name)
	writer, isOpen := r.AwaitTerm(r.database(), term, 20*time.Second)
	if !isOpen {
		r.Miss("no new term within 20 s: %+v", writer)
		return
	}
	r.Note("term %d open at %s after %d ms", writer.Term, writer.Primary, time.Since(hit).Milliseconds())
	r.Hold(2 * time.Second)
	old.Signal(syscall.SIGCONT)
	if old.Ended(10 * time.Millisecond) {
		if err := old.Start(r.Folder); err != nil {
			r.Miss("%v", err)
		}
	}
	r.Note("%s back", old.Name)
	r.Closed("primary lost", from, until)
}

// Scenarios lists the real-process runs.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", About: "load and nothing else", Act: func(r *Run) { r.Hold(4 * time.Second) }},
		{Name: "change", About: "sets put, booked, repeated, raced and broken", Act: actChange, Tail: 4 * time.Second},
		{Name: "restart", About: "planned restart of each front in turn", Act: actRestart, Tail: time.Second},
		{Name: "restart-slow", About: "a front stopped while long statements are out", Tail: 3 * time.Second, Act: func(r *Run) {
			_ = r.Fault(r.Primary(r.database()).Name, standin.Fault{Slow: ptr(200.0)})
			r.Hold(2 * time.Second)
			front := r.Fronts[0]
			from := time.Now()
			front.Signal(syscall.SIGTERM)
			if !front.Ended(8*time.Second) || front.Code() != 0 {
				r.Miss("%s did not end in good order", front.Name)
				front.Kill()
			}
			r.Note("stopped after %d ms", time.Since(from).Milliseconds())
			r.Proof.Restarts = append(r.Proof.Restarts, history.Restart{Address: front.Door, From: from.Add(-2 * time.Second).UnixNano(), Until: time.Now().UnixNano()})
			_ = r.Fault(r.Primary(r.database()).Name, standin.Fault{Slow: ptr(1.0)})
			_ = front.Start(r.Folder)
			if term := r.Writers(r.Fronts[1].Door)[r.database()].Term; term != 1 {
				r.Miss("a slow primary was taken for dead: term %d", term)
			}
		}},
		{Name: "front-kill", About: "a front killed and started again", Act: actFrontKill, Tail: 14 * time.Second},
		{Name: "primary-crash", About: "a primary killed; it returns later", Tail: 14 * time.Second, Act: func(r *Run) {
			r.failover(func(old *Process) { old.Kill() })
		}},
		{Name: "primary-dark", About: "a primary frozen, later thawed with writes in its sockets", Tail: 14 * time.Second, Act: func(r *Run) {
			r.failover(func(old *Process) { old.Signal(syscall.SIGSTOP) })
		}},
		{Name: "primary-swap", About: "a primary says it is leaving", Tail: 14 * time.Second, Act: func(r *Run) {
			r.failover(func(old *Process) { _ = r.Fault(old.Name, standin.Fault{IsLeave: ptr(true)}) })
		}},
		{Name: "primary-lost", About: "a primary vanishes for good and comes back blank", Tail: 14 * time.Second, Act: func(r *Run) {
			r.failover(func(old *Process) {
				old.Kill()
				_ = os.Rename(old.Data, old.Data+".gone")
			})
		}},
		{Name: "platform-bad", About: "a primary killed while the platform is slow, refuses, and loses its answer", Tail: 14 * time.Second, Act: func(r *Run) {
			r.Platform.Misbehave(700*time.Millisecond, 1, 1, false)
			r.failover(func(old *Process) { old.Kill() })
		}},
		{Name: "platform-cut", About: "a primary killed while the platform is cut off for 4 s", Tail: 14 * time.Second, Act: func(r *Run) {
			r.Platform.Misbehave(0, 0, 0, true)
			r.failover(func(old *Process) {
				old.Kill()
				go func() { time.Sleep(4 * time.Second); r.Platform.Misbehave(0, 0, 0, false) }()
			})
		}},
		{Name: "replica-lag", About: "a replica falls far behind while the primary dies", Tail: 14 * time.Second, Act: func(r *Run) {
			_ = r.Fault(r.database()+"-b", standin.Fault{DelayMS: ptr(4000)})
			r.Hold(3 * time.Second)
			r.failover(func(old *Process) { old.Kill() })
			_ = r.Fault(r.database()+"-b", standin.Fault{DelayMS: ptr(3)})
		}},
		{Name: "replica-crash", About: "a replica killed, back later", Tail: 6 * time.Second, Act: func(r *Run) {
			replica := r.Find(r.database() + "-c")
			replica.Kill()
			r.Hold(5 * time.Second)
			_ = replica.Start(r.Folder)
		}},
		{Name: "replace", About: "replicas replaced one after another", Tail: 3 * time.Second, Act: actReplace},
		{Name: "control-kill", About: "the control primary killed, back later", Tail: 3 * time.Second, Act: func(r *Run) {
			r.control(func(old *Process) { old.Kill() })
		}},
		{Name: "control-dark", About: "the control primary frozen, later thawed", Tail: 3 * time.Second, Act: func(r *Run) {
			r.control(func(old *Process) { old.Signal(syscall.SIGSTOP) })
		}},
		{Name: "control-disk", About: "the control primary loses its disk", Tail: 3 * time.Second, Act: func(r *Run) {
			r.control(func(old *Process) {
				old.Kill()
				_ = os.Rename(old.Data, old.Data+".gone")
			})
		}},
		{Name: "control-all", About: "all control machines gone for 4 s: the fleet holds", Tail: 6 * time.Second, Act: actControlAll},
		{Name: "rush", About: "eight times the callers' rate for 5 s", Tail: 14 * time.Second, Act: func(r *Run) {
			from := time.Now()
			r.Hold(3 * time.Second)
			until := time.Now()
			r.Callers.Rush(8)
			r.Hold(5 * time.Second)
			r.Callers.Rush(1)
			r.Closed("rush", from, until)
		}},
		{Name: "slow", About: "a primary and a replica ten times slower for 5 s", Tail: 14 * time.Second, Act: func(r *Run) {
			from := time.Now()
			r.Hold(3 * time.Second)
			until := time.Now()
			for _, name := range []string{r.Primary(r.database()).Name, r.database() + "-b"} {
				_ = r.Fault(name, standin.Fault{Slow: ptr(10.0)})
			}
			r.Hold(5 * time.Second)
			for _, name := range []string{r.Primary(r.database()).Name, r.database() + "-b"} {
				_ = r.Fault(name, standin.Fault{Slow: ptr(1.0)})
			}
			r.Closed("slow instances", from, until)
			if term := r.Writers(r.Fronts[0].Door)[r.database()].Term; term != 1 {
				r.Miss("a slow primary was taken for dead: term %d", term)
			}
		}},
		{Name: "lose", About: "answers lost after running, and sessions reset", Tail: 2 * time.Second, Act: func(r *Run) {
			for range 5 {
				_ = r.Fault(r.Primary(r.database()).Name, standin.Fault{Lose: ptr(5), Reset: ptr(5)})
				r.Hold(700 * time.Millisecond)
			}
		}},
		{Name: "silent", About: "a primary that answers but no longer announces", Tail: 2 * time.Second, Act: func(r *Run) {
			_ = r.Fault(r.Primary(r.database()).Name, standin.Fault{IsSilent: ptr(true)})
			r.Hold(5 * time.Second)
			if term := r.Writers(r.Fronts[0].Door)[r.database()].Term; term != 1 {
				r.Miss("a primary that answers was taken for dead: term %d", term)
			}
		}},
		{Name: "cut", About: "a front cut from the control primary, one way and both", Options: Options{HasRelays: true}, Tail: 4 * time.Second, Act: actCut},
		{Name: "drops", About: "links between the fleet's own processes reset and lose pieces", Options: Options{HasRelays: true}, Tail: 4 * time.Second, Act: func(r *Run) {
			for _, relay := range r.Relays {
				relay.Trouble(0, 0.01)
			}
			r.Put(1)
			r.Hold(4 * time.Second)
			r.Put(2)
			r.Hold(4 * time.Second)
			for _, relay := range r.Relays {
				relay.Trouble(0, 0)
				relay.Reset()
			}
		}},
		{Name: "zone", About: "all machines of one zone stopped, back after 5 s", Tail: 14 * time.Second, Act: actZone},
		{Name: "calls", About: "every call's answer against the schema, bad input of every kind, and the shell", Tail: time.Second, Act: actCalls},
		{Name: "settings", About: "settings changed with and without a signal, and broken", Options: Options{HasFiles: true}, Tail: time.Second, Act: actSettings},
		{Name: "grow", About: "a front added under load, another taken away", Tail: 2 * time.Second, Act: actGrow},
		{Name: "planted-kill", About: "fronts killed in the middle of work and called restarted as planned", Planted: "planned restart cuts a request off", Tail: time.Second, Act: func(r *Run) {
			for range 6 {
				front := r.Fronts[0]
				from := time.Now()
				front.Kill()
				r.Hold(50 * time.Millisecond)
				r.Proof.Restarts = append(r.Proof.Restarts, history.Restart{Address: front.Door, From: from.Add(-50 * time.Millisecond).UnixNano(), Until: time.Now().UnixNano()})
				_ = front.Start(r.Folder)
				Until(8*time.Second, func() bool { return r.Platform.Ready() >= len(r.Fronts) })
				r.Hold(400 * time.Millisecond)
			}
		}},
		{Name: "planted-unclean", About: "instances call sessions with state clean: other consumers must be seen to meet it", Planted: "statement in another's transaction or settings", Tail: time.Second, Act: func(r *Run) {
			for _, back := range r.Backs {
				_ = r.Fault(back.Name, standin.Fault{IsLying: ptr(true)})
			}
			r.Hold(4 * time.Second)
		}},
		{Name: "frozen-front", About: "a front frozen past its lease, thawed after changes", Tail: 4 * time.Second, Act: func(r *Run) {
			front := r.Fronts[len(r.Fronts)-1]
			front.Signal(syscall.SIGSTOP)
			r.Hold(500 * time.Millisecond)
			r.Put(1)
			r.Hold(3 * time.Second)
			front.Signal(syscall.SIGCONT)
			r.Hold(time.Second)
			r.Put(2)
		}},
	}
}

func (r *Run) control(act func(*Process)) {
	old := r.Control()
	if old == nil {
		r.Miss("no control primary")
		return
	}
	sequence := r.Put(1)
	epoch, _, _ := r.Epoch(old)
	hit := time.Now()
	act(old)
	r.Note("%s hit in epoch %d", old.Name, epoch)
	isOver := Until(15*time.Second, func() bool {
		for _, disk := range r.Disks {
			if disk == old {
				continue
			}
			if now, primary, backup := r.Epoch(disk); now > epoch && primary != old.Name && backup != "" {
				return true
			}
		}
		return false
	})
	if !isOver {
		r.Miss("no takeover with a backup brought in within 15 s")
		return
	}
	r.Note("taken over with a backup after %d ms", time.Since(hit).Milliseconds())
	sequence = r.Put(sequence)
	r.Hold(2 * time.Second)
	old.Signal(syscall.SIGCONT)
	if old.Ended(10 * time.Millisecond) {
		_ = old.Start(r.Folder)
	}
	r.Hold(3 * time.Second)
	r.Put(sequence)
}

func actChange(r *Run) {
	bindings := r.Shape.Mix.Bindings()
	r.Hold(time.Second)
	r.Put(1)
	raceCodes := make(chan int, 2)
	for at := range 2 {
		go func() {
			code, raw, _ := r.PutBindings(fmt.Sprintf("race-%d", at), 2, bindings)
			var answer struct {
				Sequence uint64 `json:"sequence"`
			}
			_ = json.Unmarshal(raw, &answer)
			raceCodes <- code
		}()
	}
	first, second := <-raceCodes, <-raceCodes
	r.Note("two operators on one sequence: %d and %d", first, second)
	if first+second != http.StatusOK+http.StatusConflict {
		r.Miss("one of two racing puts must be taken and one told of the conflict: %d, %d", first, second)
	}
	r.Proof.AcceptedSets = append(r.Proof.AcceptedSets, history.AcceptedSet{Sequence: 3, AcknowledgedAt: time.Now().UnixNano()})
	code, raw, _ := r.PutBindings("first", 0, bindings)
	if code != http.StatusOK || !strings.Contains(string(raw), `"sequence":1`) {
		r.Miss("a repeated call must get its first answer: %d %s", code, raw)
	}
	broken := append(append([]map[string]any(nil), bindings...), bindings[0], map[string]any{"name": "x", "database": "nowhere", "freshness_ms": 7})
	code, raw, _ = r.PutBindings("broken", 3, broken)
	if code != http.StatusUnprocessableEntity || strings.Count(string(raw), `"path"`) != 3 {
		r.Miss("a broken set must be refused with every reason: %d %s", code, raw)
	}
	for at := range 3 {
		due := time.Now().Add(time.Duration(1500+at*400) * time.Millisecond)
		code, raw, err := r.Post(r.Fronts[at%len(r.Fronts)].Door, "/v1/changes/book", map[string]any{
			"id": fmt.Sprintf("book-%d", at), "at_ms": due.UnixMilli(), "bindings": bindings,
		})
		if err != nil || code != http.StatusOK {
			r.Miss("booking %d: %d %s %v", at, code, raw, err)
		}
		r.Proof.AcceptedSets = append(r.Proof.AcceptedSets, history.AcceptedSet{Sequence: uint64(4 + at), AcknowledgedAt: time.Now().UnixNano(), EffectiveAt: due.UnixMilli() * 1e6})
	}
	isLanded := Until(8*time.Second, func() bool {
		_, raw, err := r.Post(r.Fronts[0].Door, "/v1/bindings/list", map[string]any{})
		return err == nil && strings.Contains(string(raw), `"sequence":6,`)
	})
	if !isLanded {
		r.Miss("three booked changes did not land")
	}
}

func actRestart(r *Run) {
	for _, front := range r.Fronts[:min(3, len(r.Fronts))] {
		from := time.Now()
		front.Signal(syscall.SIGTERM)
		if !front.Ended(8 * time.Second) {
			r.Miss("%s did not end within 8 s", front.Name)
			front.Kill()
		}
		r.Note("%s stopped with code %d after %d ms", front.Name, front.Code(), time.Since(from).Milliseconds())
		if front.Code() != 0 {
			r.Miss("%s ended with code %d", front.Name, front.Code())
		}
		r.Proof.Restarts = append(r.Proof.Restarts, history.Restart{Address: front.Door, From: from.UnixNano(), Until: time.Now().UnixNano()})
		r.Hold(500 * time.Millisecond)
		if err := front.Start(r.Folder); err != nil {
			r.Miss("%v", err)
		}
		if !Until(8*time.Second, func() bool { return r.Platform.Ready() >= len(r.Fronts) }) {
			r.Miss("%s not ready again", front.Name)
		}
		r.Note("%s ready again", front.Name)
	}
}

func actFrontKill(r *Run) {
	from := time.Now()
	r.Hold(3 * time.Second)
	until := time.Now()
	front := r.Fronts[0]
	front.Kill()
	r.Hold(500 * time.Millisecond)
	r.Put(1)
	r.Hold(2 * time.Second)
	if err := front.Start(r.Folder); err != nil {
		r.Miss("%v", err)
	}
	r.Closed("front killed", from, until)
}

func actReplace(r *Run) {
	for _, suffix := range []string{"-b", "-c"} {
		name := r.database() + suffix
		replica := r.Find(name)
		_ = r.Fault(name, standin.Fault{IsLeave: ptr(true)})
		r.Hold(4 * time.Second)
		replica.Signal(syscall.SIGTERM)
		replica.Ended(3 * time.Second)
		_ = os.Rename(replica.Data, replica.Data+".gone")
		_ = replica.Start(r.Folder)
		isBack := Until(15*time.Second, func() bool {
			return len(r.Writers(r.Fronts[0].Door)[r.database()].Candidates) == r.Shape.Instances-1
		})
		if !isBack {
			r.Miss("%s is no candidate again: %+v", name, r.Writers(r.Fronts[0].Door)[r.database()])
		}
		r.Note("%s replaced", name)
	}
}

func actControlAll(r *Run) {
	for _, disk := range r.Disks {
		disk.Kill()
	}
	r.Hold(4 * time.Second)
	for _, disk := range r.Disks {
		_ = disk.Start(r.Folder)
	}
	if !Until(10*time.Second, func() bool { return r.Platform.Ready() >= len(r.Fronts) }) {
		r.Miss("doors not ready again")
	}
	r.Note("ready again")
	r.Put(1)
}

func actCut(r *Run) {
	control := r.Control()
	if control == nil {
		r.Miss("no control primary")
		return
	}
	front := r.Fronts[len(r.Fronts)-1]
	relay := r.Relays[control.Name]
	ways := [][2]bool{{true, false}, {false, true}, {true, true}}
	sequence := uint64(1)
	for _, way := range ways {
		relay.Cut(front.IP, way[0], way[1])
		r.Hold(time.Second)
		sequence = r.Put(sequence)
		r.Hold(3 * time.Second)
		r.Note("cut %v: %d doors ready", way, r.Platform.Ready())
		relay.Cut(front.IP, false, false)
		relay.Reset()
		r.Hold(time.Second)
	}
}

func actZone(r *Run) {
	from := time.Now()
	r.Hold(3 * time.Second)
	until := time.Now()
	zone := r.Shape.Zones[0]
	var gone []*Process
	for _, list := range [][]*Process{r.Fronts, r.Disks, r.Backs} {
		for _, process := range list {
			if process.Zone == zone {
				process.Signal(syscall.SIGKILL)
				gone = append(gone, process)
			}
		}
	}
	for _, process := range gone {
		process.Ended(3 * time.Second)
	}
	r.Note("%d machines of %s gone", len(gone), zone)
	r.Hold(5 * time.Second)
	for _, process := range gone {
		_ = process.Start(r.Folder)
	}
	r.Closed("zone lost", from, until)
}

// Result is what a scenario showed.
type Result struct {
	Scenario string
	Shape    string
	Seed     uint64
	Notes    []string
	Faults   map[string][]string
	Outcomes map[string]int
	// Rates are requests served in each second of the run.
	Rates []int
	// P50 and P99 are of single writes kept, in ms.
	P50, P99 float64
	// GapMS is the longest time without a kept write at one database.
	GapMS float64
	// Worst is the worst full second against the median one.
	Worst float64
	// SpreadMS is the longest time from a set's first effect at any front to
	// the first at the last front that showed it.
	SpreadMS float64
}

// HasRace says whether a log holds a report of the race detector that touches
// the product; the HTTP engine below syncs in ways that it does not see.
func HasRace(log string) bool {
	for _, report := range strings.Split(log, "WARNING: DATA RACE")[1:] {
		touched, _, _ := strings.Cut(report, "Goroutine ")
		if strings.Contains(touched, "tansyseam/internal") {
			return true
		}
	}
	return false
}

// Play runs one scenario on a new fleet and checks its history.
func Play(scenario Scenario, shape Shape, programs Programs, folder string, seed uint64, scale float64) (Result, error) {
	result := Result{Scenario: scenario.Name, Shape: shape.Name, Seed: seed, Faults: map[string][]string{}, Outcomes: map[string]int{}}
	if err := os.RemoveAll(folder); err != nil {
		return result, err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return result, err
	}
	f, err := Start(shape, programs, folder, scenario.Options)
	if err != nil {
		return result, err
	}
	defer f.Stop()
	if err := f.Settle(30 * time.Second); err != nil {
		return result, err
	}
	evidence := history.Evidence{}
	run := &Run{Fleet: f, Proof: &evidence, Began: time.Now()}
	run.Callers = f.Callers(seed, scale)
	run.Hold(time.Second)
	scenario.Act(run)
	run.Hold(scenario.Tail)
	run.Callers.Stop()
	for _, list := range [][]*Process{f.Fronts, f.Disks} {
		for _, process := range list {
			if log, err := os.ReadFile(filepath.Join(folder, process.Name+".log")); err == nil && HasRace(string(log)) {
				run.Miss("%s: data race, see its log", process.Name)
			}
		}
	}
	instances := map[string]string{}
	for _, back := range f.Backs {
		database, _, _ := strings.Cut(back.Name, "-")
		instances[back.Name] = database
		back.Signal(syscall.SIGCONT)
		back.Signal(syscall.SIGTERM)
	}
	for _, back := range f.Backs {
		back.Ended(3 * time.Second)
	}
	loaded := history.Load(folder, instances, f.History.Events())
	for _, back := range f.Backs {
		past := history.Load(folder, map[string]string{back.Name + ".gone": "gone"}, nil)
		loaded.Executions = append(loaded.Executions, past.Executions...)
	}
	loaded.AcceptedSets, loaded.Restarts, loaded.ClosedFaults = evidence.AcceptedSets, evidence.Restarts, evidence.ClosedFaults
	result.Faults = history.Violations(loaded)
	if scenario.Planted != "" {
		_, isSeen := result.Faults[scenario.Planted]
		result.Faults = map[string][]string{}
		if !isSeen {
			run.Miss("the planted defect was not seen: %s", scenario.Planted)
		}
	}
	if len(run.Faults) > 0 {
		result.Faults["scenario"] = run.Faults
	}
	result.Notes = run.Notes
	result.measure(loaded.Events, run.Began)
	return result, nil
}
