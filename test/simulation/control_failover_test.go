package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
)

func TestControlFailover(t *testing.T) {
	onlyWithoutRace(t)
	timing := consensus.DefaultTiming()
	stalls := map[string]bool{"disk hangs": true, "disk refuses": true}
	Convey("However control's primary is lost, another holds primacy soon, and never before the old one's has lapsed; soon after, a write is kept", t, func() {
		for _, shape := range []Config{SmallConfig(), LargeConfig()} {
			for _, loss := range PrimaryLosses() {
				bound := timing.PrimaryLease + timing.RenewInterval
				if stalls[loss.Name] {
					bound += timing.ReplyTimeout
				}
				primacy, kept, faults := MeasureControlFailovers(500, 16, shape, loss, 8)
				about := fmt.Sprintf("%d machines, %s: primacy %v, kept %v", shape.Controls, loss.Name, primacy, kept)
				SoMsg(about, faults, ShouldEqual, 0)
				SoMsg(about, Quantile(primacy, 0), ShouldBeGreaterThan, timing.PrimaryLease*9/10-timing.RenewInterval)
				SoMsg(about, Quantile(primacy, 0.5), ShouldBeBetween, 0, bound)
				SoMsg(about, Quantile(primacy, 0.99), ShouldBeBetween, 0, bound+timing.RenewInterval)
				SoMsg(about, Quantile(kept, 0.5), ShouldBeBetween, 0, bound+timing.RenewInterval)
				SoMsg(about, Quantile(kept, 0.99), ShouldBeBetween, 0, bound+2*timing.RenewInterval)
			}
		}
	})
}

func TestQuantile(t *testing.T) {
	Convey("A quantile is one of the spans; what did not come sorts first, and is no span", t, func() {
		spans := []time.Duration{5, 1, 4, 2, 3}
		So(Quantile(spans, 0), ShouldEqual, 1)
		So(Quantile(spans, 0.5), ShouldEqual, 3)
		So(Quantile(spans, 0.99), ShouldEqual, 5)
		So(Quantile(append(spans, -1), 0), ShouldEqual, -1)
		So(Quantile(nil, 0.5), ShouldEqual, -1)
	})
}
