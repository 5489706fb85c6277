package flowcontrol

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func parametersOf(beta, maxWindow float64) Parameters {
	parameters := DefaultParameters()
	parameters.Beta, parameters.MaxWindow = beta, maxWindow
	return parameters
}

func runPeriod(w *Window, now *time.Duration, latency time.Duration) {
	size := w.Size()
	for range size {
		w.Acquire()
	}
	for range size {
		w.Release(Completed, latency)
	}
	*now += time.Second
	w.Tick(*now)
}

func TestEquations(t *testing.T) {
	Convey("CAL and w follow the paper's two equations", t, func() {
		w, now := NewWindow(parametersOf(1, 100)), time.Duration(0)
		w.Tick(now)
		runPeriod(w, &now, 60*time.Millisecond)
		So(float64(w.Reading().AverageLatency), ShouldAlmostEqual, float64(60*time.Millisecond), 1)
		So(w.Reading().Size, ShouldAlmostEqual, 0.8*2+0.2*(30.0/60*2+1), 1e-6)
		before := w.Reading().Size
		runPeriod(w, &now, 10*time.Millisecond)
		cal := 0.1*10 + 0.9*60.0
		So(float64(w.Reading().AverageLatency)/1e6, ShouldAlmostEqual, cal, 1e-6)
		So(w.Reading().Size, ShouldAlmostEqual, 0.8*before+0.2*(30/cal*before+1), 1e-6)
	})
	Convey("The window shrinks by a factor down to its minimum while the latency is above the threshold, and grows up to its maximum while it is below", t, func() {
		w, now := NewWindow(parametersOf(1, 8)), time.Duration(0)
		w.Tick(now)
		for range 60 {
			runPeriod(w, &now, 5*time.Millisecond)
		}
		So(w.Reading().Size, ShouldEqual, 8)
		before := w.Reading().Size
		for range 40 {
			runPeriod(w, &now, 400*time.Millisecond)
			So(w.Reading().Size, ShouldBeLessThanOrEqualTo, before)
			before = w.Reading().Size
		}
		So(w.Size(), ShouldEqual, 1)
	})
	Convey("The windows of nodes that share an instance converge in proportion to their beta", t, func() {
		betas := []float64{1, 2, 4}
		var windows []*Window
		for _, beta := range betas {
			windows = append(windows, NewWindow(parametersOf(beta, 1000)))
		}
		now := time.Duration(0)
		for _, w := range windows {
			w.Tick(now)
		}
		for range 400 {
			sum := 0.0
			for _, w := range windows {
				sum += w.Reading().Size
			}
			latency := time.Duration(sum * float64(4*time.Millisecond))
			now += time.Second
			for _, w := range windows {
				for range w.Size() {
					w.Acquire()
				}
				for range w.Size() {
					w.Release(Completed, latency)
				}
				w.Tick(now)
			}
		}
		base := windows[0].Reading().Size / betas[0]
		for index, w := range windows {
			So(math.Abs(w.Reading().Size/betas[index]-base)/base, ShouldBeLessThan, 0.1)
		}
	})
}

func TestSlots(t *testing.T) {
	Convey("An abandoned statement keeps its slot until it is released, and its age counts as a latency", t, func() {
		w, now := NewWindow(parametersOf(1, 8)), time.Duration(0)
		w.Tick(now)
		w.Acquire()
		w.Acquire()
		So(w.HasRoom(), ShouldBeFalse)
		w.Abandon(3 * time.Second)
		So(w.HasRoom(), ShouldBeFalse)
		w.Release(Completed, time.Millisecond)
		So(w.HasRoom(), ShouldBeTrue)
		w.ReleaseAbandoned()
		So(w.Reading().Abandoned, ShouldEqual, 0)
		w.Tick(now + time.Second)
		So(w.Reading().AverageLatency, ShouldBeGreaterThan, time.Second)
	})
	Convey("A rejected statement, which did no work, counts no latency; a lost statement counts at least the threshold", t, func() {
		w := NewWindow(parametersOf(1, 8))
		w.Tick(0)
		w.Acquire()
		w.Release(Rejected, time.Hour)
		w.Tick(time.Second)
		So(w.Reading().AverageLatency, ShouldEqual, 0)
		w.Acquire()
		w.Release(Lost, time.Millisecond)
		w.Tick(2 * time.Second)
		So(w.Reading().AverageLatency, ShouldEqual, w.Reading().LatencyThreshold)
	})
	Convey("A window that was never full does not grow, and a lower maximum applies at once", t, func() {
		w, now := NewWindow(parametersOf(1, 8)), time.Duration(0)
		w.Tick(now)
		w.Acquire()
		w.Release(Completed, time.Millisecond)
		w.Tick(now + time.Second)
		So(w.Reading().Size, ShouldEqual, 2)
		w.Retune(1, 1)
		So(w.Size(), ShouldEqual, 1)
		w.Retune(1, 8)
		w.Reset()
		So(w.Reading().Size, ShouldEqual, 2)
	})
}

func TestPeers(t *testing.T) {
	Convey("Max is the largest number of live nodes within the last minute, and a node that returns within the minute does not change it", t, func() {
		peers := PeerCounter{Max: 1}
		So(peers.Observe(8, time.Hour), ShouldBeTrue)
		So(peers.Observe(7, time.Hour+time.Second), ShouldBeFalse)
		So(peers.Observe(8, time.Hour+2*time.Second), ShouldBeFalse)
		So(peers.Observe(9, time.Hour+3*time.Second), ShouldBeTrue)
		So(peers.Observe(3, time.Hour+62*time.Second), ShouldBeFalse)
		So(peers.Observe(3, time.Hour+64*time.Second), ShouldBeTrue)
		So(peers.Max, ShouldEqual, 3)
	})
}
