package simulation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWindowsFollowThePaper(t *testing.T) {
	Convey("In a whole fleet under load, each window and CAL of each node equals the result of the paper's equations for the latencies on its connections", t, func() {
		for _, busy := range []bool{false, true} {
			config := SmallConfig()
			config.FaultDuration, config.RecoveryDuration, config.Callers = 14*time.Second, time.Second, 40
			updates, maxWindow := 0, 0.0
			config.Script = func(f *fleet) {
				f.windows.enabled = true
				if busy {
					f.loadFactor = 8
				}
				for _, node := range f.nodes {
					node.crash()
					node.start()
				}
				f.simulator.after(13*time.Second, func() { updates, maxWindow = f.windows.updates, f.windows.maxWindow })
			}
			result := Run(5, config, Defects{}, nil)
			So(result.Violations[simulatorRule], ShouldBeEmpty)
			So(updates, ShouldBeGreaterThan, 8)
			So(maxWindow, ShouldBeGreaterThan, 2.5)
		}
	})
}
