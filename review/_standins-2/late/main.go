// Command late plays a case: heartbeats of an instance arrive late, after the call that it
// leaves was acknowledged.
package main

import (
	"fmt"
	"os"
	"time"

	"tansyseam/review/_standins-2/lab"
	"tansyseam/test/linehistory"
)

const (
	// servesOnFor is how long the instance serves after its leave was acknowledged.
	servesOnFor = 20 * time.Second
	drain       = lab.DrainMS * time.Millisecond
	// lateBy is how late the heartbeats arrive.
	lateBy = 3500 * time.Millisecond
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
	leaving := l.Instances[2]
	awaitHeartbeat(l, leaving)
	if l.Trouble {
		l.Logf("the heartbeats of %s arrive %v late from now on", leaving.ID, lateBy)
		leaving.BeatLate(lateBy)
	}
	acknowledgedAt, address, acknowledged := leaving.Leave()
	if !acknowledged {
		l.Logf("not run: the leave was not acknowledged")
		return lab.ExitNotRun
	}
	l.Logf("%s has left: acknowledged by %s at %v, %v after its last heartbeat; it serves on for %v and ends", leaving.ID, address, acknowledgedAt, acknowledgedAt-leaving.LastAck(), servesOnFor)
	time.Sleep(acknowledgedAt + servesOnFor - l.Group.Now())
	leaving.Crash()
	endedAt := l.Group.Now()
	l.Logf("%s has ended", leaving.ID)
	time.Sleep(2 * time.Second)
	return judge(l, leaving.ID, acknowledgedAt, acknowledgedAt+drain, endedAt)
}

// awaitHeartbeat waits until a heartbeat of the instance has just been acknowledged.
func awaitHeartbeat(l *lab.Lab, instance *lab.Instance) {
	deadline := time.Now().Add(5 * time.Second)
	for before := instance.LastAck(); instance.LastAck() == before && time.Now().Before(deadline); {
		time.Sleep(2 * time.Millisecond)
	}
}

// judge counts the statements that reached the instance too late: single ones, and the first
// one of each transaction.
func judge(l *lab.Lab, instance string, acknowledgedAt, from, endedAt time.Duration) int {
	history := l.History.Copy()
	early, late := 0, 0
	transactions := map[string]bool{}
	var first, last linehistory.Execution
	for _, execution := range history.Executions {
		if execution.Instance != instance {
			continue
		}
		transaction := fmt.Sprint(execution.Conn, " ", execution.Transaction)
		follows := transactions[transaction] && execution.Transaction != 0
		transactions[transaction] = true
		if execution.At < acknowledgedAt || follows {
			continue
		}
		if execution.At < from {
			early++
			continue
		}
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
