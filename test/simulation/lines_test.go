package simulation

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func runManyLines(from, count uint64, size LineShape, defect LinePlant) []LineResult {
	results := make([]LineResult, count)
	slots := make(chan bool, 5)
	var group sync.WaitGroup
	for at := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- true
			results[at] = RunLines(from+at, size, defect, nil)
			<-slots
		}()
	}
	group.Wait()
	return results
}

func shortLines() LineShape {
	size := SmallLines()
	size.Span = 10 * time.Second
	return size
}

func TestLinesSameSeedSameHistory(t *testing.T) {
	Convey("The same seed gives the same history of a fleet of synced instances, and another another", t, func() {
		size := shortLines()
		first, again, other := RunLines(3, size, LinePlant{}, nil), RunLines(3, size, LinePlant{}, nil), RunLines(4, size, LinePlant{}, nil)
		So(first.Trace, ShouldEqual, again.Trace)
		So(first.Trace, ShouldNotEqual, other.Trace)
	})
}

func TestLinesFixedSeeds(t *testing.T) {
	Convey("Without trouble all is served, and without a promise or a cut", t, func() {
		size := shortLines()
		size.Script = func(*lines) {}
		result := RunLines(1, size, LinePlant{}, nil)
		So(result.Faults, ShouldBeEmpty)
		So(result.Codes, ShouldBeEmpty)
		So(result.Terms, ShouldEqual, 1)
		So(result.Served, ShouldBeGreaterThan, 1000)
	})
	Convey("Every rule holds under random troubles, by fixed seeds", t, func() {
		count := uint64(16)
		if isRace {
			count = 8
		}
		terms := uint64(0)
		for _, result := range runManyLines(1, count, SmallLines(), LinePlant{}) {
			SoMsg(fmt.Sprintf("seed %d", result.Seed), result.Faults, ShouldBeEmpty)
			So(result.Writes, ShouldBeGreaterThan, 300)
			terms += result.Terms - 1
		}
		So(terms, ShouldBeGreaterThan, count/2)
	})
}

func TestLinesCrowded(t *testing.T) {
	Convey("With more nodes than an instance takes connections all is served, and without a promise or a cut", t, func() {
		size := CrowdedLines()
		size.Script = func(*lines) {}
		result := RunLines(1, size, LinePlant{}, nil)
		So(result.Faults, ShouldBeEmpty)
		So(result.Codes, ShouldBeEmpty)
		So(result.Terms, ShouldEqual, 1)
		So(result.Served, ShouldBeGreaterThan, 1000)
	})
	Convey("So every rule holds there under random troubles", t, func() {
		onlyWithoutRace(t)
		for _, result := range runManyLines(1, 4, CrowdedLines(), LinePlant{}) {
			SoMsg(fmt.Sprintf("seed %d", result.Seed), result.Faults, ShouldBeEmpty)
			So(result.Writes, ShouldBeGreaterThan, 300)
		}
	})
}

func TestLinesSeedsOnceBroken(t *testing.T) {
	onlyWithoutRace(t)
	seeds := []struct {
		why  string
		seed uint64
		size LineShape
	}{
		{"a late promote call of an earlier intent, of the same holder and fence, was taken", 8000170, SmallLines()},
		{"a primary that started again never had the others follow, and one that crashed while leaving never ended", 8000029, SmallLines()},
		{"a control primary that took over listed an instance that leaves as it had heard it long before", 8001066, LargeLines()},
		{"the holder of a duty did not renew it in time, and never saw an instance's answer while it was fresh", 8006071, LargeLines()},
	}
	Convey("Seeds of lines on which a rule was broken once break none", t, func() {
		for _, one := range seeds {
			Convey(fmt.Sprintf("%d: %s", one.seed, one.why), func() {
				So(RunLines(one.seed, one.size, LinePlant{}, nil).Faults, ShouldBeEmpty)
			})
		}
	})
}

func TestLinesStartsAgain(t *testing.T) {
	Convey("A primary that crashed before the others heard of its term has them follow when it is back", t, func() {
		size := shortLines()
		size.Script = func(l *lines) {
			old := l.hosts["db1-a:1"]
			l.crash(old, 6*time.Second)
			for _, one := range []string{"db1-b", "db1-c"} {
				for _, other := range l.of("db1") {
					l.cut([2]string{one, other.name}, 5*time.Second)
				}
			}
			var watch func()
			watch = func() {
				if head := l.head("db1"); head != nil && head.term == 2 {
					l.crash(head, 200*time.Millisecond)
					return
				}
				l.world.after(20*time.Millisecond, watch)
			}
			watch()
		}
		result := RunLines(1, size, LinePlant{}, nil)
		So(result.Terms, ShouldEqual, 2)
		So(result.Faults, ShouldBeEmpty)
	})
	Convey("An instance that crashed while it was leaving ends all the same", t, func() {
		size := shortLines()
		var one *server
		size.Script = func(l *lines) {
			one = l.hosts["db1-c:1"]
			one.leave()
			l.world.after(time.Second, func() { l.crash(one, time.Second) })
		}
		So(RunLines(1, size, LinePlant{}, nil).Faults, ShouldBeEmpty)
		So(one.isEnded, ShouldBeTrue)
	})
}

// mirrored plays fleets at work in which one instance is slow for a while, one
// loses answers and one lags, and holds each window to the paper.
func mirrored(defect LinePlant, isBusy bool) (result LineResult, moves, blind int, widest, slowest float64) {
	size := shortLines()
	size.Span, size.Tail, size.Connections, size.Loose = 18*time.Second, 13*time.Second, 48, 800*time.Millisecond
	var fleet *lines
	size.Script = func(l *lines) {
		fleet = l
		l.isMirrored = true
		for _, one := range l.people {
			if isBusy {
				one.rate = 4 * time.Millisecond
			}
		}
		for _, one := range l.fronts {
			one.crash()
			one.start()
		}
		slow, losing, lagging := l.hosts["db1-a:1"], l.hosts["db2-b:1"], l.hosts["db2-c:1"]
		l.world.after(9*time.Second, func() { slow.service, losing.lose, lagging.delay = 70*time.Millisecond, 4, 1500*time.Millisecond })
		l.world.after(14*time.Second, func() { slow.service, lagging.delay = 5*time.Millisecond, 2*time.Millisecond })
	}
	result = RunLines(5, size, defect, nil)
	return result, fleet.moves, fleet.blind, fleet.widest, fleet.slowest
}

func TestLineWindowsFollowThePaper(t *testing.T) {
	Convey("On a whole fleet of synced instances, every window and CAL of each node is what the paper's equations give for the latencies that its connections saw, and no more is out than that", t, func() {
		for _, isBusy := range []bool{false, true} {
			result, moves, blind, widest, slowest := mirrored(LinePlant{}, isBusy)
			So(result.Faults, ShouldBeEmpty)
			So(moves, ShouldBeGreaterThan, 20)
			So(blind, ShouldBeLessThan, 5)
			So(widest, ShouldBeGreaterThan, 2.5)
			So(slowest, ShouldBeGreaterThan, float64(30*time.Millisecond))
		}
	})
	Convey("A node that takes answers for later than they are, or grows by another's weight, is found", t, func() {
		for _, defect := range []LinePlant{{IsLate: true}, {IsPressing: true}} {
			result, _, _, _, _ := mirrored(defect, true)
			So(len(result.Faults[RuleWindow]), ShouldBeGreaterThan, 10)
		}
	})
}

func TestLinesPlantedDefects(t *testing.T) {
	onlyWithoutRace(t)
	with := func(longest time.Duration, only ...string) LineShape {
		size := shortLines()
		size.Only, size.Longest = only, longest
		return size
	}
	cutOff := shortLines()
	cutOff.Script = func(l *lines) {
		lone := l.fronts[0]
		for _, disk := range l.controls {
			l.cut([2]string{lone.name, disk.name}, 9*time.Second)
			l.cut([2]string{disk.name, lone.name}, 9*time.Second)
		}
		for _, other := range l.fronts[1:] {
			l.cut([2]string{other.name, lone.name}, 9*time.Second)
		}
		old := l.head(l.databases[0])
		for _, disk := range l.controls {
			l.cut([2]string{old.name, disk.name}, 8*time.Second)
			l.cut([2]string{disk.name, old.name}, 8*time.Second)
		}
		next, last := l.hosts["db1-b:1"], l.hosts["db1-c:1"]
		last.delay = 60 * time.Millisecond
		for _, way := range [][2]string{{next.name, last.name}, {last.name, next.name}, {next.name, old.name}} {
			l.world.after(1500*time.Millisecond, func() { l.cut(way, 8*time.Second) })
		}
		l.world.after(time.Second, func() {
			for _, one := range l.fronts[1:] {
				for _, link := range one.links {
					if link.server == old {
						link.session.drop()
						link.broken()
					}
				}
			}
			old.leaving = l.world.now
			for _, disk := range l.controls {
				disk.heardOf(old.info())
			}
			old.leaving = 0
		})
	}
	defects := []struct {
		name   string
		defect LinePlant
		rule   string
		size   LineShape
	}{
		{"a node changes texts", LinePlant{IsTexting: true}, RuleUnasked, with(time.Second, "replica lag")},
		{"a node mixes answers up", LinePlant{IsSwapping: true}, RuleMixed, with(time.Second, "replica lag")},
		{"instances do not reset", LinePlant{IsUnclean: true}, RulePinned, with(time.Second, "replica lag")},
		{"a node sends writes twice", LinePlant{IsDoubling: true}, RuleTwice, with(time.Second, "replica lag")},
		{"a node promises what it does not know", LinePlant{IsPromising: true}, RuleRefused, with(time.Second, "answers lost", "connections reset")},
		{"floors are lost", LinePlant{IsFloorless: true}, RuleStale, with(8*time.Second, "replica lag", "replica deaf")},
		{"leases are too long", LinePlant{IsLeaseless: true}, RuleOne, cutOff},
		{"the worst replica is promoted", LinePlant{IsWorst: true}, RuleLost, with(6*time.Second, "replica deaf, primary crash")},
		{"nobody hears that an instance leaves", LinePlant{IsStubborn: true}, RuleDrain, with(time.Second, "instance leaving")},
		{"leases are too long for a set that comes", LinePlant{IsLeaseless: true}, RuleConfig, with(9*time.Second, "node cut off")},
		{"a planned stop ends sessions at once", LinePlant{IsHasty: true}, RuleLost, with(time.Second, "node stopped as planned")},
		{"nodes that start again ask for nothing", LinePlant{IsDeaf: true}, RuleRecover, with(time.Second, "node kill")},
	}
	Convey("Each planted defect breaks its rule on some of a few seeds, and the same seeds pass without it", t, func() {
		for _, one := range defects {
			count, others := 0, map[string]int{}
			for _, result := range runManyLines(1, 4, one.size, one.defect) {
				if _, isBroken := result.Faults[one.rule]; isBroken {
					count++
				}
				for rule := range result.Faults {
					others[rule]++
				}
			}
			So(fmt.Sprintf("%s: %v, broke %v", one.name, count > 0, others), ShouldStartWith, one.name+": true")
			for _, result := range runManyLines(1, 1, one.size, LinePlant{}) {
				SoMsg(one.name+": without", result.Faults, ShouldBeEmpty)
			}
		}
	})
}
