package e2e

import (
	"os"
	"syscall"
	"tansyseam/test/standin"
	"time"
)

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
