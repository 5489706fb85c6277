package node

import (
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
	"tansyseam/test/reserve"
)

// testNode is a node whose peers are RPC hubs created by the test.
type testNode struct {
	*Node
	workers *worker.Group
}

func newTestNode(t *testing.T) *testNode {
	nodeConfig := config.Config{Name: "d1", RPCAddress: reserve.Loopback(t), HTTPAddress: reserve.Loopback(t)}
	nodeConfig.AdvertiseRPCAddress, nodeConfig.AdvertiseHTTPAddress = nodeConfig.RPCAddress, nodeConfig.HTTPAddress
	node, err := New(model.KindProxy, nodeConfig, hclog.NewNullLogger())
	So(err, ShouldBeNil)
	So(node.Start(), ShouldBeNil)
	n := &testNode{Node: node, workers: worker.NewGroup()}
	Reset(func() {
		n.Stop()
		n.workers.Stop(5 * time.Second)
	})
	return n
}

func (n *testNode) addPeer(t *testing.T, name, kind string, handler rpc.Handler) {
	address := reserve.Loopback(t)
	hub := rpc.NewHub(name, address, n.workers, &worker.Counters{}, handler)
	So(hub.Listen(), ShouldBeNil)
	Reset(hub.Close)
	n.stepMembership(membership.GossipReceived{Gossip: membership.Gossip{From: model.Node{Name: name, Kind: kind, RPCAddress: address, Incarnation: 1, Heartbeat: 1}}})
}

func (n *testNode) requestUpdate(search *PrimarySearch, timeout time.Duration) chan bool {
	result := make(chan bool, 1)
	go func() {
		_, updated := n.RequestUpdate(distribution.UpdateRequest{Node: "d1", Kind: model.KindProxy, WithoutLease: true}, search, timeout)
		result <- updated
	}()
	return result
}

func TestUpdateRequestsWithSilentPrimary(t *testing.T) {
	primary := func(_ string, body any, reply func(any)) {
		if _, ok := body.(distribution.UpdateRequest); ok {
			reply(distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 2, Primary: "c2"}})
		}
	}
	Convey("Given a node whose control primary receives requests but does not answer them", t, func() {
		n := newTestNode(t)
		requests := make(chan bool, 10)
		n.addPeer(t, "c1", model.KindControl, func(_ string, body any, _ func(any)) {
			if request, ok := body.(distribution.UpdateRequest); ok {
				requests <- request.WithoutLease
			}
		})
		n.ObserveEpoch(consensus.Record{Epoch: 1, Primary: "c1"})
		Convey("When another node becomes primary, the node abandons the request in flight and sends the next request to the new primary", func() {
			n.addPeer(t, "c2", model.KindControl, primary)
			result := n.requestUpdate(&PrimarySearch{}, time.Hour)
			withoutLease, _ := worker.Receive(requests, time.After(time.Minute))
			So(withoutLease, ShouldBeTrue)
			n.dispatchMessage("c2", message.EpochChanged{Record: consensus.Record{Epoch: 2, Primary: "c2"}}, nil)
			updated, ended := worker.Receive(result, time.After(time.Minute))
			So(ended, ShouldBeTrue)
			So(updated, ShouldBeFalse)
			updated, _ = worker.Receive(n.requestUpdate(&PrimarySearch{}, time.Hour), time.After(time.Minute))
			So(updated, ShouldBeTrue)
		})
		Convey("A new epoch with the same primary does not end the request in flight", func() {
			result := n.requestUpdate(&PrimarySearch{}, time.Hour)
			So(worker.Await(requests, time.Minute), ShouldBeTrue)
			primaryChanged := n.primaryChange()
			n.dispatchMessage("c1", message.EpochChanged{Record: consensus.Record{Epoch: 2, Primary: "c1"}}, nil)
			So(n.primaryChange(), ShouldEqual, primaryChanged)
			_, ended := worker.TryReceive(result)
			So(ended, ShouldBeFalse)
			n.ObserveEpoch(consensus.Record{Epoch: 3, Primary: "c9"})
			So(worker.Await(result, time.Minute), ShouldBeTrue)
		})
		Convey("After a request that no node answered, the next one is also sent through a peer, and the peer's answer is used; the request to the primary does not set WithoutLease", func() {
			n.addPeer(t, "d2", model.KindProxy, func(_ string, body any, reply func(any)) {
				if _, ok := body.(message.ForwardUpdateRequest); ok {
					reply(distribution.Update{FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}})
				}
			})
			So(len(n.Peers()), ShouldEqual, 1)
			So(n.Peers()[0].Name, ShouldEqual, "d2")
			search := &PrimarySearch{Misses: 1, Unanswered: 1}
			updated, ended := worker.Receive(n.requestUpdate(search, time.Hour), time.After(time.Minute))
			So(ended, ShouldBeTrue)
			So(updated, ShouldBeTrue)
			So(search.Unanswered, ShouldEqual, 0)
			withoutLease, received := worker.Receive(requests, time.After(time.Minute))
			So(received, ShouldBeTrue)
			So(withoutLease, ShouldBeFalse)
		})
	})
}
