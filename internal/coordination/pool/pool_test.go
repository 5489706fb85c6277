package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/lease"
)

func TestReady(t *testing.T) {
	Convey("A node that has no lease or is draining is not ready and reports the reason", t, func() {
		core := NewCore("d1", lease.DefaultTiming(), func(string, int64) {})
		ready, reason := core.Ready(time.Hour)
		So(ready, ShouldBeFalse)
		So(reason, ShouldEqual, "no lease from the control primary")
		core.StartDraining()
		So(core.Draining(), ShouldBeTrue)
		ready, reason = core.Ready(time.Hour)
		So(ready, ShouldBeFalse)
		So(reason, ShouldEqual, "stopping")
	})
}

func TestEffects(t *testing.T) {
	Convey("Effects are returned once, in order", t, func() {
		core := NewCore("d1", lease.DefaultTiming(), func(string, int64) {})
		core.Emit(1)
		core.Emit(2)
		So(core.Effects(), ShouldResemble, []Effect{1, 2})
		So(core.Effects(), ShouldBeEmpty)
	})
}

func TestDirectory(t *testing.T) {
	Convey("An entry is created once per name, and entries are listed in the order of creation", t, func() {
		var directory Directory[*string]
		createdCount := 0
		getOrAdd := func(name string) *string {
			return directory.GetOrAdd(name, func() *string {
				createdCount++
				return &name
			})
		}
		So(directory.Get("b"), ShouldBeNil)
		second, first := getOrAdd("b"), getOrAdd("a")
		So(getOrAdd("b"), ShouldEqual, second)
		So(directory.Get("a"), ShouldEqual, first)
		So(directory.All(), ShouldResemble, []*string{second, first})
		So(createdCount, ShouldEqual, 2)
	})
}

func TestBackoff(t *testing.T) {
	Convey("The delay doubles up to its maximum and starts at its minimum again after a success", t, func() {
		var backoff Backoff
		So(backoff.Over(0), ShouldBeTrue)
		now := time.Second
		for _, pause := range []time.Duration{40, 80, 160, 200, 200} {
			backoff.Fail(40, 200, now)
			So(backoff.Over(now+pause-1), ShouldBeFalse)
			now += pause
			So(backoff.Over(now), ShouldBeTrue)
		}
		backoff.Fail(40, 200, now)
		backoff.Succeed()
		So(backoff.Over(now+199), ShouldBeFalse)
		So(backoff.Over(now+200), ShouldBeTrue)
		backoff.Fail(40, 200, now)
		So(backoff.Over(now+40), ShouldBeTrue)
	})
}

func TestCandidate(t *testing.T) {
	Convey("An instance has capacity if its window has room and a connection is available", t, func() {
		window := flowcontrol.NewWindow(flowcontrol.DefaultParameters())
		So(Candidate(window, true, true, false).HasCapacity, ShouldBeTrue)
		So(Candidate(window, false, true, false).HasCapacity, ShouldBeFalse)
		So(Candidate(window, true, true, false).Utilization, ShouldEqual, 0)
		for window.HasRoom() {
			window.Acquire()
		}
		full := Candidate(window, true, false, true)
		So(full.HasCapacity, ShouldBeFalse)
		So(full.SameZone, ShouldBeFalse)
		So(full.FreshEnough, ShouldBeTrue)
		So(full.Utilization, ShouldBeGreaterThan, 0.9)
	})
}
