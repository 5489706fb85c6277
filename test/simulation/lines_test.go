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
	Convey("The same seed gives the same history of a fleet of synced instances, and another another", t, func() {
		config := shortLines()
		first, again, other := RunLines(3, config, LineDefects{}, nil), RunLines(3, config, LineDefects{}, nil), RunLines(4, config, LineDefects{}, nil)
		So(first.HistoryDigest, ShouldEqual, again.HistoryDigest)
		So(first.HistoryDigest, ShouldNotEqual, other.HistoryDigest)
	})
}

// soServesAllWithoutFaults checks a run without any fault.
func soServesAllWithoutFaults(config LineConfig) {
	config.Script = func(*lineFleet) {}
	result := RunLines(1, config, LineDefects{}, nil)
	So(result.Violations, ShouldBeEmpty)
	So(result.FailureCodes, ShouldBeEmpty)
	So(result.Terms, ShouldEqual, 1)
	So(result.Served, ShouldBeGreaterThan, 1000)
}

func TestLinesFixedSeeds(t *testing.T) {
	Convey("Without trouble all is served, and without a promise or a cut", t, func() {
		soServesAllWithoutFaults(shortLines())
	})
	Convey("Every rule holds under random troubles, by fixed seeds", t, func() {
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

func TestLinesCrowded(t *testing.T) {
	Convey("With more nodes than an instance takes connections all is served, and without a promise or a cut", t, func() {
		soServesAllWithoutFaults(CrowdedLineConfig())
	})
	Convey("So every rule holds there under random troubles", t, func() {
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
		why    string
		seed   uint64
		config LineConfig
	}{
		{"a late promote call of an earlier intent, of the same holder and fence, was taken", 8000170, SmallLineConfig()},
		{"a primary that started again never had the others follow, and one that crashed while leaving never ended", 8000029, SmallLineConfig()},
		{"a control primary that took over listed an instance that leaves as it had heard it long before", 8001066, LargeLineConfig()},
		{"the holder of a duty did not renew it in time, and never saw an instance's answer while it was fresh", 8006071, LargeLineConfig()},
	}
	Convey("Seeds of lines on which a rule was broken once break none", t, func() {
		for _, known := range seeds {
			Convey(fmt.Sprintf("%d: %s", known.seed, known.why), func() {
				So(RunLines(known.seed, known.config, LineDefects{}, nil).Violations, ShouldBeEmpty)
			})
		}
	})
}

func TestLinesStartsAgain(t *testing.T) {
	Convey("A primary that crashed before the others heard of its term has them follow when it is back", t, func() {
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
	Convey("An instance that crashed while it was leaving ends all the same", t, func() {
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
