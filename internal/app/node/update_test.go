package node

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/config"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/rpc"
	"tansyseam/internal/transport/worker"
)

func freePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// asking is a node that knows control machines by name, and its ask.
type testNode struct {
	*Node
	workers *worker.Group
}

func newTestNode() *testNode {
	nodeConfig := config.Config{Name: "d1", RPCAddress: freePort(), HTTPAddress: freePort()}
	nodeConfig.AdvertiseRPCAddress, nodeConfig.AdvertiseHTTPAddress = nodeConfig.RPCAddress, nodeConfig.HTTPAddress
	node, err := New(model.KindProxy, nodeConfig, hclog.NewNullLogger())
	So(err, ShouldBeNil)
	So(node.Start(), ShouldBeNil)
	a := &testNode{Node: node, workers: worker.NewGroup()}
	Reset(func() {
		a.Stop()
		a.workers.Stop(5 * time.Second)
	})
	return a
}

func (a *testNode) addPeer(name, kind string, act rpc.Handler) {
	address := freePort()
	hub := rpc.NewHub(name, address, a.workers, &worker.Counters{}, act)
	So(hub.Listen(), ShouldBeNil)
	Reset(hub.Close)
	a.stepMembership(membership.GossipReceived{Gossip: membership.Gossip{From: model.Node{Name: name, Kind: kind, RPCAddress: address, Incarnation: 1, Heartbeat: 1}}})
}

func (a *testNode) requestUpdate(search *PrimarySearch, timeout time.Duration) chan bool {
	over := make(chan bool, 1)
	go func() {
		_, isGood := a.RequestUpdate(distribution.UpdateRequest{Node: "d1", Kind: model.KindProxy, WithoutLease: true}, search, timeout)
		over <- isGood
	}()
	return over
}

func TestUpdateRequestsWithSilentPrimary(t *testing.T) {
	primary := func(_ string, body any, answer func(any)) {
		if _, isAsk := body.(distribution.UpdateRequest); isAsk {
			answer(distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 2, Primary: "c2"}})
		}
	}
	Convey("Given a node whose control primary hears and does not answer", t, func() {
		a := newTestNode()
		heard := make(chan bool, 10)
		a.addPeer("c1", model.KindControl, func(_ string, body any, _ func(any)) {
			if ask, isAsk := body.(distribution.UpdateRequest); isAsk {
				heard <- ask.WithoutLease
			}
		})
		a.ObserveEpoch(consensus.Record{Epoch: 1, Primary: "c1"})
		Convey("It gives up the ask that is out when it hears of another primary, and asks that one", func() {
			a.addPeer("c2", model.KindControl, primary)
			over := a.requestUpdate(&PrimarySearch{}, time.Hour)
			isBare, _ := worker.Receive(heard, time.After(time.Minute))
			So(isBare, ShouldBeTrue)
			a.dispatchMessage("c2", message.EpochChanged{Record: consensus.Record{Epoch: 2, Primary: "c2"}}, nil)
			isGood, isOver := worker.Receive(over, time.After(time.Minute))
			So(isOver, ShouldBeTrue)
			So(isGood, ShouldBeFalse)
			isGood, _ = worker.Receive(a.requestUpdate(&PrimarySearch{}, time.Hour), time.After(time.Minute))
			So(isGood, ShouldBeTrue)
		})
		Convey("Another epoch of the same primary ends no ask", func() {
			over := a.requestUpdate(&PrimarySearch{}, time.Hour)
			So(worker.Await(heard, time.Minute), ShouldBeTrue)
			primaryChanged := a.primaryChange()
			a.dispatchMessage("c1", message.EpochChanged{Record: consensus.Record{Epoch: 2, Primary: "c1"}}, nil)
			So(a.primaryChange(), ShouldEqual, primaryChanged)
			_, isOver := worker.TryReceive(over)
			So(isOver, ShouldBeFalse)
			a.ObserveEpoch(consensus.Record{Epoch: 3, Primary: "c9"})
			So(worker.Await(over, time.Minute), ShouldBeTrue)
		})
		Convey("After an ask that nobody answered it goes through a peer, which brings the first answer; by one that goes two ways no lease is given up", func() {
			a.addPeer("d2", model.KindProxy, func(_ string, body any, answer func(any)) {
				if _, isPass := body.(message.ForwardUpdateRequest); isPass {
					answer(distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}})
				}
			})
			So(len(a.Peers()), ShouldEqual, 1)
			So(a.Peers()[0].Name, ShouldEqual, "d2")
			search := &PrimarySearch{Misses: 1, Unanswered: 1}
			isGood, isOver := worker.Receive(a.requestUpdate(search, time.Hour), time.After(time.Minute))
			So(isOver, ShouldBeTrue)
			So(isGood, ShouldBeTrue)
			So(search.Unanswered, ShouldEqual, 0)
			isBare, isHeard := worker.Receive(heard, time.After(time.Minute))
			So(isHeard, ShouldBeTrue)
			So(isBare, ShouldBeFalse)
		})
	})
}
