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
	diskFaults := map[string]bool{"disk hangs": true, "disk refuses": true}
	Convey("However control's primary is lost, another holds primacy soon, and never before the old one's has lapsed; soon after, a write is kept", t, func() {
		for _, config := range []Config{SmallConfig(), LargeConfig()} {
			for _, loss := range PrimaryLosses() {
				bound := timing.PrimaryLease + timing.RenewInterval
				if diskFaults[loss.Name] {
					bound += timing.ReplyTimeout
				}
				primacy, firstWrites, violations := MeasureControlFailovers(500, 16, config, loss, 8)
				description := fmt.Sprintf("%d machines, %s: primacy %v, kept %v", config.Controls, loss.Name, primacy, firstWrites)
				SoMsg(description, violations, ShouldEqual, 0)
				SoMsg(description, Quantile(primacy, 0), ShouldBeGreaterThan, timing.PrimaryLease*9/10-timing.RenewInterval)
				SoMsg(description, Quantile(primacy, 0.5), ShouldBeBetween, 0, bound)
				SoMsg(description, Quantile(primacy, 0.99), ShouldBeBetween, 0, bound+timing.RenewInterval)
				SoMsg(description, Quantile(firstWrites, 0.5), ShouldBeBetween, 0, bound+timing.RenewInterval)
				SoMsg(description, Quantile(firstWrites, 0.99), ShouldBeBetween, 0, bound+2*timing.RenewInterval)
			}
		}
	})
}

func TestQuantile(t *testing.T) {
	Convey("A quantile is one of the spans; what did not come sorts first, and is no span", t, func() {
		durations := []time.Duration{5, 1, 4, 2, 3}
		So(Quantile(durations, 0), ShouldEqual, 1)
		So(Quantile(durations, 0.5), ShouldEqual, 3)
		So(Quantile(durations, 0.99), ShouldEqual, 5)
		So(Quantile(append(durations, -1), 0), ShouldEqual, -1)
		So(Quantile(nil, 0.5), ShouldEqual, -1)
	})
}
