package e2e

import (
	"os"
	"syscall"
	"tansyseam/test/history"
	"tansyseam/test/standin"
	"time"
)

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

func pointerTo[T any](value T) *T { return &value }

const database0 = 0
