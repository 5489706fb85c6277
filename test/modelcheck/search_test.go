package modelcheck

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func runAll(shapes []Shape) []Result {
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

func TestNoCourseBreaksARule(t *testing.T) {
	Convey("In no course within the bounds is a rule broken, and epochs turn and writes are kept in them", t, func() {
		shapes := Shapes()
		for at, result := range runAll(shapes) {
			about := fmt.Sprintf("%+v: %d states\n%s", shapes[at], result.States, strings.Join(result.Course, "\n"))
			t.Log(shapes[at], result.States, result.Steps, result.Epochs, result.Acked)
			SoMsg(about, result.Fault, ShouldBeEmpty)
			So(result.IsCut, ShouldBeFalse)
			So(result.States, ShouldBeGreaterThan, 1000)
			So(result.Epochs, ShouldBeGreaterThanOrEqualTo, 2)
			So(result.Acked, ShouldEqual, shapes[at].Writes+1)
		}
	})
}

func TestSameShapeSameResult(t *testing.T) {
	Convey("The same shape gives the same result", t, func() {
		shape := Shape{Machines: 3, Faults: 1, Wipes: 1, Round: coarse, Rounds: 3, Writes: 1, Copies: 2}
		results := runAll([]Shape{shape, shape, shape})
		So(results[0].States, ShouldBeGreaterThan, 500)
		So(results[1], ShouldResemble, results[0])
		So(results[2], ShouldResemble, results[0])
	})
}

func TestPlantedDefectsAreFound(t *testing.T) {
	defects := []struct {
		name  string
		shape Shape
		fault string
	}{
		{"a blank machine votes", Shape{
			Machines: 3, Faults: 1, Wipes: 1, Round: coarse, Rounds: 3, Writes: 1, Copies: 2, Only: []string{"wiped"}, Plant: Plant{IsBlankVoting: true},
		}, "disk is blank"},
		{"a promise is told before it is synced", Shape{
			Machines: 3, Faults: 2, Round: coarse, Rounds: 6, Copies: 2, Only: []string{"frozen", "killed"}, At: []string{"c1", "c3"}, Plant: Plant{IsUnsynced: true},
		}, "after"},
		{"a write is acknowledged before the backup has synced it", Shape{
			Machines: 3, Round: coarse, Rounds: 2, Writes: 1, Copies: 2, Plant: Plant{IsHasty: true},
		}, "synced on 1 disks"},
		{"a backup that lost its disk and was told ends, and takes itself for well", Shape{
			Machines: 5, Faults: 3, Wipes: 1, Round: coarse, Rounds: 9, Copies: 2, Only: []string{"wiped", "killed"}, At: []string{"c1", "c2"},
			Plant: Plant{IsSameDisk: true},
		}, "disk is blank"},
		{"a machine that starts again counts the voters before a replacement", Shape{
			Machines: 3, Standbys: 1, Faults: 2, Round: lasting, Rounds: 16, Copies: 2, Only: []string{"killed"}, At: []string{"c1", "c3"}, IsSpaced: true,
			Plant: Plant{IsOldVoter: true},
		}, "has two records"},
	}
	Convey("Defects planted around the machines are found, and the course ends with them", t, func() {
		var shapes []Shape
		for _, defect := range defects {
			shapes = append(shapes, defect.shape)
		}
		for at, result := range runAll(shapes) {
			SoMsg(defects[at].name, result.Fault, ShouldContainSubstring, defects[at].fault)
		}
	})
	Convey("Without them, the same shapes break no rule", t, func() {
		var shapes []Shape
		for _, defect := range defects[:3] {
			shape := defect.shape
			shape.Plant = Plant{}
			shapes = append(shapes, shape)
		}
		for at, result := range runAll(shapes) {
			SoMsg(defects[at].name, result.Fault, ShouldBeEmpty)
		}
	})
}

func TestKeys(t *testing.T) {
	Convey("A state that differs in one machine's promise, time or message under way has another key; one reached again has the same", t, func() {
		shape := Shape{Machines: 3, Round: coarse, Rounds: 2}
		w := begin(&shape)
		w.course = nil
		first := w.key()
		So(begin(&shape).key(), ShouldEqual, first)
		other := w.clone()
		other.turn()
		So(other.key(), ShouldNotEqual, first)
		So(w.key(), ShouldEqual, first)
		lost := other.clone()
		lost.net = lost.net[1:]
		So(lost.key(), ShouldNotEqual, other.key())
	})
}
