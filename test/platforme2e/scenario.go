package platforme2e

import (
	"time"

	"tansyseam/test/platformstandin"
)

// Scenario subjects a fleet under load to a fault or a change.
type Scenario struct {
	Name, Description string
	Run               func(*Run)
	// FaultFree is true if the scenario injects no faults and only performs planned
	// operations.
	FaultFree bool
	// AdjustMix, if given, changes the mix of operations of each client.
	AdjustMix func(*platformstandin.Mix)
}

// Scenarios returns the scenarios in platform mode, in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Description: "load without faults", FaultFree: true, Run: runSteady},
		{Name: "primary-crash", Description: "a primary crashes and restarts with its log", Run: runPrimaryCrash},
		{Name: "primary-dark", Description: "a primary hangs and does not return", Run: runPrimaryHang},
		{Name: "promote-trouble", Description: "a primary crashes while the platform refuses and is slow", Run: runPromoteFaults},
		{Name: "replace", Description: "a primary replaced as planned: it drains, leaves and stops", FaultFree: true, Run: runPrimaryReplacement},
		{Name: "stop", Description: "a proxy stopped by SIGTERM and restarted", FaultFree: true, Run: runPlannedStop},
		{
			Name: "stop-busy", Description: "proxies stopped by SIGTERM one after the other, beside SIGHUPs and changes, while sessions without pauses fill their queues",
			FaultFree: true, Run: runBusyStops,
		},
		{Name: "control-kill", Description: "the control primary killed and restarted", Run: runControlKill},
		{
			Name: "control-replace", Description: "two control processes killed and replaced, one after the other, then one stopped as planned",
			Run: runControlReplacement,
		},
		{Name: "change", Description: "configurations replaced, sent concurrently, outdated and invalid", FaultFree: true, Run: runChange},
		{Name: "lose", Description: "answers lost after execution, and statements refused as busy", Run: runLostAnswers},
		{Name: "line-ends", Description: "CR and LF inside texts and rows, and writes split at any byte", FaultFree: true, Run: runLineEnds, AdjustMix: addLineEnds},
		{Name: "repeat", Description: "instances send answers twice, the second time up to 60 ms later", Run: runRepeatedAnswers},
		{Name: "repeat-lines", Description: "instances send single lines of answers twice, and split their writes", Run: runRepeatedLines},
		{
			Name: "messages-soak", Description: "CR and LF in texts, answers and lines sent twice, beside crashes, restarts, stops and changes in series",
			Run: runMessagesSoak, AdjustMix: addLineEnds,
		},
		{Name: "repeat-crash", Description: "instances send answers twice while a primary crashes and restarts", Run: runRepeatedAnswersAndCrash},
	}
}

func runSteady(r *Run) {
	r.Sleep(4 * time.Second)
	if count := len(r.Platform.PromoteCalls()); count != 0 {
		r.Errorf("%d promote calls without a fault", count)
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
