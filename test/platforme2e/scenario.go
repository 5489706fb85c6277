package platforme2e

import "time"

// Scenario is one fault, or one change, that a fleet meets under load.
type Scenario struct {
	Name, Description string
	Run               func(*Run)
	// Quiet says that the scenario has no faults, only planned work.
	Quiet bool
}

// Scenarios returns the runs in platform mode, in the order in which they are
// played.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Description: "load, and no trouble", Quiet: true, Run: runSteady},
		{Name: "primary-crash", Description: "a primary crashes, and returns with its log", Run: runPrimaryCrash},
		{Name: "primary-dark", Description: "a primary goes dark, for good", Run: runPrimaryHang},
		{Name: "promote-trouble", Description: "a primary crashes while the platform refuses and is slow", Run: runPromoteFaults},
		{Name: "replace", Description: "a primary is to be replaced: it drains, leaves and ends", Quiet: true, Run: runPrimaryReplacement},
		{Name: "stop", Description: "a node stopped by SIGTERM, and started again", Quiet: true, Run: runPlannedStop},
		{Name: "control-kill", Description: "the control primary killed, back later", Run: runControlKill},
		{
			Name: "control-replace", Description: "control processes gone for good and replaced, one after the other, then one stopped as planned",
			Run: runControlReplacement,
		},
		{Name: "change", Description: "configurations changed, racing, old and broken", Quiet: true, Run: runChange},
		{Name: "lose", Description: "answers lost after running, and statements refused as busy", Run: runLostAnswers},
	}
}

func runSteady(r *Run) {
	r.Sleep(4 * time.Second)
	if count := len(r.Platform.PromoteCalls()); count != 0 {
		r.Errorf("%d promote calls without a cause", count)
	}
}

func runLostAnswers(r *Run) {
	for range 4 {
		for _, instance := range r.Services[0].Instances() {
			instance.LoseAnswers(3)
			instance.RefuseStatements(3)
		}
		r.Sleep(500 * time.Millisecond)
	}
}
