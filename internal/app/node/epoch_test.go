package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

func TestSendToControlPrimary(t *testing.T) {
	Convey("A message to the control primary is sent to the node that the newest epoch record names, and is dropped if there is no record yet", t, func() {
		n := newTestNode(t)
		received := make(chan string, 10)
		receiver := func(name string) func(string, any, func(any)) {
			return func(_ string, body any, _ func(any)) {
				if report, ok := body.(distribution.NodeReport); ok {
					received <- name + " " + report.Node
				}
			}
		}
		n.addPeer(t, "c1", model.KindControl, receiver("c1"))
		n.addPeer(t, "c2", model.KindControl, receiver("c2"))
		n.SendToControlPrimary(distribution.NodeReport{Node: "early"})
		n.ObserveEpoch(consensus.Record{Epoch: 1, Primary: "c2"})
		n.SendToControlPrimary(distribution.NodeReport{Node: "d1"})
		message, _ := worker.Receive(received, time.After(time.Minute))
		So(message, ShouldEqual, "c2 d1")
	})
}
