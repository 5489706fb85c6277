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
	Convey("Above saturation, the server stays busy with a latency near the threshold, and excess statements queue at the nodes", t, func() {
		limited, unlimited := RunAdmission(1, findLoad("one and a half")), RunAdmission(1, findLoad("one and a half, no admission"))
		So(limited.Served, ShouldBeGreaterThan, 0.95*limited.Capacity)
		So(limited.Latency, ShouldBeLessThan, 60*time.Millisecond)
		So(unlimited.Latency, ShouldBeGreaterThan, 50*limited.Latency)
		for _, share := range limited.Shares {
			So(float64(share.Served), ShouldBeBetween, 0.9*float64(limited.Shares[0].Served), 1.1*float64(limited.Shares[0].Served))
		}
	})
	Convey("Under contention, windows converge to sizes in proportion to the weights", t, func() {
		result := RunAdmission(1, findLoad("weights 1 1 1 1 2 2 2 2, twice"))
		So(result.Shares[4].Window/result.Shares[0].Window, ShouldBeBetween, 1.7, 2.3)
		So(float64(result.Shares[4].Served)/float64(result.Shares[0].Served), ShouldBeBetween, 1.4, 2.3)
	})
	Convey("Below saturation, the queue time is negligible, and bursts are queued only briefly", t, func() {
		So(RunAdmission(1, findLoad("nine tenths")).QueueTimeP99, ShouldBeLessThan, 10*time.Millisecond)
		So(RunAdmission(1, findLoad("bursts of 12, half")).QueueTimeP99, ShouldBeLessThan, 100*time.Millisecond)
	})
	Convey("When the server becomes slow, the windows shrink, and when it has recovered, they grow back", t, func() {
		result := RunAdmission(1, findLoad("slow by 8 from 40 s to 60 s, half"))
		So(result.Windows[59], ShouldBeLessThan, 0.5*result.Windows[39])
		So(result.Windows[len(result.Windows)-1], ShouldBeGreaterThan, 1.5*result.Windows[59])
	})
}
