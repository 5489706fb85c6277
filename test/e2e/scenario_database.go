package e2e

import (
	"syscall"
	"time"

	"tansyseam/test/standin"
)

// failOverPrimary injects a fault into the primary of the first database, waits until
// the writer role is open in a new term, and resumes or restarts the old primary.
func (r *Run) failOverPrimary(inject func(*Process)) {
	before := r.observeBaseline()
	target := r.Primary(r.database())
	if target == nil {
		r.Errorf("no proxy reports a primary")
		return
	}
	term := r.Writers(r.Proxies[0].HTTPAddress)[r.database()].Term
	injectedAt := time.Now()
	inject(target)
	r.Logf("injected fault into %s", target.Name)
	writer, open := r.AwaitTerm(r.database(), term, 20*time.Second)
	if !open {
		r.Errorf("writer role did not open in a new term within 20 s: %+v", writer)
		return
	}
	r.Logf("writer role open in term %d at %s after %d ms", writer.Term, writer.Primary, time.Since(injectedAt).Milliseconds())
	r.Sleep(2 * time.Second)
	target.Signal(syscall.SIGCONT)
	if target.AwaitExit(10 * time.Millisecond) {
		if err := target.Start(r.Directory); err != nil {
			r.Errorf("%v", err)
		}
	}
	r.Logf("%s resumed or restarted", target.Name)
	r.recordClosedFault("primary lost", before)
}

// runReplicaReplacement replaces each replica with an empty one, one after the other.
func runReplicaReplacement(r *Run) {
	for _, suffix := range []string{"-b", "-c"} {
		name := r.database() + suffix
		replica := r.FindProcess(name)
		_ = r.SetFault(name, standin.Fault{Leaving: pointerTo(true)})
		r.Sleep(4 * time.Second)
		replica.Signal(syscall.SIGTERM)
		replica.AwaitExit(3 * time.Second)
		removeData(replica)
		_ = replica.Start(r.Directory)
		isCandidate := WaitUntil(15*time.Second, func() bool {
			return len(r.Writers(r.Proxies[0].HTTPAddress)[r.database()].Candidates) == r.Shape.InstancesPerDatabase-1
		})
		if !isCandidate {
			r.Errorf("%s did not become a candidate again within 15 s: %+v", name, r.Writers(r.Proxies[0].HTTPAddress)[r.database()])
		}
		r.Logf("%s replaced", name)
	}
}

func runPrimaryCrash(r *Run) {
	r.failOverPrimary(func(target *Process) { target.Kill() })
}

func runPrimaryFreeze(r *Run) {
	r.failOverPrimary(func(target *Process) { target.Signal(syscall.SIGSTOP) })
}

func runPrimaryLeave(r *Run) {
	r.failOverPrimary(func(target *Process) { _ = r.SetFault(target.Name, standin.Fault{Leaving: pointerTo(true)}) })
}

// runPrimaryDataLoss kills a primary and restarts it without its data.
func runPrimaryDataLoss(r *Run) {
	r.failOverPrimary(func(target *Process) {
		target.Kill()
		removeData(target)
	})
}

// runReplicaLag kills the primary while one replica lags by 4 s.
func runReplicaLag(r *Run) {
	_ = r.SetFault(r.database()+"-b", standin.Fault{ReplicationDelayMS: pointerTo(4000)})
	r.Sleep(3 * time.Second)
	r.failOverPrimary(func(target *Process) { target.Kill() })
	_ = r.SetFault(r.database()+"-b", standin.Fault{ReplicationDelayMS: pointerTo(3)})
}

func runReplicaCrash(r *Run) {
	replica := r.FindProcess(r.database() + "-c")
	replica.Kill()
	r.Sleep(5 * time.Second)
	_ = replica.Start(r.Directory)
}

// runSilentPrimary stops the announcements of a primary that still answers requests.
// There must be no failover.
func runSilentPrimary(r *Run) {
	_ = r.SetFault(r.Primary(r.database()).Name, standin.Fault{Silent: pointerTo(true)})
	r.Sleep(5 * time.Second)
	r.expectNoFailover(r.Proxies[0], "a primary that answers")
}
