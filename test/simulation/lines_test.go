package simulation

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func runManyLines(from, count uint64, size LineConfig, defects LineDefects) []LineResult {
	results := make([]LineResult, count)
	slots := make(chan bool, 5)
	var group sync.WaitGroup
	for at := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- true
			results[at] = RunLines(from+at, size, defects, nil)
			<-slots
		}()
	}
	group.Wait()
	return results
}

func shortLines() LineConfig {
	size := SmallLineConfig()
	size.FaultDuration = 10 * time.Second
	return size
}

func TestLinesSameSeedSameHistory(t *testing.T) {
	Convey("The same seed gives the same history of a fleet of synced instances, and another another", t, func() {
		size := shortLines()
		first, again, other := RunLines(3, size, LineDefects{}, nil), RunLines(3, size, LineDefects{}, nil), RunLines(4, size, LineDefects{}, nil)
		So(first.HistoryDigest, ShouldEqual, again.HistoryDigest)
		So(first.HistoryDigest, ShouldNotEqual, other.HistoryDigest)
	})
}

func TestLinesFixedSeeds(t *testing.T) {
	Convey("Without trouble all is served, and without a promise or a cut", t, func() {
		size := shortLines()
		size.Script = func(*lineFleet) {}
		result := RunLines(1, size, LineDefects{}, nil)
		So(result.Violations, ShouldBeEmpty)
		So(result.FailureCodes, ShouldBeEmpty)
		So(result.Terms, ShouldEqual, 1)
		So(result.Served, ShouldBeGreaterThan, 1000)
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
		size := CrowdedLineConfig()
		size.Script = func(*lineFleet) {}
		result := RunLines(1, size, LineDefects{}, nil)
		So(result.Violations, ShouldBeEmpty)
		So(result.FailureCodes, ShouldBeEmpty)
		So(result.Terms, ShouldEqual, 1)
		So(result.Served, ShouldBeGreaterThan, 1000)
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
		why  string
		seed uint64
		size LineConfig
	}{
		{"a late promote call of an earlier intent, of the same holder and fence, was taken", 8000170, SmallLineConfig()},
		{"a primary that started again never had the others follow, and one that crashed while leaving never ended", 8000029, SmallLineConfig()},
		{"a control primary that took over listed an instance that leaves as it had heard it long before", 8001066, LargeLineConfig()},
		{"the holder of a duty did not renew it in time, and never saw an instance's answer while it was fresh", 8006071, LargeLineConfig()},
	}
	Convey("Seeds of lines on which a rule was broken once break none", t, func() {
		for _, one := range seeds {
			Convey(fmt.Sprintf("%d: %s", one.seed, one.why), func() {
				So(RunLines(one.seed, one.size, LineDefects{}, nil).Violations, ShouldBeEmpty)
			})
		}
	})
}

func TestLinesStartsAgain(t *testing.T) {
	Convey("A primary that crashed before the others heard of its term has them follow when it is back", t, func() {
		size := shortLines()
		size.Script = func(l *lineFleet) {
			old := l.instancesByAddress["db1-a:1"]
			l.crashInstance(old, 6*time.Second)
			for _, one := range []string{"db1-b", "db1-c"} {
				for _, other := range l.instancesOf("db1") {
					l.blockLink([2]string{one, other.name}, 5*time.Second)
				}
			}
			var watch func()
			watch = func() {
				if head := l.primaryOf("db1"); head != nil && head.term == 2 {
					l.crashInstance(head, 200*time.Millisecond)
					return
				}
				l.simulator.after(20*time.Millisecond, watch)
			}
			watch()
		}
		result := RunLines(1, size, LineDefects{}, nil)
		So(result.Terms, ShouldEqual, 2)
		So(result.Violations, ShouldBeEmpty)
	})
	Convey("An instance that crashed while it was leaving ends all the same", t, func() {
		size := shortLines()
		var one *lineInstance
		size.Script = func(l *lineFleet) {
			one = l.instancesByAddress["db1-c:1"]
			one.leave()
			l.simulator.after(time.Second, func() { l.crashInstance(one, time.Second) })
		}
		So(RunLines(1, size, LineDefects{}, nil).Violations, ShouldBeEmpty)
		So(one.ended, ShouldBeTrue)
	})
}

// mirrored plays fleets at work in which one instance is slow for a while, one
// loses answers and one lags, and holds each window to the paper.
func mirrored(defects LineDefects, isBusy bool) (result LineResult, moves, blind int, widest, slowest float64) {
	size := shortLines()
	size.FaultDuration, size.RecoveryDuration, size.Connections, size.StaleLatencyTarget = 18*time.Second, 13*time.Second, 48, 800*time.Millisecond
	var fleet *lineFleet
	size.Script = func(l *lineFleet) {
		fleet = l
		l.modelsWindows = true
		for _, one := range l.clients {
			if isBusy {
				one.pace = 4 * time.Millisecond
			}
		}
		for _, one := range l.lineNodes {
			one.crash()
			one.start()
		}
		slow, losing, lagging := l.instancesByAddress["db1-a:1"], l.instancesByAddress["db2-b:1"], l.instancesByAddress["db2-c:1"]
		l.simulator.after(9*time.Second, func() {
			slow.serviceTime, losing.answersToLose, lagging.replicationDelay = 70*time.Millisecond, 4, 1500*time.Millisecond
		})
		l.simulator.after(14*time.Second, func() { slow.serviceTime, lagging.replicationDelay = 5*time.Millisecond, 2*time.Millisecond })
	}
	result = RunLines(5, size, defects, nil)
	return result, fleet.windowUpdates, fleet.uncertainWindows, fleet.maxWindow, fleet.maxLatency
}

func TestLineWindowsFollowThePaper(t *testing.T) {
	Convey("On a whole fleet of synced instances, every window and CAL of each node is what the paper's equations give for the latencies that its connections saw, and no more is out than that", t, func() {
		for _, isBusy := range []bool{false, true} {
			result, moves, blind, widest, slowest := mirrored(LineDefects{}, isBusy)
			So(result.Violations, ShouldBeEmpty)
			So(moves, ShouldBeGreaterThan, 20)
			So(blind, ShouldBeLessThan, 5)
			So(widest, ShouldBeGreaterThan, 2.5)
			So(slowest, ShouldBeGreaterThan, float64(30*time.Millisecond))
		}
	})
	Convey("A node that takes answers for later than they are, or grows by another's weight, is found", t, func() {
		for _, defects := range []LineDefects{{LateAnswers: true}, {WrongWeight: true}} {
			result, _, _, _, _ := mirrored(defects, true)
			So(len(result.Violations[RuleWindow]), ShouldBeGreaterThan, 10)
		}
	})
}

func TestLinesPlantedDefects(t *testing.T) {
	onlyWithoutRace(t)
	with := func(longest time.Duration, only ...string) LineConfig {
		size := shortLines()
		size.AllowedFaults, size.MaxFaultDuration = only, longest
		return size
	}
	cutOff := shortLines()
	cutOff.Script = func(l *lineFleet) {
		isolated := l.lineNodes[0]
		for _, control := range l.controls {
			l.blockLink([2]string{isolated.name, control.name}, 9*time.Second)
			l.blockLink([2]string{control.name, isolated.name}, 9*time.Second)
		}
		for _, other := range l.lineNodes[1:] {
			l.blockLink([2]string{other.name, isolated.name}, 9*time.Second)
		}
		old := l.primaryOf(l.databases[0])
		for _, control := range l.controls {
			l.blockLink([2]string{old.name, control.name}, 8*time.Second)
			l.blockLink([2]string{control.name, old.name}, 8*time.Second)
		}
		next, last := l.instancesByAddress["db1-b:1"], l.instancesByAddress["db1-c:1"]
		last.replicationDelay = 60 * time.Millisecond
		for _, way := range [][2]string{{next.name, last.name}, {last.name, next.name}, {next.name, old.name}} {
			l.simulator.after(1500*time.Millisecond, func() { l.blockLink(way, 8*time.Second) })
		}
		l.simulator.after(time.Second, func() {
			for _, one := range l.lineNodes[1:] {
				for _, link := range one.links {
					if link.instance == old {
						link.session.close()
						link.breakOff()
					}
				}
			}
			old.leavingSince = l.simulator.now
			for _, control := range l.controls {
				control.onAnnouncement(old.info())
			}
			old.leavingSince = 0
		})
	}
	defects := []struct {
		name   string
		defect LineDefects
		rule   string
		size   LineConfig
	}{
		{"a node changes texts", LineDefects{AlteredTexts: true}, RuleUnasked, with(time.Second, "replica lag")},
		{"a node mixes answers up", LineDefects{SwappedAnswers: true}, RuleMixed, with(time.Second, "replica lag")},
		{"instances do not reset", LineDefects{IgnoredResets: true}, RulePinned, with(time.Second, "replica lag")},
		{"a node sends writes twice", LineDefects{DuplicatedWrites: true}, RuleTwice, with(time.Second, "replica lag")},
		{"a node promises what it does not know", LineDefects{UnknownReportedAsBusy: true}, RuleRefused, with(time.Second, "answers lost", "connections reset")},
		{"floors are lost", LineDefects{DroppedMinPositions: true}, RuleStale, with(8*time.Second, "replica lag", "replica deaf")},
		{"leases are too long", LineDefects{OverlongLeases: true}, RuleOne, cutOff},
		{"the worst replica is promoted", LineDefects{PromoteWorstReplica: true}, RuleLost, with(6*time.Second, "replica deaf, primary crash")},
		{"nobody hears that an instance leaves", LineDefects{IgnoreLeaving: true}, RuleDrain, with(time.Second, "instance leaving")},
		{"leases are too long for a set that comes", LineDefects{OverlongLeases: true}, RuleConfig, with(9*time.Second, "node cut off")},
		{"a planned stop ends sessions at once", LineDefects{AbruptStop: true}, RuleLost, with(time.Second, "node stopped as planned")},
		{"nodes that start again ask for nothing", LineDefects{NoUpdatesAfterRestart: true}, RuleRecover, with(time.Second, "node kill")},
	}
	Convey("Each planted defect breaks its rule on some of a few seeds, and the same seeds pass without it", t, func() {
		for _, one := range defects {
			count, others := 0, map[string]int{}
			for _, result := range runManyLines(1, 4, one.size, one.defect) {
				if _, broken := result.Violations[one.rule]; broken {
					count++
				}
				for rule := range result.Violations {
					others[rule]++
				}
			}
			So(fmt.Sprintf("%s: %v, broke %v", one.name, count > 0, others), ShouldStartWith, one.name+": true")
			for _, result := range runManyLines(1, 1, one.size, LineDefects{}) {
				SoMsg(one.name+": without", result.Violations, ShouldBeEmpty)
			}
		}
	})
}
