package updatestorm

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/protocol/message"
)

const (
	// maxQueuedBytes is a quarter of the 256 MB that a control node may take at the size
	// that the project is designed for.
	maxQueuedBytes = 64 << 20
	// maxPendingSets is the set that is being distributed, and the newest one.
	maxPendingSets = 2
	// recoveryTime is how long a fleet may take to serve again after a loss.
	recoveryTime = 15 * time.Second
	proxyCount   = 90
	routeCount   = 833
	changeEvery  = 200 * time.Millisecond
)

// TestStormOfChangesExhaustsControlMemory guards against binding sets that pile up in the
// control state and in the queues to the proxies while changes arrive faster than slow
// links carry them.
func TestStormOfChangesExhaustsControlMemory(t *testing.T) {
	message.Register()
	Convey("Given a fleet in which each change is in force", t, func() {
		f := newFleet(proxyCount, routeCount)
		f.accept()
		f.play(6*time.Second, 0)
		So(f.proxiesInForce(), ShouldEqual, proxyCount)
		boundsHold := func() {
			So(f.maxPending, ShouldBeLessThanOrEqualTo, maxPendingSets)
			So(f.maxQueued, ShouldBeLessThanOrEqualTo, maxQueuedBytes)
		}
		Convey("After a storm of changes, the newest is in force in time, and four times as many changes store no more sets", func() {
			f.play(6*time.Second, changeEvery)
			stored := f.maxSets
			f.play(18*time.Second, changeEvery)
			boundsHold()
			So(f.maxSets, ShouldBeLessThanOrEqualTo, stored)
			f.play(recoveryTime, 0)
			So(f.proxiesInForce(), ShouldEqual, proxyCount)
		})
		Convey("Control is killed again and again amid the storm, and then all nodes return at once", func() {
			for range 8 {
				f.play(1500*time.Millisecond, changeEvery)
				f.restartControl()
			}
			f.restartProxies()
			f.play(recoveryTime, 0)
			boundsHold()
			So(f.proxiesInForce(), ShouldEqual, proxyCount)
		})
		Convey("Proxies of a build that accepts complete sets only get one newest set each, and the newest is in force in time", func() {
			f.earlierBuild = true
			f.play(8*time.Second, changeEvery)
			f.restartControl()
			f.play(4*time.Second, changeEvery)
			f.play(recoveryTime, 0)
			boundsHold()
			So(f.proxiesInForce(), ShouldEqual, proxyCount)
		})
	})
}
