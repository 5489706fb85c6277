package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/linehistory"
)

// cutOffNodeAndOldPrimary isolates a node and the primary of a database from
// control. Control replaces the primary, and the node cannot receive the change.
// The other nodes lose their connections to the old primary, and control receives
// an announcement that the old primary is leaving.
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
	successor, laggingReplica := l.instancesByAddress["db1-b:1"], l.instancesByAddress["db1-c:1"]
	laggingReplica.replicationDelay = 60 * time.Millisecond
	for _, blocked := range []link{{successor.name, laggingReplica.name}, {laggingReplica.name, successor.name}, {successor.name, old.name}} {
		l.simulator.after(1500*time.Millisecond, func() { l.simulator.blockLink(blocked, 8*time.Second) })
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
			control.onAnnouncement(old.info(), func() {})
		}
		old.leavingSince = 0
	})
}

func TestLinesPlantedDefects(t *testing.T) {
	onlyWithoutRace(t)
	onlyFaults := func(maxDuration time.Duration, allowed ...string) LineConfig {
		config := shortLines()
		config.AllowedFaults, config.MaxFaultDuration = allowed, maxDuration
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
		{"nodes change texts of statements", LineDefects{AlteredTexts: true}, linehistory.RuleUnrequested, onlyFaults(time.Second, "replica lag")},
		{"nodes swap answers", LineDefects{SwappedAnswers: true}, linehistory.RuleMixedAnswers, onlyFaults(time.Second, "replica lag")},
		{"instances ignore resets", LineDefects{IgnoredResets: true}, linehistory.RuleWrongSession, onlyFaults(time.Second, "replica lag")},
		{"nodes send writes twice", LineDefects{DuplicatedWrites: true}, linehistory.RuleDuplicateWrites, onlyFaults(time.Second, "replica lag")},
		{"nodes report an unknown outcome as busy", LineDefects{UnknownReportedAsBusy: true}, linehistory.RuleRefusedButKept, onlyFaults(time.Second, "answers lost", "connections reset")},
		{"nodes drop minimum positions", LineDefects{DroppedMinPositions: true}, linehistory.RuleStaleReads, onlyFaults(8*time.Second, "replica lag", "replica deaf")},
		{"leases are too long, and a primary is replaced", LineDefects{OverlongLeases: true}, linehistory.RuleOldPrimaryCommits, cutOff},
		{"the worst replica is promoted", LineDefects{PromoteWorstReplica: true}, linehistory.RuleLostCommits, onlyFaults(6*time.Second, "replica deaf, primary crash")},
		{"nodes ignore that an instance is leaving", LineDefects{IgnoreLeaving: true}, linehistory.RuleWorkAfterLeaving, onlyFaults(time.Second, "instance leaving")},
		{"leases are too long, and the configuration changes", LineDefects{OverlongLeases: true}, linehistory.RuleWrongConfiguration, onlyFaults(9*time.Second, "node cut off")},
		{"a planned stop ends sessions at once", LineDefects{AbruptStop: true}, linehistory.RuleLostCommits, onlyFaults(time.Second, "node stopped as planned")},
		{"restarted nodes request no updates", LineDefects{NoUpdatesAfterRestart: true}, linehistory.RuleFailedRecoveries, onlyFaults(time.Second, "node kill")},
	}
	Convey("Each planted defect violates its rule on at least one of four seeds, and the first seed passes without the defect", t, func() {
		for _, defect := range planted {
			violatingRuns, violatedRules := 0, map[string]int{}
			for _, result := range runManyLines(1, 4, defect.config, defect.defects) {
				if _, broken := result.Violations[defect.rule]; broken {
					violatingRuns++
				}
				for rule := range result.Violations {
					violatedRules[rule]++
				}
			}
			So(fmt.Sprintf("%s: %v, broke %v", defect.name, violatingRuns > 0, violatedRules), ShouldStartWith, defect.name+": true")
			for _, result := range runManyLines(1, 1, defect.config, LineDefects{}) {
				SoMsg(defect.name+": without", result.Violations, ShouldBeEmpty)
			}
		}
	})
}
