// Command leave plays case 4: an instance leaves within one heartbeat interval after a
// planned stop of the control process that is primary.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"tansyseam/review/_standins-2/lab"
	"tansyseam/test/linehistory"
)

const (
	// servesOnFor is how long the instance serves after its leave was acknowledged.
	servesOnFor = 20 * time.Second
	drain       = lab.DrainMS * time.Millisecond
	contact     = lab.ContactMS * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New(os.Args[1], 1, true)
	if err != nil {
		fmt.Println(err)
		return lab.ExitNotRun
	}
	defer l.Stop()
	if err := l.Start(); err != nil {
		l.Logf("not run: %v", err)
		return lab.ExitNotRun
	}
	l.StartLoad(36)
	time.Sleep(4 * time.Second)
	primary, _, _, found := l.Roles(5 * time.Second)
	if !found {
		l.Logf("not run: the control plane has no primary and backup")
		return lab.ExitNotRun
	}
	leaving := l.Instances[0]
	awaitHeartbeat(l, leaving)
	calmFrom := l.Group.Now()
	if l.Trouble {
		l.Logf("SIGTERM to %s, the primary of the control plane; the last heartbeat of %s was acknowledged %v ago", primary.Name, leaving.ID, l.Group.Now()-leaving.LastAck())
		primary.Signal(syscall.SIGTERM)
		awaitOtherPrimary(l, primary)
	}
	acknowledgedAt, address, acknowledged := leaving.Leave()
	if !acknowledged {
		l.Logf("not run: the leave was not acknowledged")
		return lab.ExitNotRun
	}
	l.Logf("%s has left: acknowledged by %s at %v, %v after its last heartbeat; it serves on for %v and ends", leaving.ID, address, acknowledgedAt, acknowledgedAt-leaving.LastAck(), servesOnFor)
	if l.Trouble {
		if !primary.AwaitExit(lab.GraceS * time.Second) {
			primary.Kill()
		}
		l.Logf("%s has ended and is started again", primary.Name)
		if err := primary.Start(); err != nil {
			return lab.ExitNotRun
		}
		calmFrom = l.Group.Now()
	}
	time.Sleep(acknowledgedAt + servesOnFor - l.Group.Now())
	leaving.Crash()
	endedAt := l.Group.Now()
	l.Logf("%s has ended", leaving.ID)
	time.Sleep(2 * time.Second)
	return judge(l, leaving.ID, acknowledgedAt, max(acknowledgedAt+drain, calmFrom+contact+time.Second), endedAt)
}

// awaitHeartbeat waits until a heartbeat of the instance has just been acknowledged.
func awaitHeartbeat(l *lab.Lab, instance *lab.Instance) {
	for before := instance.LastAck(); instance.LastAck() == before; {
		time.Sleep(2 * time.Millisecond)
	}
}

// awaitOtherPrimary waits until another control process is primary.
func awaitOtherPrimary(l *lab.Lab, old *lab.Process) {
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, p := range l.Controls {
			if health, ok := p.Health(); ok && p != old && health.Primary == p.Name {
				l.Logf("%s is the primary of the control plane in epoch %d", p.Name, health.Epoch)
				return
			}
		}
	}
}

// judge counts the statements that reached the instance too late.
func judge(l *lab.Lab, instance string, acknowledgedAt, from, endedAt time.Duration) int {
	history := l.History.Copy()
	early, late := 0, 0
	var first, last linehistory.Execution
	for _, execution := range history.Executions {
		if execution.Instance != instance || execution.At < acknowledgedAt {
			continue
		}
		if execution.At < from {
			early++
			continue
		}
		// Only the first statement of a transaction is counted.
		if late++; late == 1 {
			first = execution
		}
		last = execution
	}
	cut := 0
	for _, query := range history.Queries {
		if query.Answered >= endedAt-100*time.Millisecond && query.Answered <= endedAt+1500*time.Millisecond && query.Code != "" {
			cut++
		}
	}
	l.Logf("statements run by %s from the acknowledgement until it judges: %d; later: %d; errors to clients around its end: %d", instance, early, late, cut)
	if late == 0 {
		l.Logf("DRAIN held")
		return lab.ExitHeld
	}
	l.Logf("DRAIN broken: %s ran query %s (%s) %v after its leave was acknowledged, the last one %s %v after", instance, first.ID, first.Act, first.At-acknowledgedAt, last.ID, last.At-acknowledgedAt)
	return lab.ExitBroken
}
