package simulation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// runWithWindowModels runs fleets at work in which one instance is slow for a
// while, one loses answers and one lags, with each window checked against the
// paper's equations.
func runWithWindowModels(defects LineDefects, busy bool) (LineResult, windowChecks) {
	config := shortLines()
	config.FaultDuration, config.RecoveryDuration, config.Connections, config.StaleLatencyTarget = 18*time.Second, 13*time.Second, 48, 800*time.Millisecond
	var fleet *lineFleet
	config.Script = func(l *lineFleet) {
		fleet = l
		l.windows.enabled = true
		for _, client := range l.clients {
			if busy {
				client.pace = 4 * time.Millisecond
			}
		}
		for _, node := range l.nodes {
			node.crash()
			node.start()
		}
		slow, losing, lagging := l.instancesByAddress["db1-a:1"], l.instancesByAddress["db2-b:1"], l.instancesByAddress["db2-c:1"]
		l.simulator.after(9*time.Second, func() {
			slow.serviceTime, losing.answersToLose, lagging.replicationDelay = 70*time.Millisecond, 4, 1500*time.Millisecond
		})
		l.simulator.after(14*time.Second, func() { slow.serviceTime, lagging.replicationDelay = 5*time.Millisecond, 2*time.Millisecond })
	}
	result := RunLines(5, config, defects, nil)
	return result, fleet.windows
}

func TestLineWindowsFollowThePaper(t *testing.T) {
	Convey("On a whole fleet of synced instances, every window and CAL of each node is what the paper's equations give for the latencies that its connections saw, and no more is out than that", t, func() {
		for _, busy := range []bool{false, true} {
			result, windows := runWithWindowModels(LineDefects{}, busy)
			So(result.Violations, ShouldBeEmpty)
			So(windows.updates, ShouldBeGreaterThan, 20)
			So(windows.uncertain, ShouldBeLessThan, 5)
			So(windows.maxWindow, ShouldBeGreaterThan, 2.5)
			So(windows.maxLatency, ShouldBeGreaterThan, float64(30*time.Millisecond))
		}
	})
	Convey("A node that takes answers for later than they are, or grows by another's weight, is found", t, func() {
		for _, defects := range []LineDefects{{LateAnswers: true}, {WrongWeight: true}} {
			result, _ := runWithWindowModels(defects, true)
			So(len(result.Violations[RuleWindow]), ShouldBeGreaterThan, 10)
		}
	})
}
