package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func runManyLines(from, count uint64, config LineConfig, defects LineDefects) []LineResult {
	return runConcurrently(count, concurrentRuns, func(index uint64) LineResult { return RunLines(from+index, config, defects, nil) })
}

func shortLines() LineConfig {
	config := SmallLineConfig()
	config.FaultDuration = 10 * time.Second
	return config
}

func TestLinesSameSeedSameHistory(t *testing.T) {
	Convey("The same seed leads to the same history of a fleet of line sessions, and another seed to a different history", t, func() {
		config := shortLines()
		first, repeated, other := RunLines(3, config, LineDefects{}, nil), RunLines(3, config, LineDefects{}, nil), RunLines(4, config, LineDefects{}, nil)
		So(first.HistoryDigest, ShouldEqual, repeated.HistoryDigest)
		So(first.HistoryDigest, ShouldNotEqual, other.HistoryDigest)
	})
}

// assertAllServedWithoutFaults checks that a run without faults has no violation,
// no failed operation and no failover.
func assertAllServedWithoutFaults(config LineConfig) {
	config.Script = func(*lineFleet) {}
	result := RunLines(1, config, LineDefects{}, nil)
	So(result.Violations, ShouldBeEmpty)
	So(result.FailureCodes, ShouldBeEmpty)
	So(result.Terms, ShouldEqual, 1)
	So(result.Served, ShouldBeGreaterThan, 1000)
}

func TestLinesFixedSeeds(t *testing.T) {
	Convey("Without faults, all operations are served, and no query fails or loses its session", t, func() {
		assertAllServedWithoutFaults(shortLines())
	})
	Convey("Under random faults of fixed seeds, no rule is violated", t, func() {
		count := uint64(16)
		if isRace {
			count = 8
		}
		terms := uint64(0)
		for _, result := range runManyLines(1, count, SmallLineConfig(), LineDefects{}) {
			SoMsg(fmt.Sprintf("seed %d", result.Seed), result.Violations, ShouldBeEmpty)
			So(result.Writes, ShouldBeGreaterThan, 300)
			terms += result.Terms - 1
		}
		So(terms, ShouldBeGreaterThan, count/2)
	})
}

func TestLinesRepeatedAnswers(t *testing.T) {
	// Guards against repeated answers that are taken for those to other statements,
	// while transactions cannot begin (MIXED, PINNED, REFUSED, STALE).
	Convey("When instances send answers twice beside crashes, lags and planned changes of primaries, no rule is violated", t, func() {
		onlyWithoutRace(t)
		config := shortLines()
		config.AllowedFaults = []string{"answers repeated", "answers repeated", "primary crash", "replica lag", "primary leaving", "connections reset"}
		config.MaxFaultDuration, config.MaxFaultInterval = 4*time.Second, time.Second
		for _, result := range runManyLines(1, 8, config, LineDefects{}) {
			SoMsg(fmt.Sprintf("seed %d", result.Seed), result.Violations, ShouldBeEmpty)
			So(result.Writes, ShouldBeGreaterThan, 300)
		}
	})
}

func TestLinesCrowded(t *testing.T) {
	Convey("With more nodes than an instance accepts connections, all operations are served, and no query fails or loses its session", t, func() {
		assertAllServedWithoutFaults(CrowdedLineConfig())
	})
	Convey("With more nodes than an instance accepts connections, no rule is violated under random faults", t, func() {
		onlyWithoutRace(t)
		for _, result := range runManyLines(1, 4, CrowdedLineConfig(), LineDefects{}) {
			SoMsg(fmt.Sprintf("seed %d", result.Seed), result.Violations, ShouldBeEmpty)
			So(result.Writes, ShouldBeGreaterThan, 300)
		}
	})
}

func TestLinesSeedsOnceBroken(t *testing.T) {
	onlyWithoutRace(t)
	seeds := []struct {
		fault  string
		seed   uint64
		config LineConfig
	}{
		{"a late promotion call of an earlier promotion attempt, with the same holder of the singleton role and fencing token, was accepted", 8000170, SmallLineConfig()},
		{"a restarted primary never redirected the other instances to itself, and a primary that crashed while leaving never ended", 8000029, SmallLineConfig()},
		{"a new control primary listed a leaving instance by an announcement that it had received long before the failover", 8001066, LargeLineConfig()},
		{"the holder of a singleton role did not renew it in time, and never processed an instance's answer while the answer was fresh", 8006071, LargeLineConfig()},
	}
	Convey("Seeds of line sessions on which a rule was once violated violate no rule", t, func() {
		for _, regression := range seeds {
			Convey(fmt.Sprintf("%d: %s", regression.seed, regression.fault), func() {
				So(RunLines(regression.seed, regression.config, LineDefects{}, nil).Violations, ShouldBeEmpty)
			})
		}
	})
}

func TestLinesStartsAgain(t *testing.T) {
	Convey("When a primary crashes before the other instances receive its term, they follow it after its restart", t, func() {
		config := shortLines()
		config.Script = func(l *lineFleet) {
			old := l.instancesByAddress["db1-a:1"]
			l.crashInstance(old, 6*time.Second)
			for _, name := range []string{"db1-b", "db1-c"} {
				for _, other := range l.instancesOf("db1") {
					l.simulator.blockLink(link{name, other.name}, 5*time.Second)
				}
			}
			var watch func()
			watch = func() {
				if primary := l.primaryOf("db1"); primary != nil && primary.term == 2 {
					l.crashInstance(primary, 200*time.Millisecond)
					return
				}
				l.simulator.after(20*time.Millisecond, watch)
			}
			watch()
		}
		result := RunLines(1, config, LineDefects{}, nil)
		So(result.Terms, ShouldEqual, 2)
		So(result.Violations, ShouldBeEmpty)
	})
	Convey("When an instance crashes while it is leaving, it still ends after its restart", t, func() {
		config := shortLines()
		var leaving *lineInstance
		config.Script = func(l *lineFleet) {
			leaving = l.instancesByAddress["db1-c:1"]
			leaving.leave()
			l.simulator.after(time.Second, func() { l.crashInstance(leaving, time.Second) })
		}
		So(RunLines(1, config, LineDefects{}, nil).Violations, ShouldBeEmpty)
		So(leaving.ended, ShouldBeTrue)
	})
}
