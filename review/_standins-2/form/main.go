// Command form plays a case: a control machine loses its disk while the system starts
// for the first time.
package main

import (
	"fmt"
	"os"
	"time"

	"tansyseam/review/_standins-2/lab"
)

const (
	// lostAfter is when the machine is lost, counted from its start, and downFor is how
	// long it is down.
	lostAfter = 50 * time.Millisecond
	downFor   = time.Second
	// patience is how long the operator goes on sending the first configuration.
	patience = 45 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New(os.Args[1], 1, true)
	if err != nil {
		fmt.Println(err)
		return lab.ExitNotRun
	}
	defer l.Stop()
	if err := l.StartProcesses(); err != nil {
		l.Logf("not run: %v", err)
		return lab.ExitNotRun
	}
	l.Logf("3 control processes and 3 proxies are started for the first time")
	lost := l.Controls[2]
	if l.Trouble {
		time.Sleep(lostAfter)
		lost.Kill()
		if err := l.LoseDisk(lost, true); err != nil {
			return lab.ExitNotRun
		}
		l.Logf("%s is killed and its disk is lost", lost.Name)
		time.Sleep(downFor)
		if lost.Start() != nil {
			return lab.ExitNotRun
		}
		l.Logf("%s is started again, with an empty disk", lost.Name)
	}
	l.StartLoad(12)
	err = l.AwaitReady(patience)
	for _, p := range l.Controls {
		health, ok := p.Health()
		l.Logf("%s answers %v: epoch %d, primary %q, backup %q", p.Name, ok, health.Epoch, health.Primary, health.Backup)
	}
	if err != nil {
		l.Logf("Fault: no request is served: %v after %v, with all processes running", err, patience)
		return lab.ExitBroken
	}
	l.Logf("held: the first configuration is acknowledged and all proxies are ready")
	return lab.ExitHeld
}
