package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/linehistory"
)

// cutOffNodeAndOldPrimary cuts a node off, and then the primary of a database
// with it, so that the primary is replaced where the node cannot hear of it. The
// other nodes lose their connections to the old primary, and control is told that
// it leaves.
func cutOffNodeAndOldPrimary(l *lineFleet) {
	isolated := l.nodes[0]
	for _, control := range l.controls {
		l.simulator.blockBothWays(link{isolated.name, control.name}, 9*time.Second)
	}
	for _, other := range l.nodes[1:] {
		l.simulator.blockLink(link{other.name, isolated.name}, 9*time.Second)
	}
	old := l.primaryOf(l.databases[0])
	for _, control := range l.controls {
		l.simulator.blockBothWays(link{old.name, control.name}, 8*time.Second)
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

func TestLinesPlantedDefects(t *testing.T) {
	onlyWithoutRace(t)
	with := func(longest time.Duration, only ...string) LineConfig {
		config := shortLines()
		config.AllowedFaults, config.MaxFaultDuration = only, longest
		return config
	}
	cutOff := shortLines()
	cutOff.Script = cutOffNodeAndOldPrimary
	planted := []struct {
		name    string
		defects LineDefects
		rule    string
		config  LineConfig
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
		for _, plant := range planted {
			count, others := 0, map[string]int{}
			for _, result := range runManyLines(1, 4, plant.config, plant.defects) {
				if _, broken := result.Violations[plant.rule]; broken {
					count++
				}
				for rule := range result.Violations {
					others[rule]++
				}
			}
			So(fmt.Sprintf("%s: %v, broke %v", plant.name, count > 0, others), ShouldStartWith, plant.name+": true")
			for _, result := range runManyLines(1, 1, plant.config, LineDefects{}) {
				SoMsg(plant.name+": without", result.Violations, ShouldBeEmpty)
			}
		}
	})
}
