package simulation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestKilledAtEachStep(t *testing.T) {
	onlyWithoutRace(t)
	Convey("When the control primary or its backup crashes before any of its syncs, during submissions of sets, a change of epoch and a promotion, no rule is violated, and most runs promote another instance", t, func() {
		results := runConcurrently(2*24, concurrentRuns, func(index uint64) Result {
			config := SmallConfig()
			config.FaultDuration, config.RecoveryDuration = 8*time.Second, 15*time.Second
			config.Script = func(f *fleet) {
				target := f.activePrimary()
				if index%2 == 1 {
					target = f.findControl(target.consensus.Record().Backup)
				}
				target.writesUntilCrash = 1 + int(index/2)
				old := f.currentPrimary(f.databases[0])
				f.simulator.after(300*time.Millisecond, func() { old.crashAndRestart(old.start, 4*time.Second) })
			}
			return Run(100+index, config, Defects{}, nil)
		})
		promoted := 0
		for index, result := range results {
			SoMsg(time.Duration(index).String(), result.Violations, ShouldBeEmpty)
			if result.Terms > 1 {
				promoted++
			}
		}
		So(promoted, ShouldBeGreaterThan, len(results)*3/4)
	})
}

func TestDiskMachinesLostForGood(t *testing.T) {
	onlyWithoutRace(t)
	Convey("When two primaries of five control servers are lost permanently, the second one after the epoch was repaired, no rule is violated", t, func() {
		config := LargeConfig()
		config.FaultDuration, config.RecoveryDuration = 9*time.Second, 15*time.Second
		var lost []*controlServer
		config.Script = func(f *fleet) {
			lose := func() {
				control := f.activePrimary()
				lost = append(lost, control)
				control.crash()
			}
			lose()
			f.simulator.after(5*time.Second, lose)
		}
		result := Run(7, config, Defects{}, nil)
		So(result.Violations, ShouldBeEmpty)
		So(len(lost), ShouldEqual, 2)
		So(lost[0].name, ShouldNotEqual, lost[1].name)
		So(result.Epochs, ShouldBeGreaterThanOrEqualTo, 5)
	})
	Convey("When the primary of three control servers loses its disk and returns blank, and then the next one does after the epoch was repaired, no rule is violated", t, func() {
		config := SmallConfig()
		config.FaultDuration, config.RecoveryDuration = 12*time.Second, 15*time.Second
		config.Script = func(f *fleet) {
			lose := func() {
				control := f.activePrimary()
				control.crashAndRestart(control.start, 2*time.Second)
				control.disk = newDisk()
			}
			lose()
			f.simulator.after(6*time.Second, lose)
		}
		result := Run(8, config, Defects{}, nil)
		So(result.Violations, ShouldBeEmpty)
		So(result.Epochs, ShouldBeGreaterThanOrEqualTo, 5)
	})
}

// cutOffRun is the result of a run in which the control primary was cut off.
type cutOffRun struct {
	violations map[string][]string
	// answeredReads is the number of operators' reads that were answered in the
	// first 23 s of the script.
	answeredReads int
	// hasSuccessor is true if another server was primary 4 s after the cut.
	hasSuccessor bool
}

// cutOffPrimary cuts the control primary off from the other control servers for
// 20 s. The function blocked returns the links that are cut between it and each
// other server.
func cutOffPrimary(seed uint64, blocked func(isolated, other string) []link, defects Defects) cutOffRun {
	run := cutOffRun{}
	config := SmallConfig()
	config.FaultDuration, config.RecoveryDuration = 24*time.Second, 15*time.Second
	config.Script = func(f *fleet) {
		f.faults.followUpsLeft = 0
		isolated := f.activePrimary()
		for _, other := range f.controls {
			for _, l := range blocked(isolated.name, other.name) {
				if other != isolated {
					f.simulator.blockLink(l, 20*time.Second)
				}
			}
		}
		f.simulator.after(4*time.Second, func() {
			next := f.activePrimary()
			run.hasSuccessor = next != nil && next != isolated
		})
		f.simulator.after(23*time.Second, func() { run.answeredReads = f.answeredReads })
	}
	run.violations = Run(seed, config, defects, nil).Violations
	return run
}

func TestControlCutOffForLong(t *testing.T) {
	onlyWithoutRace(t)
	bothWays := func(isolated, other string) []link { return []link{{isolated, other}, {other, isolated}} }
	cuts := map[string]func(isolated, other string) []link{
		"both ways":             bothWays,
		"only from the primary": func(isolated, other string) []link { return []link{{isolated, other}} },
		"only to the primary":   func(isolated, other string) []link { return []link{{other, isolated}} },
		"both ways, except for c3": func(isolated, other string) []link {
			if other == "c3" {
				return nil
			}
			return bothWays(isolated, other)
		},
	}
	Convey("When the control primary is cut off from the other control servers for 20 s, but not from nodes and operators, no read is older than an acknowledged write, at most one server is primary, and another server takes over if the cut is in both directions", t, func() {
		for name, blocked := range cuts {
			for seed := range uint64(4) {
				run := cutOffPrimary(40+seed, blocked, Defects{})
				SoMsg(name, run.violations, ShouldBeEmpty)
				SoMsg(name, run.answeredReads, ShouldBeGreaterThan, 50)
				if name == "both ways" {
					So(run.hasSuccessor, ShouldBeTrue)
				}
			}
		}
	})
	Convey("The checks detect a control server that answers reads without being primary", t, func() {
		broken := 0
		for seed := range uint64(4) {
			run := cutOffPrimary(40+seed, bothWays, Defects{ReadWithoutPrimacy: true})
			broken += len(run.violations[simulatorRule])
		}
		So(broken, ShouldBeGreaterThan, 0)
	})
}
