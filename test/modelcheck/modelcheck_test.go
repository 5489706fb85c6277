package modelcheck

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func runAll(configs []Config) []Result {
	results := make([]Result, len(configs))
	var group sync.WaitGroup
	for index, config := range configs {
		group.Add(1)
		go func() {
			defer group.Done()
			results[index] = Run(config)
		}()
	}
	group.Wait()
	return results
}

// leavingShape is the number of the quick search in which nodes of a small cluster leave.
const leavingShape = 9

// progressInterval is the number of states of which the tests check one for progress.
const progressInterval = 20

// Guards, among others, against a control plane that is stuck for good after the loss of a
// disk in an epoch without a backup (review/4).
func TestNoTraceViolatesAnInvariant(t *testing.T) {
	Convey("No sequence of events within the bounds violates an invariant, the cluster recovers once all faults have ended, and the search reaches epoch changes and committed writes", t, func() {
		configs := QuickConfigs()
		for index := range configs {
			if index != leavingShape {
				configs[index].ProgressInterval = progressInterval
			}
		}
		for index, result := range runAll(configs) {
			about := fmt.Sprintf("%+v: %d states\n%s", configs[index], result.States, strings.Join(result.Trace, "\n"))
			t.Log(configs[index], result.States, result.Steps, result.HighestEpoch, result.AckedWrites)
			SoMsg(about, result.Violation, ShouldBeEmpty)
			So(result.Truncated, ShouldBeFalse)
			if configs[index].ProgressInterval > 0 && configs[index].toleratesLosses() {
				So(result.ProgressChecks, ShouldBeGreaterThan, 100)
			}
			So(result.States, ShouldBeGreaterThan, 1000)
			So(result.HighestEpoch, ShouldBeGreaterThanOrEqualTo, 2)
			So(result.AckedWrites, ShouldEqual, configs[index].Writes+1)
		}
	})
}

// Guards against nodes that answer each other without end while a backup that is leaving
// has been killed.
func TestRecoveryFromLeavingNodes(t *testing.T) {
	Convey("The cluster recovers after nodes were asked to leave and killed", t, func() {
		config := QuickConfigs()[leavingShape]
		config.ProgressInterval = progressInterval
		result := Run(config)
		SoMsg(strings.Join(result.Trace, "\n"), result.Violation, ShouldBeEmpty)
	})
}

func TestDeterministic(t *testing.T) {
	Convey("Searches with the same Config return the same Result", t, func() {
		config := Config{Voters: 3, MaxFaults: 1, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 3, Writes: 1, RequiredReplicas: 2}
		results := runAll([]Config{config, config, config})
		So(results[0].States, ShouldBeGreaterThan, 500)
		So(results[1], ShouldResemble, results[0])
		So(results[2], ShouldResemble, results[0])
	})
}

func TestSeededDefectsAreFound(t *testing.T) {
	defects := []struct {
		name      string
		config    Config
		violation string
	}{
		{"a node with a blank disk votes", Config{
			Voters: 3, MaxFaults: 1, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 3, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Wiped}, Defect: Defect{BlankDiskVotes: true},
		}, "disk is blank"},
		{"a promise is sent before it is synced", Config{
			Voters: 3, MaxFaults: 2, RoundDuration: coarseRound, Rounds: 6, RequiredReplicas: 2,
			AllowedFaults: []Fault{Frozen, Killed}, FaultHosts: []string{"c1", "c3"}, Defect: Defect{VotesUnsynced: true},
		}, "after"},
		{"a write is acknowledged before the backup has synced it", Config{
			Voters: 3, RoundDuration: coarseRound, Rounds: 2, Writes: 1, RequiredReplicas: 2, Defect: Defect{AssumesBackupAck: true},
		}, "synced on 1 disks"},
		{"a backup that lost its disk is restarted and acts as the voter that it was before", Config{
			Voters: 5, MaxFaults: 3, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 9, RequiredReplicas: 2,
			AllowedFaults: []Fault{Wiped, Killed}, FaultHosts: []string{"c1", "c2"},
			Defect: Defect{ReusesIncarnation: true},
		}, "disk is blank"},
		{"a restarted node uses the voters from before a replacement", Config{
			Voters: 3, Standbys: 1, MaxFaults: 2, RoundDuration: longRound, Rounds: 16, RequiredReplicas: 2,
			AllowedFaults: []Fault{Killed}, FaultHosts: []string{"c1", "c3"}, FaultsWhenHealthyOnly: true,
			Defect: Defect{UsesBootstrapVoters: true},
		}, "has two records"},
	}
	Convey("Defects planted around the machines are detected", t, func() {
		var configs []Config
		for _, defect := range defects {
			configs = append(configs, defect.config)
		}
		for index, result := range runAll(configs) {
			SoMsg(defects[index].name, result.Violation, ShouldContainSubstring, defects[index].violation)
		}
	})
	Convey("The searches for the first three defects find no violation without them", t, func() {
		var configs []Config
		for _, defect := range defects[:3] {
			config := defect.config
			config.Defect = Defect{}
			configs = append(configs, config)
		}
		for index, result := range runAll(configs) {
			SoMsg(defects[index].name, result.Violation, ShouldBeEmpty)
		}
	})
}
