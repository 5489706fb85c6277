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
	Convey("However the control primary is lost, another server becomes primary soon, but only after the old lease has expired, and a write is committed soon after", t, func() {
		for _, config := range []Config{SmallConfig(), LargeConfig()} {
			for _, loss := range PrimaryLosses() {
				bound := timing.PrimaryLease + timing.RenewInterval
				if diskFaults[loss.Name] {
					bound += timing.ReplyTimeout
				}
				primacy, firstWrites, violations := MeasureControlFailovers(500, 16, config, loss, 8)
				description := fmt.Sprintf("%d control servers, %s: primacy %v, first write %v", config.Controls, loss.Name, primacy, firstWrites)
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
	Convey("A quantile is one of the durations, of which -1 for a missing event sorts first, or -1 if there are none", t, func() {
		durations := []time.Duration{5, 1, 4, 2, 3}
		So(Quantile(durations, 0), ShouldEqual, 1)
		So(Quantile(durations, 0.5), ShouldEqual, 3)
		So(Quantile(durations, 0.99), ShouldEqual, 5)
		So(Quantile(append(durations, -1), 0), ShouldEqual, -1)
		So(Quantile(nil, 0.5), ShouldEqual, -1)
	})
}
