package platforme2e

import (
	"time"

	"tansyseam/test/platformstandin"
)

// Scenario brings about one fault, or one change, under load.
type Scenario struct {
	Name, Description string
	Run               func(*Run)
	// Quiet says that nothing but planned work happens.
	Quiet bool
}

// Scenarios lists them all.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Description: "load, and no trouble", Quiet: true, Run: func(t *Run) {
			t.Sleep(4 * time.Second)
			if count := len(t.Platform.PromoteCalls()); count != 0 {
				t.Errorf("%d promote calls without a cause", count)
			}
		}},
		{Name: "primary-crash", Description: "a primary crashes, and returns with its log", Run: func(t *Run) {
			t.failOverPrimary(func(old *platformstandin.Instance) { old.Crash() }, func(old *platformstandin.Instance) { _ = old.Start() })
		}},
		{Name: "primary-dark", Description: "a primary goes dark, for good", Run: func(t *Run) {
			t.failOverPrimary(func(old *platformstandin.Instance) { old.Hang() }, func(*platformstandin.Instance) {})
		}},
		{Name: "promote-trouble", Description: "a primary crashes while the platform refuses and is slow", Run: func(t *Run) {
			t.Platform.SetPromoteFaults(400*time.Millisecond, 3, false)
			t.failOverPrimary(func(old *platformstandin.Instance) { old.Crash() }, func(old *platformstandin.Instance) { _ = old.Start() })
		}},
		{Name: "replace", Description: "a primary is to be replaced: it drains, leaves and ends", Quiet: true, Run: runPrimaryReplacement},
		{Name: "stop", Description: "a node stopped by SIGTERM, and started again", Quiet: true, Run: runPlannedStop},
		{Name: "control-kill", Description: "the control primary killed, back later", Run: runControlKill},
		{Name: "control-replace", Description: "control machines gone for good and replaced, one after the other, then one stopped as planned", Run: runControlReplacement},
		{Name: "change", Description: "configurations changed, racing, old and broken", Quiet: true, Run: runChange},
		{Name: "lose", Description: "answers lost after running, and statements refused as busy", Run: func(t *Run) {
			for range 4 {
				for _, process := range t.Services[0].Instances() {
					process.LoseAnswers(3)
					process.RefuseStatements(3)
				}
				t.Sleep(500 * time.Millisecond)
			}
		}},
	}
}
