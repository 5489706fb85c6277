package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/history"
)

// cutOffNodeAndFreezePrimary cuts a node off and freezes the primary of the
// first database until after another instance was promoted. The platform does not
// demote the old primary, so that the node still finds a primary.
func cutOffNodeAndFreezePrimary(f *fleet) {
	isolated, old := f.nodes[0], f.currentPrimary(f.databases[0])
	for _, control := range f.controls {
		f.simulator.blockBothWays(link{isolated.name, control.name}, 10*time.Second)
	}
	for _, other := range f.nodes[1:] {
		f.simulator.blockLink(link{other.name, isolated.name}, 10*time.Second)
	}
	f.platform.keepsOldPrimary = true
	f.simulator.after(500*time.Millisecond, old.freeze)
	f.simulator.after(4*time.Second, old.thaw)
	f.simulator.after(10*time.Second, func() { f.platform.keepsOldPrimary = false })
}

func TestPlantedDefectsAreSeen(t *testing.T) {
	onlyWithoutRace(t)
	configWith := func(only ...string) Config {
		config := SmallConfig()
		config.AllowedFaults, config.MaxFaultDuration = only, 12*time.Second
		return config
	}
	cutOff := SmallConfig()
	cutOff.FaultDuration = 12 * time.Second
	cutOff.Script = cutOffNodeAndFreezePrimary
	plantedDefects := []struct {
		name    string
		defects Defects
		rule    string
		config  Config
	}{
		{"leases of nodes are too long", Defects{OverlongLeases: true}, history.RuleIgnoredChanges, configWith("node cut off")},
		{"other nodes answer that they have no record of a request", Defects{BlankIdempotencyRecords: true}, history.RuleDuplicateEffects, configWith("answers lost")},
		{"positions of replicas are reported too high, so that commits are confirmed too soon", Defects{InflatedReplicaPositions: true}, history.RuleLostCommits, configWith("replica lag", "primary crash")},
		{"outdated positions of primaries are reported, so that stale replicas seem fresh", Defects{OutdatedPrimaryPositions: true}, history.RuleStaleReads, configWith("replica hears nothing")},
		{"a request is sent again when its answer is lost", Defects{ResendUnanswered: true}, history.RuleUnsentStatements, configWith("answers lost")},
		{"isolated nodes continue to write, and confirm the commits", Defects{OverlongLeases: true, InflatedReplicaPositions: true}, history.RuleOldPrimaryCommits, cutOff},
		{"the worst replica is promoted", Defects{PromoteWorstReplica: true}, history.RuleLostCommits, configWith("replica lag", "primary crash")},
		{"nodes are not notified that an instance is leaving", Defects{IgnoreLeaving: true}, history.RuleWorkAfterLeaving, configWith("instance leaving")},
		{"instances report connections that have session state as clean", Defects{DirtyConnections: true}, history.RuleMixedSessions, configWith("instance slow")},
		{"a planned stop does not wait for forwarded requests", Defects{AbruptStop: true}, history.RuleCutRequests, configWith("node stopped as planned")},
		{"the control primary writes other bindings than it received", Defects{AlteredBindings: true}, history.RuleInconsistentSets, configWith("instance slow")},
	}
	Convey("Each planted defect violates its rule on at least one of eight seeds, and the first two seeds pass without the defect", t, func() {
		violatingSeeds := map[string]int{}
		for _, planted := range plantedDefects {
			count := 0
			for _, result := range runMany(1, 8, planted.config, planted.defects) {
				if _, broken := result.Violations[planted.rule]; broken {
					count++
				}
			}
			violatingSeeds[planted.name] = count
			for _, result := range runMany(1, 2, planted.config, Defects{}) {
				SoMsg(planted.name+": without the defect", result.Violations, ShouldBeEmpty)
			}
		}
		for name, count := range violatingSeeds {
			So(fmt.Sprintf("%s: %v", name, count > 0), ShouldEqual, name+": true")
		}
	})
}
