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
	Callers   *standin.Callers
	Evidence  *history.Evidence
	StartedAt time.Time
	Notes     []string
	Failures  []string
}

// Scenario brings about one fault, or one change, under load.
type Scenario struct {
	Name        string
	Description string
	Options     Options
	Run         func(*Run)
	// SettleTime is how long the load goes on afterwards.
	SettleTime time.Duration
	// PlantedViolation names the rule that this run must break: its defect is put in
	// on purpose, to show that load and checkers would see it.
	PlantedViolation string
}

// Logf writes down a figure or event of the run.
func (r *Run) Logf(format string, parts ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf("%6.2f s  ", time.Since(r.StartedAt).Seconds())+fmt.Sprintf(format, parts...))
}

// Errorf notes something that should have been so.
func (r *Run) Errorf(format string, parts ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, parts...))
}

// Sleep lets load run for a while.
func (r *Run) Sleep(span time.Duration) { time.Sleep(span) }

// ReplaceBindings puts the mix's bindings again, with a changed freshness, as the next
// sequence.
func (r *Run) ReplaceBindings(expected uint64) uint64 {
	bindings := r.Shape.Mix.Bindings()
	id := fmt.Sprintf("put-%d-%d", expected, time.Now().UnixNano())
	for range 5 {
		code, raw, err := r.PutBindings(id, expected, bindings)
		var answer struct {
			Sequence uint64 `json:"sequence"`
		}
		if err == nil && code == http.StatusOK && json.Unmarshal(raw, &answer) == nil {
			r.Evidence.AcceptedSets = append(r.Evidence.AcceptedSets, history.AcceptedSet{Sequence: answer.Sequence, AcknowledgedAt: time.Now().UnixNano()})
			return answer.Sequence
		}
		r.Logf("put answered %d %s", code, raw)
		time.Sleep(300 * time.Millisecond)
	}
	r.Errorf("no set could be put on %d", expected)
	return expected
}

// RecordClosedFault notes the end of a fault.
func (r *Run) RecordClosedFault(name string, from, until time.Time) {
	r.Evidence.ClosedFaults = append(r.Evidence.ClosedFaults, history.ClosedFault{
		Name: name, BeforeFrom: from.UnixNano(), BeforeUntil: until.UnixNano(), At: time.Now().UnixNano(),
	})
}

// Primary names the process of a database's primary, as the nodes hold it.
func (r *Run) Primary(database string) *Process {
	for _, proxy := range r.Proxies {
		if writer, found := r.Writers(proxy.HTTPAddress)[database]; found {
			return r.FindProcess(writer.Primary)
		}
	}
	return nil
}

// AwaitTerm waits until a database's role is open in a term past one.
func (r *Run) AwaitTerm(database string, past uint64, timeout time.Duration) (Writer, bool) {
	var writer Writer
	open := WaitUntil(timeout, func() bool {
		for _, proxy := range r.Proxies {
			writer = r.Writers(proxy.HTTPAddress)[database]
			if writer.Term > past && writer.Phase == "open" {
				return true
			}
		}
		return false
	})
	return writer, open
}

// ControlPrimary names the process that is control primary.
func (r *Run) ControlPrimary() *Process {
	for _, control := range r.Controls {
		_, raw, err := r.Post(control.HTTPAddress, "/v1/fleet", map[string]any{})
		var view struct {
			Primacy bool `json:"primacy"`
		}
		if err == nil && json.Unmarshal(raw, &view) == nil && view.Primacy {
			return control
		}
	}
	return nil
}

// Epoch asks a disk machine for the epoch record.
func (r *Run) Epoch(control *Process) (epoch uint64, primary, backup string) {
	_, raw, err := r.Post(control.HTTPAddress, "/v1/vitals", map[string]any{})
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

func pointerTo[T any](value T) *T { return &value }

const database0 = 0

func (r *Run) database() string { return r.Shape.Databases[database0] }

func (r *Run) failOverPrimary(act func(*Process)) {
	from := time.Now()
	r.Sleep(3 * time.Second)
	until := time.Now()
	target := r.Primary(r.database())
	if target == nil {
		r.Errorf("no primary known")
		return
	}
	term := r.Writers(r.Proxies[0].HTTPAddress)[r.database()].Term
	injectedAt := time.Now()
	act(target)
	r.Logf("%s hit", target.Name)
	writer, open := r.AwaitTerm(r.database(), term, 20*time.Second)
	if !open {
		r.Errorf("no new term within 20 s: %+v", writer)
		return
	}
	r.Logf("term %d open at %s after %d ms", writer.Term, writer.Primary, time.Since(injectedAt).Milliseconds())
	r.Sleep(2 * time.Second)
	target.Signal(syscall.SIGCONT)
	if target.AwaitExit(10 * time.Millisecond) {
		if err := target.Start(r.Directory); err != nil {
			r.Errorf("%v", err)
		}
	}
	r.Logf("%s back", target.Name)
	r.RecordClosedFault("primary lost", from, until)
}

// Scenarios lists the real-process runs.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Description: "load and nothing else", Run: func(r *Run) { r.Sleep(4 * time.Second) }},
		{Name: "change", Description: "sets put, booked, repeated, raced and broken", Run: runChange, SettleTime: 4 * time.Second},
		{Name: "restart", Description: "planned restart of each front in turn", Run: runRestart, SettleTime: time.Second},
		{Name: "restart-slow", Description: "a front stopped while long statements are out", SettleTime: 3 * time.Second, Run: func(r *Run) {
			_ = r.SetFault(r.Primary(r.database()).Name, standin.Fault{Slowdown: pointerTo(200.0)})
			r.Sleep(2 * time.Second)
			proxy := r.Proxies[0]
			from := time.Now()
			proxy.Signal(syscall.SIGTERM)
			if !proxy.AwaitExit(8*time.Second) || proxy.ExitCode() != 0 {
				r.Errorf("%s did not end in good order", proxy.Name)
				proxy.Kill()
			}
			r.Logf("stopped after %d ms", time.Since(from).Milliseconds())
			r.Evidence.Restarts = append(r.Evidence.Restarts, history.Restart{Address: proxy.HTTPAddress, From: from.Add(-2 * time.Second).UnixNano(), Until: time.Now().UnixNano()})
			_ = r.SetFault(r.Primary(r.database()).Name, standin.Fault{Slowdown: pointerTo(1.0)})
			_ = proxy.Start(r.Directory)
			if term := r.Writers(r.Proxies[1].HTTPAddress)[r.database()].Term; term != 1 {
				r.Errorf("a slow primary was taken for dead: term %d", term)
			}
		}},
		{Name: "front-kill", Description: "a front killed and started again", Run: runProxyKill, SettleTime: 14 * time.Second},
		{Name: "primary-crash", Description: "a primary killed; it returns later", SettleTime: 14 * time.Second, Run: func(r *Run) {
			r.failOverPrimary(func(target *Process) { target.Kill() })
		}},
		{Name: "primary-dark", Description: "a primary frozen, later thawed with writes in its sockets", SettleTime: 14 * time.Second, Run: func(r *Run) {
			r.failOverPrimary(func(target *Process) { target.Signal(syscall.SIGSTOP) })
		}},
		{Name: "primary-swap", Description: "a primary says it is leaving", SettleTime: 14 * time.Second, Run: func(r *Run) {
			r.failOverPrimary(func(target *Process) { _ = r.SetFault(target.Name, standin.Fault{Leaving: pointerTo(true)}) })
		}},
		{Name: "primary-lost", Description: "a primary vanishes for good and comes back blank", SettleTime: 14 * time.Second, Run: func(r *Run) {
			r.failOverPrimary(func(target *Process) {
				target.Kill()
				_ = os.Rename(target.DataDirectory, target.DataDirectory+".gone")
			})
		}},
		{Name: "platform-bad", Description: "a primary killed while the platform is slow, refuses, and loses its answer", SettleTime: 14 * time.Second, Run: func(r *Run) {
			r.Platform.SetPromoteFaults(700*time.Millisecond, 1, 1, false)
			r.failOverPrimary(func(target *Process) { target.Kill() })
		}},
		{Name: "platform-cut", Description: "a primary killed while the platform is cut off for 4 s", SettleTime: 14 * time.Second, Run: func(r *Run) {
			r.Platform.SetPromoteFaults(0, 0, 0, true)
			r.failOverPrimary(func(target *Process) {
				target.Kill()
				go func() { time.Sleep(4 * time.Second); r.Platform.SetPromoteFaults(0, 0, 0, false) }()
			})
		}},
		{Name: "replica-lag", Description: "a replica falls far behind while the primary dies", SettleTime: 14 * time.Second, Run: func(r *Run) {
			_ = r.SetFault(r.database()+"-b", standin.Fault{ReplicationDelayMS: pointerTo(4000)})
			r.Sleep(3 * time.Second)
			r.failOverPrimary(func(target *Process) { target.Kill() })
			_ = r.SetFault(r.database()+"-b", standin.Fault{ReplicationDelayMS: pointerTo(3)})
		}},
		{Name: "replica-crash", Description: "a replica killed, back later", SettleTime: 6 * time.Second, Run: func(r *Run) {
			replica := r.FindProcess(r.database() + "-c")
			replica.Kill()
			r.Sleep(5 * time.Second)
			_ = replica.Start(r.Directory)
		}},
		{Name: "replace", Description: "replicas replaced one after another", SettleTime: 3 * time.Second, Run: runReplicaReplacement},
		{Name: "control-kill", Description: "the control primary killed, back later", SettleTime: 3 * time.Second, Run: func(r *Run) {
			r.failOverControl(func(target *Process) { target.Kill() })
		}},
		{Name: "control-dark", Description: "the control primary frozen, later thawed", SettleTime: 3 * time.Second, Run: func(r *Run) {
			r.failOverControl(func(target *Process) { target.Signal(syscall.SIGSTOP) })
		}},
		{Name: "control-disk", Description: "the control primary loses its disk", SettleTime: 3 * time.Second, Run: func(r *Run) {
			r.failOverControl(func(target *Process) {
				target.Kill()
				_ = os.Rename(target.DataDirectory, target.DataDirectory+".gone")
			})
		}},
		{Name: "control-all", Description: "all control machines gone for 4 s: the fleet holds", SettleTime: 6 * time.Second, Run: runControlOutage},
		{Name: "rush", Description: "eight times the callers' rate for 5 s", SettleTime: 14 * time.Second, Run: func(r *Run) {
			from := time.Now()
			r.Sleep(3 * time.Second)
			until := time.Now()
			r.Callers.SetRateFactor(8)
			r.Sleep(5 * time.Second)
			r.Callers.SetRateFactor(1)
			r.RecordClosedFault("rush", from, until)
		}},
		{Name: "slow", Description: "a primary and a replica ten times slower for 5 s", SettleTime: 14 * time.Second, Run: func(r *Run) {
			from := time.Now()
			r.Sleep(3 * time.Second)
			until := time.Now()
			for _, name := range []string{r.Primary(r.database()).Name, r.database() + "-b"} {
				_ = r.SetFault(name, standin.Fault{Slowdown: pointerTo(10.0)})
			}
			r.Sleep(5 * time.Second)
			for _, name := range []string{r.Primary(r.database()).Name, r.database() + "-b"} {
				_ = r.SetFault(name, standin.Fault{Slowdown: pointerTo(1.0)})
			}
			r.RecordClosedFault("slow instances", from, until)
			if term := r.Writers(r.Proxies[0].HTTPAddress)[r.database()].Term; term != 1 {
				r.Errorf("a slow primary was taken for dead: term %d", term)
			}
		}},
		{Name: "lose", Description: "answers lost after running, and sessions reset", SettleTime: 2 * time.Second, Run: func(r *Run) {
			for range 5 {
				_ = r.SetFault(r.Primary(r.database()).Name, standin.Fault{LoseAnswers: pointerTo(5), ResetConnections: pointerTo(5)})
				r.Sleep(700 * time.Millisecond)
			}
		}},
		{Name: "silent", Description: "a primary that answers but no longer announces", SettleTime: 2 * time.Second, Run: func(r *Run) {
			_ = r.SetFault(r.Primary(r.database()).Name, standin.Fault{Silent: pointerTo(true)})
			r.Sleep(5 * time.Second)
			if term := r.Writers(r.Proxies[0].HTTPAddress)[r.database()].Term; term != 1 {
				r.Errorf("a primary that answers was taken for dead: term %d", term)
			}
		}},
		{Name: "cut", Description: "a front cut from the control primary, one way and both", Options: Options{Relays: true}, SettleTime: 4 * time.Second, Run: runPartition},
		{Name: "drops", Description: "links between the fleet's own processes reset and lose pieces", Options: Options{Relays: true}, SettleTime: 4 * time.Second, Run: func(r *Run) {
			for _, relay := range r.Relays {
				relay.SetFaults(0, 0.01)
			}
			r.ReplaceBindings(1)
			r.Sleep(4 * time.Second)
			r.ReplaceBindings(2)
			r.Sleep(4 * time.Second)
			for _, relay := range r.Relays {
				relay.SetFaults(0, 0)
				relay.Reset()
			}
		}},
		{Name: "zone", Description: "all machines of one zone stopped, back after 5 s", SettleTime: 14 * time.Second, Run: runZoneOutage},
		{Name: "calls", Description: "every call's answer against the schema, bad input of every kind, and the shell", SettleTime: time.Second, Run: runCallChecks},
		{Name: "settings", Description: "settings changed with and without a signal, and broken", Options: Options{ConfigFiles: true}, SettleTime: time.Second, Run: runSettings},
		{Name: "grow", Description: "a front added under load, another taken away", SettleTime: 2 * time.Second, Run: runScaling},
		{Name: "planted-kill", Description: "fronts killed in the middle of work and called restarted as planned", PlantedViolation: "planned restart cuts a request off", SettleTime: time.Second, Run: func(r *Run) {
			for range 6 {
				proxy := r.Proxies[0]
				from := time.Now()
				proxy.Kill()
				r.Sleep(50 * time.Millisecond)
				r.Evidence.Restarts = append(r.Evidence.Restarts, history.Restart{Address: proxy.HTTPAddress, From: from.Add(-50 * time.Millisecond).UnixNano(), Until: time.Now().UnixNano()})
				_ = proxy.Start(r.Directory)
				WaitUntil(8*time.Second, func() bool { return r.Platform.ReadyCount() >= len(r.Proxies) })
				r.Sleep(400 * time.Millisecond)
			}
		}},
		{Name: "planted-unclean", Description: "instances call sessions with state clean: other consumers must be seen to meet it", PlantedViolation: "statement in another's transaction or settings", SettleTime: time.Second, Run: func(r *Run) {
			for _, process := range r.Instances {
				_ = r.SetFault(process.Name, standin.Fault{MisreportClean: pointerTo(true)})
			}
			r.Sleep(4 * time.Second)
		}},
		{Name: "frozen-front", Description: "a front frozen past its lease, thawed after changes", SettleTime: 4 * time.Second, Run: func(r *Run) {
			proxy := r.Proxies[len(r.Proxies)-1]
			proxy.Signal(syscall.SIGSTOP)
			r.Sleep(500 * time.Millisecond)
			r.ReplaceBindings(1)
			r.Sleep(3 * time.Second)
			proxy.Signal(syscall.SIGCONT)
			r.Sleep(time.Second)
			r.ReplaceBindings(2)
		}},
	}
}

func (r *Run) failOverControl(act func(*Process)) {
	target := r.ControlPrimary()
	if target == nil {
		r.Errorf("no control primary")
		return
	}
	sequence := r.ReplaceBindings(1)
	epoch, _, _ := r.Epoch(target)
	injectedAt := time.Now()
	act(target)
	r.Logf("%s hit in epoch %d", target.Name, epoch)
	done := WaitUntil(15*time.Second, func() bool {
		for _, control := range r.Controls {
			if control == target {
				continue
			}
			if now, primary, backup := r.Epoch(control); now > epoch && primary != target.Name && backup != "" {
				return true
			}
		}
		return false
	})
	if !done {
		r.Errorf("no takeover with a backup brought in within 15 s")
		return
	}
	r.Logf("taken over with a backup after %d ms", time.Since(injectedAt).Milliseconds())
	sequence = r.ReplaceBindings(sequence)
	r.Sleep(2 * time.Second)
	target.Signal(syscall.SIGCONT)
	if target.AwaitExit(10 * time.Millisecond) {
		_ = target.Start(r.Directory)
	}
	r.Sleep(3 * time.Second)
	r.ReplaceBindings(sequence)
}

func runChange(r *Run) {
	bindings := r.Shape.Mix.Bindings()
	r.Sleep(time.Second)
	r.ReplaceBindings(1)
	raceCodes := make(chan int, 2)
	for index := range 2 {
		go func() {
			code, raw, _ := r.PutBindings(fmt.Sprintf("race-%d", index), 2, bindings)
			var answer struct {
				Sequence uint64 `json:"sequence"`
			}
			_ = json.Unmarshal(raw, &answer)
			raceCodes <- code
		}()
	}
	first, second := <-raceCodes, <-raceCodes
	r.Logf("two operators on one sequence: %d and %d", first, second)
	if first+second != http.StatusOK+http.StatusConflict {
		r.Errorf("one of two racing puts must be taken and one told of the conflict: %d, %d", first, second)
	}
	r.Evidence.AcceptedSets = append(r.Evidence.AcceptedSets, history.AcceptedSet{Sequence: 3, AcknowledgedAt: time.Now().UnixNano()})
	code, raw, _ := r.PutBindings("first", 0, bindings)
	if code != http.StatusOK || !strings.Contains(string(raw), `"sequence":1`) {
		r.Errorf("a repeated call must get its first answer: %d %s", code, raw)
	}
	broken := append(append([]map[string]any(nil), bindings...), bindings[0], map[string]any{"name": "x", "database": "nowhere", "freshness_ms": 7})
	code, raw, _ = r.PutBindings("broken", 3, broken)
	if code != http.StatusUnprocessableEntity || strings.Count(string(raw), `"path"`) != 3 {
		r.Errorf("a broken set must be refused with every reason: %d %s", code, raw)
	}
	for index := range 3 {
		effectiveAt := time.Now().Add(time.Duration(1500+index*400) * time.Millisecond)
		code, raw, err := r.Post(r.Proxies[index%len(r.Proxies)].HTTPAddress, "/v1/changes/book", map[string]any{
			"id": fmt.Sprintf("book-%d", index), "at_ms": effectiveAt.UnixMilli(), "bindings": bindings,
		})
		if err != nil || code != http.StatusOK {
			r.Errorf("booking %d: %d %s %v", index, code, raw, err)
		}
		r.Evidence.AcceptedSets = append(r.Evidence.AcceptedSets, history.AcceptedSet{Sequence: uint64(4 + index), AcknowledgedAt: time.Now().UnixNano(), EffectiveAt: effectiveAt.UnixMilli() * 1e6})
	}
	active := WaitUntil(8*time.Second, func() bool {
		_, raw, err := r.Post(r.Proxies[0].HTTPAddress, "/v1/bindings/list", map[string]any{})
		return err == nil && strings.Contains(string(raw), `"sequence":6,`)
	})
	if !active {
		r.Errorf("three booked changes did not land")
	}
}

func runRestart(r *Run) {
	for _, proxy := range r.Proxies[:min(3, len(r.Proxies))] {
		from := time.Now()
		proxy.Signal(syscall.SIGTERM)
		if !proxy.AwaitExit(8 * time.Second) {
			r.Errorf("%s did not end within 8 s", proxy.Name)
			proxy.Kill()
		}
		r.Logf("%s stopped with code %d after %d ms", proxy.Name, proxy.ExitCode(), time.Since(from).Milliseconds())
		if proxy.ExitCode() != 0 {
			r.Errorf("%s ended with code %d", proxy.Name, proxy.ExitCode())
		}
		r.Evidence.Restarts = append(r.Evidence.Restarts, history.Restart{Address: proxy.HTTPAddress, From: from.UnixNano(), Until: time.Now().UnixNano()})
		r.Sleep(500 * time.Millisecond)
		if err := proxy.Start(r.Directory); err != nil {
			r.Errorf("%v", err)
		}
		if !WaitUntil(8*time.Second, func() bool { return r.Platform.ReadyCount() >= len(r.Proxies) }) {
			r.Errorf("%s not ready again", proxy.Name)
		}
		r.Logf("%s ready again", proxy.Name)
	}
}

func runProxyKill(r *Run) {
	from := time.Now()
	r.Sleep(3 * time.Second)
	until := time.Now()
	proxy := r.Proxies[0]
	proxy.Kill()
	r.Sleep(500 * time.Millisecond)
	r.ReplaceBindings(1)
	r.Sleep(2 * time.Second)
	if err := proxy.Start(r.Directory); err != nil {
		r.Errorf("%v", err)
	}
	r.RecordClosedFault("front killed", from, until)
}

func runReplicaReplacement(r *Run) {
	for _, suffix := range []string{"-b", "-c"} {
		name := r.database() + suffix
		replica := r.FindProcess(name)
		_ = r.SetFault(name, standin.Fault{Leaving: pointerTo(true)})
		r.Sleep(4 * time.Second)
		replica.Signal(syscall.SIGTERM)
		replica.AwaitExit(3 * time.Second)
		_ = os.Rename(replica.DataDirectory, replica.DataDirectory+".gone")
		_ = replica.Start(r.Directory)
		candidate := WaitUntil(15*time.Second, func() bool {
			return len(r.Writers(r.Proxies[0].HTTPAddress)[r.database()].Candidates) == r.Shape.InstancesPerDatabase-1
		})
		if !candidate {
			r.Errorf("%s is no candidate again: %+v", name, r.Writers(r.Proxies[0].HTTPAddress)[r.database()])
		}
		r.Logf("%s replaced", name)
	}
}

func runControlOutage(r *Run) {
	for _, control := range r.Controls {
		control.Kill()
	}
	r.Sleep(4 * time.Second)
	for _, control := range r.Controls {
		_ = control.Start(r.Directory)
	}
	if !WaitUntil(10*time.Second, func() bool { return r.Platform.ReadyCount() >= len(r.Proxies) }) {
		r.Errorf("doors not ready again")
	}
	r.Logf("ready again")
	r.ReplaceBindings(1)
}

func runPartition(r *Run) {
	control := r.ControlPrimary()
	if control == nil {
		r.Errorf("no control primary")
		return
	}
	proxy := r.Proxies[len(r.Proxies)-1]
	relay := r.Relays[control.Name]
	ways := [][2]bool{{true, false}, {false, true}, {true, true}}
	sequence := uint64(1)
	for _, way := range ways {
		relay.Block(proxy.IP, way[0], way[1])
		r.Sleep(time.Second)
		sequence = r.ReplaceBindings(sequence)
		r.Sleep(3 * time.Second)
		r.Logf("cut %v: %d doors ready", way, r.Platform.ReadyCount())
		relay.Block(proxy.IP, false, false)
		relay.Reset()
		r.Sleep(time.Second)
	}
}

func runZoneOutage(r *Run) {
	from := time.Now()
	r.Sleep(3 * time.Second)
	until := time.Now()
	zone := r.Shape.Zones[0]
	var gone []*Process
	for _, list := range [][]*Process{r.Proxies, r.Controls, r.Instances} {
		for _, process := range list {
			if process.Zone == zone {
				process.Signal(syscall.SIGKILL)
				gone = append(gone, process)
			}
		}
	}
	for _, process := range gone {
		process.AwaitExit(3 * time.Second)
	}
	r.Logf("%d machines of %s gone", len(gone), zone)
	r.Sleep(5 * time.Second)
	for _, process := range gone {
		_ = process.Start(r.Directory)
	}
	r.RecordClosedFault("zone lost", from, until)
}

// Result is what a scenario showed.
type Result struct {
	Scenario   string
	Shape      string
	Seed       uint64
	Notes      []string
	Violations map[string][]string
	Outcomes   map[string]int
	// Rates are requests served in each second of the run.
	Rates []int
	// P50 and P99 are of single writes kept, in ms.
	P50, P99 float64
	// LongestGapMS is the longest time without a kept write at one database.
	LongestGapMS float64
	// WorstSecond is the worst full second against the median one.
	WorstSecond float64
	// SpreadMS is the longest time from a set's first effect at any front to
	// the first at the last front that showed it.
	SpreadMS float64
}

// HasProductRace says whether a log holds a report of the race detector that touches
// the product; the HTTP engine below syncs in ways that it does not see.
func HasProductRace(log string) bool {
	for _, report := range strings.Split(log, "WARNING: DATA RACE")[1:] {
		touched, _, _ := strings.Cut(report, "Goroutine ")
		if strings.Contains(touched, "tansyseam/internal") {
			return true
		}
	}
	return false
}

// RunScenario runs one scenario on a new fleet and checks its history.
func RunScenario(scenario Scenario, shape Shape, programs Programs, directory string, seed uint64, scale float64) (Result, error) {
	result := Result{Scenario: scenario.Name, Shape: shape.Name, Seed: seed, Violations: map[string][]string{}, Outcomes: map[string]int{}}
	if err := os.RemoveAll(directory); err != nil {
		return result, err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return result, err
	}
	f, err := Start(shape, programs, directory, scenario.Options)
	if err != nil {
		return result, err
	}
	defer f.Stop()
	if err := f.AwaitReady(30 * time.Second); err != nil {
		return result, err
	}
	evidence := history.Evidence{}
	run := &Run{Fleet: f, Evidence: &evidence, StartedAt: time.Now()}
	run.Callers = f.StartCallers(seed, scale)
	run.Sleep(time.Second)
	scenario.Run(run)
	run.Sleep(scenario.SettleTime)
	run.Callers.Stop()
	for _, list := range [][]*Process{f.Proxies, f.Controls} {
		for _, process := range list {
			if log, err := os.ReadFile(filepath.Join(directory, process.Name+".log")); err == nil && HasProductRace(string(log)) {
				run.Errorf("%s: data race, see its log", process.Name)
			}
		}
	}
	instances := map[string]string{}
	for _, process := range f.Instances {
		database, _, _ := strings.Cut(process.Name, "-")
		instances[process.Name] = database
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGTERM)
	}
	for _, process := range f.Instances {
		process.AwaitExit(3 * time.Second)
	}
	loaded := history.Load(directory, instances, f.History.Events())
	for _, process := range f.Instances {
		past := history.Load(directory, map[string]string{process.Name + ".gone": "gone"}, nil)
		loaded.Executions = append(loaded.Executions, past.Executions...)
	}
	loaded.AcceptedSets, loaded.Restarts, loaded.ClosedFaults = evidence.AcceptedSets, evidence.Restarts, evidence.ClosedFaults
	result.Violations = history.Violations(loaded)
	if scenario.PlantedViolation != "" {
		_, found := result.Violations[scenario.PlantedViolation]
		result.Violations = map[string][]string{}
		if !found {
			run.Errorf("the planted defect was not seen: %s", scenario.PlantedViolation)
		}
	}
	if len(run.Failures) > 0 {
		result.Violations["scenario"] = run.Failures
	}
	result.Notes = run.Notes
	result.measure(loaded.Events, run.StartedAt)
	return result, nil
}
