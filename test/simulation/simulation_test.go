package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/history"
)

// concurrentRuns bounds the runs at once of one test.
const concurrentRuns = 5

func runMany(from, count uint64, config Config, defects Defects) []Result {
	return runConcurrently(count, concurrentRuns, func(index uint64) Result { return Run(from+index, config, defects, nil) })
}

func onlyWithoutRace(t *testing.T) {
	if isRace {
		t.Skip("played without the race detector")
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	Convey("The same seed gives the same history, byte for byte, and another another", t, func() {
		config := SmallConfig()
		first, again, other := Run(3, config, Defects{}, nil), Run(3, config, Defects{}, nil), Run(4, config, Defects{}, nil)
		So(first.HistoryDigest, ShouldEqual, again.HistoryDigest)
		So(first.HistoryDigest, ShouldNotEqual, other.HistoryDigest)
	})
}

func TestFixedSeeds(t *testing.T) {
	onlyWithoutRace(t)
	Convey("On fixed seeds, no rule is broken while machines, links, disks, clocks, instances and the platform fail", t, func() {
		terms, epochs := uint64(0), uint64(0)
		for _, batch := range [][]Result{runMany(1, 8, SmallConfig(), Defects{}), runMany(1, 4, LargeConfig(), Defects{})} {
			for _, result := range batch {
				So(result.Violations, ShouldBeEmpty)
				So(result.Writes, ShouldBeGreaterThan, 100)
				So(result.Reads, ShouldBeGreaterThan, 100)
				terms, epochs = terms+result.Terms-1, epochs+result.Epochs
			}
		}
		So(terms, ShouldBeGreaterThan, 3)
		So(epochs, ShouldBeGreaterThan, 20)
	})
}

func diced(config Config) Config {
	config.IndependentDraws, config.WarmUp = true, 3*time.Second
	return config
}

func TestCallersAskLevel(t *testing.T) {
	Convey("Of ten turns of a caller each tenth of the draws comes once, in an order of chance", t, func() {
		one := &caller{fleet: &fleet{}, decks: map[int][]int{}, random: rand.New(rand.NewPCG(1, 1))}
		var orders []string
		for range 50 {
			order := ""
			tens := map[int]int{}
			for range 10 {
				draw := one.drawPercent()
				So(draw, ShouldBeBetweenOrEqual, 0, 99)
				tens[draw/10]++
				order += fmt.Sprint(draw / 10)
			}
			So(len(tens), ShouldEqual, 10)
			orders = append(orders, order)
		}
		So(len(slices.Compact(slices.Sorted(slices.Values(orders)))), ShouldBeGreaterThan, 45)
	})
}

func TestSeedsOnceBroken(t *testing.T) {
	onlyWithoutRace(t)
	seeds := []struct {
		why    string
		seed   uint64
		config Config
	}{
		{"an intent was given up for a position told before it", 7000138, diced(SmallConfig())},
		{"a control primary that came back published a write that its backup had not", 7000103, diced(SmallConfig())},
		{"a write was published before it was synced", 7000967, SmallConfig()},
		{"a lull in what callers asked for was taken for a service that is down", 7000386, SmallConfig()},
		{"as before", 9100765, LargeConfig()},
		{"as before", 9101192, LargeConfig()},
	}
	Convey("Seeds on which a rule was broken once break none", t, func() {
		for _, known := range seeds {
			Convey(fmt.Sprintf("%d: %s", known.seed, known.why), func() {
				So(Run(known.seed, known.config, Defects{}, nil).Violations, ShouldBeEmpty)
			})
		}
	})
}

func TestPlantedDefectsAreSeen(t *testing.T) {
	onlyWithoutRace(t)
	with := func(only ...string) Config {
		config := SmallConfig()
		config.AllowedFaults, config.MaxFaultDuration = only, 12*time.Second
		return config
	}
	cutOff := SmallConfig()
	cutOff.FaultDuration = 12 * time.Second
	cutOff.Script = func(f *fleet) {
		isolated, old := f.nodes[0], f.currentPrimary(f.databases[0])
		for _, control := range f.controls {
			f.simulator.blockLink(link{isolated.name, control.name}, 10*time.Second)
			f.simulator.blockLink(link{control.name, isolated.name}, 10*time.Second)
		}
		for _, other := range f.nodes[1:] {
			f.simulator.blockLink(link{other.name, isolated.name}, 10*time.Second)
		}
		f.platform.keepsOldPrimary = true
		f.simulator.after(500*time.Millisecond, old.freeze)
		f.simulator.after(4*time.Second, old.thaw)
		f.simulator.after(10*time.Second, func() { f.platform.keepsOldPrimary = false })
	}
	plants := []struct {
		name   string
		plant  Defects
		rule   string
		config Config
	}{
		{"nodes' leases are too long", Defects{OverlongLeases: true}, history.RuleIgnoredChanges, with("node cut off")},
		{"other nodes' records of goes seem blank", Defects{BlankIdempotencyRecords: true}, history.RuleDuplicateEffects, with("answers lost")},
		{"replicas seem to hold what they do not: confirmed too soon", Defects{InflatedReplicaPositions: true}, history.RuleLostCommits, with("replica lag", "primary crash")},
		{"primaries seem to stand where they stood: replicas seem fresh", Defects{OutdatedPrimaryPositions: true}, history.RuleStaleReads, with("replica hears nothing")},
		{"a request is sent again when its answer is lost", Defects{ResendUnanswered: true}, history.RuleUnsentStatements, with("answers lost")},
		{"cut-off nodes write on, and confirm", Defects{OverlongLeases: true, InflatedReplicaPositions: true}, history.RuleOldPrimaryCommits, cutOff},
		{"the worst replica is promoted", Defects{PromoteWorstReplica: true}, history.RuleLostCommits, with("replica lag", "primary crash")},
		{"nobody hears that an instance is leaving", Defects{IgnoreLeaving: true}, history.RuleWorkAfterLeaving, with("instance leaving")},
		{"instances call connections with state clean", Defects{DirtyConnections: true}, history.RuleMixedSessions, with("instance slow")},
		{"a planned stop does not wait", Defects{AbruptStop: true}, history.RuleCutRequests, with("node stopped as planned")},
		{"the control primary writes other bindings than were sent", Defects{AlteredBindings: true}, history.RuleInconsistentSets, with("instance slow")},
	}
	Convey("Each planted defect breaks its rule on some of a few seeds, and the same seeds pass without it", t, func() {
		seen := map[string]int{}
		for _, planted := range plants {
			count := 0
			for _, result := range runMany(1, 8, planted.config, planted.plant) {
				if _, broken := result.Violations[planted.rule]; broken {
					count++
				}
			}
			seen[planted.name] = count
			for _, result := range runMany(1, 2, planted.config, Defects{}) {
				SoMsg(planted.name+": without", result.Violations, ShouldBeEmpty)
			}
		}
		for name, count := range seen {
			So(fmt.Sprintf("%s: %v", name, count > 0), ShouldEqual, name+": true")
		}
	})
}

func TestKilledAtEachStep(t *testing.T) {
	onlyWithoutRace(t)
	Convey("The control primary, and its backup, killed before each of its syncs while sets are put, an epoch changes and a promotion runs", t, func() {
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
		for at, result := range results {
			SoMsg(time.Duration(at).String(), result.Violations, ShouldBeEmpty)
			if result.Terms > 1 {
				promoted++
			}
		}
		So(promoted, ShouldBeGreaterThan, len(results)*3/4)
	})
}

func TestDiskMachinesLostForGood(t *testing.T) {
	onlyWithoutRace(t)
	Convey("Of five disk machines, the primary is lost for good, and after the repair the next primary too", t, func() {
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
	Convey("Of three, one is lost with its disk and returns blank; after the repair another is", t, func() {
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

func TestControlCutOffForLong(t *testing.T) {
	onlyWithoutRace(t)
	ways := map[string]func(isolated, other string) []link{
		"both ways":     func(isolated, other string) []link { return []link{{isolated, other}, {other, isolated}} },
		"it hears none": func(isolated, other string) []link { return []link{{isolated, other}} },
		"none hears it": func(isolated, other string) []link { return []link{{other, isolated}} },
		"from one alone": func(isolated, other string) []link {
			return map[bool][]link{true: {{isolated, other}, {other, isolated}}}[other < "c3"]
		},
	}
	configOf := func(way func(isolated, other string) []link, result *struct{ reads, others int }) Config {
		config := SmallConfig()
		config.FaultDuration, config.RecoveryDuration = 24*time.Second, 15*time.Second
		config.Script = func(f *fleet) {
			f.faults.followUpsLeft = 0
			isolated := f.activePrimary()
			for _, other := range f.controls {
				for _, cut := range way(isolated.name, other.name) {
					if other != isolated {
						f.simulator.blockLink(cut, 20*time.Second)
					}
				}
			}
			f.simulator.after(4*time.Second, func() {
				if next := f.activePrimary(); next != nil && next != isolated {
					result.others++
				}
			})
			f.simulator.after(23*time.Second, func() { result.reads = f.answeredReads })
		}
		return config
	}
	Convey("A control primary is cut off from the others for 20 s, while it still meets nodes and operators: nobody reads older than was acknowledged, at most one holds primacy, and orders go on elsewhere", t, func() {
		for name, way := range ways {
			for seed := range uint64(4) {
				var seen struct{ reads, others int }
				result := Run(40+seed, configOf(way, &seen), Defects{}, nil)
				SoMsg(name, result.Violations, ShouldBeEmpty)
				So(seen.reads, ShouldBeGreaterThan, 50)
				if name == "both ways" {
					So(seen.others, ShouldEqual, 1)
				}
			}
		}
	})
	Convey("A control machine that answers reads without primacy is found by it", t, func() {
		broken := 0
		for seed := range uint64(4) {
			var seen struct{ reads, others int }
			result := Run(40+seed, configOf(ways["both ways"], &seen), Defects{ReadWithoutPrimacy: true}, nil)
			broken += len(result.Violations["simulation"])
		}
		So(broken, ShouldBeGreaterThan, 0)
	})
}

func TestNothingIsPromotedWithoutProof(t *testing.T) {
	Convey("With the primary gone and the only candidate unheard, nothing is promoted until it is heard again", t, func() {
		config := SmallConfig()
		config.FaultDuration, config.RecoveryDuration = 12*time.Second, 15*time.Second
		terms := []uint64{}
		config.Script = func(f *fleet) {
			at := func(span time.Duration, act func()) { f.simulator.after(span, act) }
			database := f.databases[0]
			lagging, candidate := f.findInstance(database+"-b"), f.findInstance(database+"-c")
			f.faults.followUpsLeft = 0
			lagging.replicationDelay = 3 * time.Second
			at(4*time.Second, func() {
				f.findInstance(database + "-a").crash()
				candidate.freeze()
			})
			at(9*time.Second, func() { terms = append(terms, f.writerRole(database).Term) })
			at(9500*time.Millisecond, candidate.thaw)
			at(9500*time.Millisecond, func() { lagging.replicationDelay = 2 * time.Millisecond })
			at(11900*time.Millisecond, func() {
				terms = append(terms, f.writerRole(database).Term)
				if f.writerRole(database).Primary != candidate.name {
					f.recorder.addViolation("%s is primary", f.writerRole(database).Primary)
				}
				f.findInstance(database + "-a").start()
			})
		}
		for seed := range uint64(6) {
			terms = nil
			result := Run(9+seed, config, Defects{}, nil)
			So(result.Violations, ShouldBeEmpty)
			So(terms, ShouldResemble, []uint64{1, 2})
		}
	})
}

func TestWindowsFollowThePaper(t *testing.T) {
	Convey("On a whole fleet at work, every window and CAL of each node is what the paper's equations give for the latencies that its connections saw", t, func() {
		for _, isBusy := range []bool{false, true} {
			config := SmallConfig()
			config.FaultDuration, config.RecoveryDuration, config.Callers = 14*time.Second, time.Second, 40
			moves, widest := 0, 0.0
			config.Script = func(f *fleet) {
				f.modelsWindows = true
				if isBusy {
					f.loadFactor = 8
				}
				for _, one := range f.nodes {
					one.crash()
					one.start()
				}
				f.simulator.after(13*time.Second, func() { moves, widest = f.windowUpdates, f.maxWindow })
			}
			result := Run(5, config, Defects{}, nil)
			So(result.Violations["simulation"], ShouldBeEmpty)
			So(moves, ShouldBeGreaterThan, 8)
			So(widest, ShouldBeGreaterThan, 2.5)
		}
	})
}

func TestBookedSetBesideManyEpochs(t *testing.T) {
	onlyWithoutRace(t)
	Convey("A booked set shows everywhere within 3 s of its due time, on a seed with sixteen epochs", t, func() {
		So(Run(14000423, SmallConfig(), Defects{}, nil).Violations, ShouldBeEmpty)
	})
}
