package simulation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// runWithWindowModels runs a fleet in which one instance is slow for some time,
// one loses answers and one lags. Each window is checked against the paper's
// equations. If busy is true, the clients send operations at a higher rate.
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
	Convey("In a whole fleet of line sessions, each window and CAL of each node equals the result of the paper's equations for the latencies on its connections, and no node has more statements in flight than its window permits", t, func() {
		for _, busy := range []bool{false, true} {
			result, windows := runWithWindowModels(LineDefects{}, busy)
			So(result.Violations, ShouldBeEmpty)
			So(windows.updates, ShouldBeGreaterThan, 20)
			So(windows.uncertain, ShouldBeLessThan, 5)
			So(windows.maxWindow, ShouldBeGreaterThan, 2.5)
			So(windows.maxLatency, ShouldBeGreaterThan, float64(30*time.Millisecond))
		}
	})
	Convey("When a node records answers later than they arrive, or uses a wrong weight, its windows differ from the results of the equations", t, func() {
		for _, defects := range []LineDefects{{LateAnswers: true}, {WrongWeight: true}} {
			result, _ := runWithWindowModels(defects, true)
			So(len(result.Violations[RuleWindow]), ShouldBeGreaterThan, 10)
		}
	})
}
