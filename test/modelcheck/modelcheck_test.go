package modelcheck

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func runAll(shapes []Config) []Result {
	results := make([]Result, len(shapes))
	var group sync.WaitGroup
	for at, shape := range shapes {
		group.Add(1)
		go func() {
			defer group.Done()
			results[at] = Run(shape)
		}()
	}
	group.Wait()
	return results
}

func TestNoTraceViolatesAnInvariant(t *testing.T) {
	Convey("In no course within the bounds is a rule broken, and epochs turn and writes are kept in them", t, func() {
		shapes := TestConfigs()
		for at, result := range runAll(shapes) {
			about := fmt.Sprintf("%+v: %d states\n%s", shapes[at], result.States, strings.Join(result.Trace, "\n"))
			t.Log(shapes[at], result.States, result.Steps, result.HighestEpoch, result.AckedWrites)
			SoMsg(about, result.Violation, ShouldBeEmpty)
			So(result.Truncated, ShouldBeFalse)
			So(result.States, ShouldBeGreaterThan, 1000)
			So(result.HighestEpoch, ShouldBeGreaterThanOrEqualTo, 2)
			So(result.AckedWrites, ShouldEqual, shapes[at].Writes+1)
		}
	})
}

func TestDeterministic(t *testing.T) {
	Convey("The same shape gives the same result", t, func() {
		shape := Config{Machines: 3, MaxFaults: 1, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 3, Writes: 1, RequiredReplicas: 2}
		results := runAll([]Config{shape, shape, shape})
		So(results[0].States, ShouldBeGreaterThan, 500)
		So(results[1], ShouldResemble, results[0])
		So(results[2], ShouldResemble, results[0])
	})
}

func TestSeededDefectsAreFound(t *testing.T) {
	defects := []struct {
		name  string
		shape Config
		fault string
	}{
		{"a blank machine votes", Config{
			Machines: 3, MaxFaults: 1, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 3, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"wiped"}, Defect: Defect{BlankDiskVotes: true},
		}, "disk is blank"},
		{"a promise is told before it is synced", Config{
			Machines: 3, MaxFaults: 2, RoundDuration: coarseRound, Rounds: 6, RequiredReplicas: 2, AllowedFaults: []string{"frozen", "killed"}, FaultHosts: []string{"c1", "c3"}, Defect: Defect{VotesUnsynced: true},
		}, "after"},
		{"a write is acknowledged before the backup has synced it", Config{
			Machines: 3, RoundDuration: coarseRound, Rounds: 2, Writes: 1, RequiredReplicas: 2, Defect: Defect{AssumesBackupAck: true},
		}, "synced on 1 disks"},
		{"a backup that lost its disk and was told ends, and takes itself for well", Config{
			Machines: 5, MaxFaults: 3, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 9, RequiredReplicas: 2, AllowedFaults: []string{"wiped", "killed"}, FaultHosts: []string{"c1", "c2"},
			Defect: Defect{ReusesIncarnation: true},
		}, "disk is blank"},
		{"a machine that starts again counts the voters before a replacement", Config{
			Machines: 3, Standbys: 1, MaxFaults: 2, RoundDuration: longRound, Rounds: 16, RequiredReplicas: 2, AllowedFaults: []string{"killed"}, FaultHosts: []string{"c1", "c3"}, FaultsWhenHealthyOnly: true,
			Defect: Defect{UsesBootstrapVoters: true},
		}, "has two records"},
	}
	Convey("Defects planted around the machines are found, and the course ends with them", t, func() {
		var shapes []Config
		for _, defect := range defects {
			shapes = append(shapes, defect.shape)
		}
		for at, result := range runAll(shapes) {
			SoMsg(defects[at].name, result.Violation, ShouldContainSubstring, defects[at].fault)
		}
	})
	Convey("Without them, the same shapes break no rule", t, func() {
		var shapes []Config
		for _, defect := range defects[:3] {
			shape := defect.shape
			shape.Defect = Defect{}
			shapes = append(shapes, shape)
		}
		for at, result := range runAll(shapes) {
			SoMsg(defects[at].name, result.Violation, ShouldBeEmpty)
		}
	})
}

func TestKeys(t *testing.T) {
	Convey("A state that differs in one machine's promise, time or message under way has another key; one reached again has the same", t, func() {
		shape := Config{Machines: 3, RoundDuration: coarseRound, Rounds: 2}
		w := newWorld(&shape)
		w.trace = nil
		first := w.key()
		So(newWorld(&shape).key(), ShouldEqual, first)
		other := w.clone()
		other.startRound()
		So(other.key(), ShouldNotEqual, first)
		So(w.key(), ShouldEqual, first)
		lost := other.clone()
		lost.inFlight = lost.inFlight[1:]
		So(lost.key(), ShouldNotEqual, other.key())
	})
}
