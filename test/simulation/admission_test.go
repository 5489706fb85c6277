package simulation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func findLoad(name string) Load {
	for _, load := range Loads() {
		if load.Name == name {
			return load
		}
	}
	return Load{}
}

func TestAdmission(t *testing.T) {
	Convey("Past saturation the server stays busy, its latency near the threshold, and what is over waits at the nodes", t, func() {
		with, without := RunAdmission(1, findLoad("one and a half")), RunAdmission(1, findLoad("one and a half, no admission"))
		So(with.Served, ShouldBeGreaterThan, 0.95*with.Capacity)
		So(with.Latency, ShouldBeLessThan, 60*time.Millisecond)
		So(without.Latency, ShouldBeGreaterThan, 50*with.Latency)
		for _, share := range with.Shares {
			So(float64(share.Served), ShouldBeBetween, 0.9*float64(with.Shares[0].Served), 1.1*float64(with.Shares[0].Served))
		}
	})
	Convey("Under contention windows come to be in proportion to weight", t, func() {
		found := RunAdmission(1, findLoad("weights 1 1 1 1 2 2 2 2, twice"))
		So(found.Shares[4].Window/found.Shares[0].Window, ShouldBeBetween, 1.7, 2.3)
		So(float64(found.Shares[4].Served)/float64(found.Shares[0].Served), ShouldBeBetween, 1.4, 2.3)
	})
	Convey("Below saturation nothing waits to speak of, and bursts short of it wait little", t, func() {
		So(RunAdmission(1, findLoad("nine tenths")).QueueTimeP99, ShouldBeLessThan, 10*time.Millisecond)
		So(RunAdmission(1, findLoad("bursts of 12, half")).QueueTimeP99, ShouldBeLessThan, 100*time.Millisecond)
	})
	Convey("A server turned slow has its windows cut, and they grow back when it is well", t, func() {
		found := RunAdmission(1, findLoad("slow by 8 from 40 s to 60 s, half"))
		So(found.Windows[59], ShouldBeLessThan, 0.5*found.Windows[39])
		So(found.Windows[len(found.Windows)-1], ShouldBeGreaterThan, 1.5*found.Windows[59])
	})
}
