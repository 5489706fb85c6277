package flowcontrol

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func tuned(beta, most float64) Tuning {
	tuning := Defaults()
	tuning.Beta, tuning.Max = beta, most
	return tuning
}

func period(x *Window, now *time.Duration, latency time.Duration) {
	size := x.Size()
	for range size {
		x.Take()
	}
	for range size {
		x.Done(Answered, latency)
	}
	*now += time.Second
	x.Tick(*now)
}

func TestEquations(t *testing.T) {
	Convey("CAL and w follow the paper's two equations", t, func() {
		x, now := New(tuned(1, 100)), time.Duration(0)
		x.Tick(now)
		period(x, &now, 60*time.Millisecond)
		So(float64(x.Read().Cal), ShouldAlmostEqual, float64(60*time.Millisecond), 1)
		So(x.Read().Window, ShouldAlmostEqual, 0.8*2+0.2*(30.0/60*2+1), 1e-6)
		before := x.Read().Window
		period(x, &now, 10*time.Millisecond)
		cal := 0.1*10 + 0.9*60.0
		So(float64(x.Read().Cal)/1e6, ShouldAlmostEqual, cal, 1e-6)
		So(x.Read().Window, ShouldAlmostEqual, 0.8*before+0.2*(30/cal*before+1), 1e-6)
	})
	Convey("Above the threshold the window shrinks by a factor, down to the floor; below it grows, up to the cap", t, func() {
		x, now := New(tuned(1, 8)), time.Duration(0)
		x.Tick(now)
		for range 60 {
			period(x, &now, 5*time.Millisecond)
		}
		So(x.Read().Window, ShouldEqual, 8)
		before := x.Read().Window
		for range 40 {
			period(x, &now, 400*time.Millisecond)
			So(x.Read().Window, ShouldBeLessThanOrEqualTo, before)
			before = x.Read().Window
		}
		So(x.Size(), ShouldEqual, 1)
	})
	Convey("Nodes that share a server come to windows in proportion to their beta", t, func() {
		betas := []float64{1, 2, 4}
		var windows []*Window
		for _, beta := range betas {
			windows = append(windows, New(tuned(beta, 1000)))
		}
		now := time.Duration(0)
		for _, x := range windows {
			x.Tick(now)
		}
		for range 400 {
			sum := 0.0
			for _, x := range windows {
				sum += x.Read().Window
			}
			latency := time.Duration(sum * float64(4*time.Millisecond))
			now += time.Second
			for _, x := range windows {
				for range x.Size() {
					x.Take()
				}
				for range x.Size() {
					x.Done(Answered, latency)
				}
				x.Tick(now)
			}
		}
		base := windows[0].Read().Window / betas[0]
		for at, x := range windows {
			So(math.Abs(x.Read().Window/betas[at]-base)/base, ShouldBeLessThan, 0.1)
		}
	})
}

func TestSlots(t *testing.T) {
	Convey("A statement given up on keeps its slot until it is laid, and its age counts as latency", t, func() {
		x, now := New(tuned(1, 8)), time.Duration(0)
		x.Tick(now)
		x.Take()
		x.Take()
		So(x.HasRoom(), ShouldBeFalse)
		x.Abandon(3 * time.Second)
		So(x.HasRoom(), ShouldBeFalse)
		x.Done(Answered, time.Millisecond)
		So(x.HasRoom(), ShouldBeTrue)
		x.Lay()
		So(x.Read().Ghosts, ShouldEqual, 0)
		x.Tick(now + time.Second)
		So(x.Read().Cal, ShouldBeGreaterThan, time.Second)
	})
	Convey("A refusal, which is no work, counts no latency; a lost statement counts at least the threshold", t, func() {
		x := New(tuned(1, 8))
		x.Tick(0)
		x.Take()
		x.Done(Refused, time.Hour)
		x.Tick(time.Second)
		So(x.Read().Cal, ShouldEqual, 0)
		x.Take()
		x.Done(Lost, time.Millisecond)
		x.Tick(2 * time.Second)
		So(x.Read().Cal, ShouldEqual, x.Read().Threshold)
	})
	Convey("A window that was not used does not grow, and a lower cap binds at once", t, func() {
		x, now := New(tuned(1, 8)), time.Duration(0)
		x.Tick(now)
		x.Take()
		x.Done(Answered, time.Millisecond)
		x.Tick(now + time.Second)
		So(x.Read().Window, ShouldEqual, 2)
		x.Retune(1, 1)
		So(x.Size(), ShouldEqual, 1)
		x.Retune(1, 8)
		x.Restart()
		So(x.Read().Window, ShouldEqual, 2)
	})
}

func TestPeers(t *testing.T) {
	Convey("The most nodes of the last minute count, and one that is back within it changes nothing", t, func() {
		peers := Peers{Most: 1}
		So(peers.Note(8, time.Hour), ShouldBeTrue)
		So(peers.Note(7, time.Hour+time.Second), ShouldBeFalse)
		So(peers.Note(8, time.Hour+2*time.Second), ShouldBeFalse)
		So(peers.Note(9, time.Hour+3*time.Second), ShouldBeTrue)
		So(peers.Note(3, time.Hour+62*time.Second), ShouldBeFalse)
		So(peers.Note(3, time.Hour+64*time.Second), ShouldBeTrue)
		So(peers.Most, ShouldEqual, 3)
	})
}
