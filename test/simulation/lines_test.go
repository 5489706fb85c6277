package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/linehistory"
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

func TestLinesFixedSeeds(t *testing.T) {
	Convey("Without trouble all is served, and without a promise or a cut", t, func() {
		config := shortLines()
		config.Script = func(*lineFleet) {}
		result := RunLines(1, config, LineDefects{}, nil)
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
		config := CrowdedLineConfig()
		config.Script = func(*lineFleet) {}
		result := RunLines(1, config, LineDefects{}, nil)
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
			for _, one := range []string{"db1-b", "db1-c"} {
				for _, other := range l.instancesOf("db1") {
					l.simulator.blockLink(link{one, other.name}, 5*time.Second)
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
		result := RunLines(1, config, LineDefects{}, nil)
		So(result.Terms, ShouldEqual, 2)
		So(result.Violations, ShouldBeEmpty)
	})
	Convey("An instance that crashed while it was leaving ends all the same", t, func() {
		config := shortLines()
		var one *lineInstance
		config.Script = func(l *lineFleet) {
			one = l.instancesByAddress["db1-c:1"]
			one.leave()
			l.simulator.after(time.Second, func() { l.crashInstance(one, time.Second) })
		}
		So(RunLines(1, config, LineDefects{}, nil).Violations, ShouldBeEmpty)
		So(one.ended, ShouldBeTrue)
	})
}

// runWithWindowModels runs fleets at work in which one instance is slow for a
// while, one loses answers and one lags, with each window checked against the
// paper's equations.
func runWithWindowModels(defects LineDefects, busy bool) (LineResult, lineWindowChecks) {
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

func TestLinesPlantedDefects(t *testing.T) {
	onlyWithoutRace(t)
	with := func(longest time.Duration, only ...string) LineConfig {
		config := shortLines()
		config.AllowedFaults, config.MaxFaultDuration = only, longest
		return config
	}
	cutOff := shortLines()
	cutOff.Script = func(l *lineFleet) {
		isolated := l.nodes[0]
		for _, control := range l.controls {
			l.simulator.blockLink(link{isolated.name, control.name}, 9*time.Second)
			l.simulator.blockLink(link{control.name, isolated.name}, 9*time.Second)
		}
		for _, other := range l.nodes[1:] {
			l.simulator.blockLink(link{other.name, isolated.name}, 9*time.Second)
		}
		old := l.primaryOf(l.databases[0])
		for _, control := range l.controls {
			l.simulator.blockLink(link{old.name, control.name}, 8*time.Second)
			l.simulator.blockLink(link{control.name, old.name}, 8*time.Second)
		}
		next, last := l.instancesByAddress["db1-b:1"], l.instancesByAddress["db1-c:1"]
		last.replicationDelay = 60 * time.Millisecond
		for _, way := range []link{{next.name, last.name}, {last.name, next.name}, {next.name, old.name}} {
			l.simulator.after(1500*time.Millisecond, func() { l.simulator.blockLink(way, 8*time.Second) })
		}
		l.simulator.after(time.Second, func() {
			for _, node := range l.nodes[1:] {
				for _, connection := range node.connections {
					if connection.instance == old {
						connection.session.close()
						connection.breakOff()
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
		config LineConfig
	}{
		{"a node changes texts", LineDefects{AlteredTexts: true}, linehistory.RuleUnrequested, with(time.Second, "replica lag")},
		{"a node mixes answers up", LineDefects{SwappedAnswers: true}, linehistory.RuleMixedAnswers, with(time.Second, "replica lag")},
		{"instances do not reset", LineDefects{IgnoredResets: true}, linehistory.RuleWrongSession, with(time.Second, "replica lag")},
		{"a node sends writes twice", LineDefects{DuplicatedWrites: true}, linehistory.RuleDuplicateWrites, with(time.Second, "replica lag")},
		{"a node promises what it does not know", LineDefects{UnknownReportedAsBusy: true}, linehistory.RuleRefusedButKept, with(time.Second, "answers lost", "connections reset")},
		{"floors are lost", LineDefects{DroppedMinPositions: true}, linehistory.RuleStaleReads, with(8*time.Second, "replica lag", "replica deaf")},
		{"leases are too long", LineDefects{OverlongLeases: true}, linehistory.RuleOldPrimaryCommits, cutOff},
		{"the worst replica is promoted", LineDefects{PromoteWorstReplica: true}, linehistory.RuleLostCommits, with(6*time.Second, "replica deaf, primary crash")},
		{"nobody hears that an instance leaves", LineDefects{IgnoreLeaving: true}, linehistory.RuleWorkAfterLeaving, with(time.Second, "instance leaving")},
		{"leases are too long for a set that comes", LineDefects{OverlongLeases: true}, linehistory.RuleWrongConfiguration, with(9*time.Second, "node cut off")},
		{"a planned stop ends sessions at once", LineDefects{AbruptStop: true}, linehistory.RuleLostCommits, with(time.Second, "node stopped as planned")},
		{"nodes that start again ask for nothing", LineDefects{NoUpdatesAfterRestart: true}, linehistory.RuleFailedRecoveries, with(time.Second, "node kill")},
	}
	Convey("Each planted defect breaks its rule on some of a few seeds, and the same seeds pass without it", t, func() {
		for _, one := range defects {
			count, others := 0, map[string]int{}
			for _, result := range runManyLines(1, 4, one.config, one.defect) {
				if _, broken := result.Violations[one.rule]; broken {
					count++
				}
				for rule := range result.Violations {
					others[rule]++
				}
			}
			So(fmt.Sprintf("%s: %v, broke %v", one.name, count > 0, others), ShouldStartWith, one.name+": true")
			for _, result := range runManyLines(1, 1, one.config, LineDefects{}) {
				SoMsg(one.name+": without", result.Violations, ShouldBeEmpty)
			}
		}
	})
}
