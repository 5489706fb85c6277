package worker

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testTimeout = 30 * time.Second

func TestGroup(t *testing.T) {
	Convey("Given a group", t, func() {
		group := NewGroup()
		Convey("Its clock starts at the offset and does not go backwards", func() {
			first := group.Now()
			So(first, ShouldBeGreaterThanOrEqualTo, clockOffset)
			So(group.Now(), ShouldBeGreaterThanOrEqualTo, first)
			So(group.Stop(testTimeout), ShouldBeTrue)
		})
		Convey("A loop runs queued functions and ticks, and ends when the group stops", func() {
			queue, events := make(chan func()), make(chan string, 1)
			group.Loop(queue, time.Millisecond, func() { TrySend(events, "tick") })
			event, ok := Receive(events, time.After(testTimeout))
			So(ok, ShouldBeTrue)
			So(event, ShouldEqual, "tick")
			called := make(chan bool, 1)
			queue <- func() { called <- true }
			So(Await(called, testTimeout), ShouldBeTrue)
			So(group.IsStopping(), ShouldBeFalse)
			So(group.Stop(testTimeout), ShouldBeTrue)
			So(group.IsStopping(), ShouldBeTrue)
			So(Await(group.Stopping(), testTimeout), ShouldBeTrue)
		})
		Convey("Stop returns false if a goroutine does not end in time", func() {
			release := make(chan bool)
			group.Go(func() { <-release })
			So(group.Stop(time.Millisecond), ShouldBeFalse)
			close(release)
			So(group.Stop(testTimeout), ShouldBeTrue)
		})
	})
}

func TestPool(t *testing.T) {
	Convey("When the queue of a pool is full, TrySubmit returns false at once and Submit at its timeout", t, func() {
		group := NewGroup()
		started, release, handled := make(chan int, 9), make(chan bool), make(chan int, 9)
		pool := NewPool(group, "test", 1, 1, func(item int) {
			started <- item
			<-release
			handled <- item
		})
		So(pool.Submit(1, testTimeout), ShouldBeTrue)
		So(Await(started, testTimeout), ShouldBeTrue)
		So(pool.TrySubmit(2), ShouldBeTrue)
		So(pool.QueueLength(), ShouldEqual, 1)
		So(pool.TrySubmit(3), ShouldBeFalse)
		So(pool.Submit(3, time.Millisecond), ShouldBeFalse)
		close(release)
		So(pool.Submit(4, testTimeout), ShouldBeTrue)
		for _, expected := range []int{1, 2, 4} {
			item, ok := Receive(handled, time.After(testTimeout))
			So(ok, ShouldBeTrue)
			So(item, ShouldEqual, expected)
		}
		So(group.Stop(testTimeout), ShouldBeTrue)
		So(pool.QueueLength(), ShouldEqual, 0)
	})
}

func TestChannels(t *testing.T) {
	Convey("Channel operations that cannot proceed return false without blocking, on cancellation or at their timeout", t, func() {
		values, cancelled := make(chan int, 1), make(chan bool)
		close(cancelled)
		_, ok := TryReceive(values)
		So(ok, ShouldBeFalse)
		_, ok = Receive(values, cancelled)
		So(ok, ShouldBeFalse)
		So(Await(values, time.Millisecond), ShouldBeFalse)
		So(TrySend(values, 7), ShouldBeTrue)
		So(TrySend(values, 8), ShouldBeFalse)
		value, ok := TryReceive(values)
		So(ok, ShouldBeTrue)
		So(value, ShouldEqual, 7)
	})
}

func TestReceiveWithin(t *testing.T) {
	Convey("A value that arrives in time is received", t, func() {
		values := make(chan int, 1)
		values <- 7
		value, ok := ReceiveWithin(NewGroup(), values, testTimeout)
		So(ok, ShouldBeTrue)
		So(value, ShouldEqual, 7)
	})
	Convey("The wait ends without a value after the timeout", t, func() {
		_, ok := ReceiveWithin(NewGroup(), make(chan int), time.Millisecond)
		So(ok, ShouldBeFalse)
	})
	Convey("The wait ends without a value when the group stops", t, func() {
		group := NewGroup()
		outcomes := make(chan bool, 1)
		group.Go(func() {
			_, ok := ReceiveWithin(group, make(chan int), 2*testTimeout)
			outcomes <- ok
		})
		So(group.Stop(testTimeout), ShouldBeTrue)
		So(<-outcomes, ShouldBeFalse)
	})
}

func TestCounters(t *testing.T) {
	Convey("Counters start at zero and are safe for concurrent use", t, func() {
		counters, group := &Counters{}, NewGroup()
		So(counters.Snapshot(), ShouldBeEmpty)
		for range 8 {
			group.Go(func() {
				for range 1000 {
					counters.Add("a", 2)
				}
			})
		}
		So(group.Stop(testTimeout), ShouldBeTrue)
		So(counters.Snapshot(), ShouldResemble, map[string]int64{"a": 16000})
	})
}
