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
type asking struct {
	*Node
	crew *worker.Crew
}

func newAsking() *asking {
	place := config.Settings{Name: "d1", Link: freePort(), Door: freePort()}
	place.AdvertiseLink, place.AdvertiseDoor = place.Link, place.Door
	node, err := New(model.KindData, place, hclog.NewNullLogger())
	So(err, ShouldBeNil)
	So(node.Start(), ShouldBeNil)
	a := &asking{Node: node, crew: worker.NewCrew()}
	Reset(func() {
		a.Stop()
		a.crew.Stop(5 * time.Second)
	})
	return a
}

func (a *asking) meet(name, kind string, act rpc.Handler) {
	address := freePort()
	hub := rpc.New(name, address, a.crew, &worker.Counters{}, act)
	So(hub.Listen(), ShouldBeNil)
	Reset(hub.Close)
	a.step(membership.Told{Gossip: membership.Gossip{From: model.Node{Name: name, Kind: kind, Link: address, Birth: 1, Beat: 1}}})
}

func (a *asking) askNews(seeker *Seeker, bound time.Duration) chan bool {
	over := make(chan bool, 1)
	go func() {
		_, isGood := a.AskNews(distribution.AskNews{Node: "d1", Kind: model.KindData, IsBare: true}, seeker, bound)
		over <- isGood
	}()
	return over
}

func TestAsksOfANodeWhosePrimaryIsSilent(t *testing.T) {
	primary := func(_ string, body any, answer func(any)) {
		if _, isAsk := body.(distribution.AskNews); isAsk {
			answer(distribution.News{IsPrimary: true, Record: consensus.Record{Epoch: 2, Primary: "c2"}})
		}
	}
	Convey("Given a node whose control primary hears and does not answer", t, func() {
		a := newAsking()
		heard := make(chan bool, 10)
		a.meet("c1", model.KindControl, func(_ string, body any, _ func(any)) {
			if ask, isAsk := body.(distribution.AskNews); isAsk {
				heard <- ask.IsBare
			}
		})
		a.Saw(consensus.Record{Epoch: 1, Primary: "c1"})
		Convey("It gives up the ask that is out when it hears of another primary, and asks that one", func() {
			a.meet("c2", model.KindControl, primary)
			over := a.askNews(&Seeker{}, time.Hour)
			isBare, _ := worker.Take(heard, time.After(time.Minute))
			So(isBare, ShouldBeTrue)
			a.dispatch("c2", message.Turned{Record: consensus.Record{Epoch: 2, Primary: "c2"}}, nil)
			isGood, isOver := worker.Take(over, time.After(time.Minute))
			So(isOver, ShouldBeTrue)
			So(isGood, ShouldBeFalse)
			isGood, _ = worker.Take(a.askNews(&Seeker{}, time.Hour), time.After(time.Minute))
			So(isGood, ShouldBeTrue)
		})
		Convey("Another epoch of the same primary ends no ask", func() {
			over := a.askNews(&Seeker{}, time.Hour)
			So(worker.Await(heard, time.Minute), ShouldBeTrue)
			turning := a.turning()
			a.dispatch("c1", message.Turned{Record: consensus.Record{Epoch: 2, Primary: "c1"}}, nil)
			So(a.turning(), ShouldEqual, turning)
			_, isOver := worker.Poll(over)
			So(isOver, ShouldBeFalse)
			a.Saw(consensus.Record{Epoch: 3, Primary: "c9"})
			So(worker.Await(over, time.Minute), ShouldBeTrue)
		})
		Convey("After an ask that nobody answered it goes through a peer, which brings the first answer; by one that goes two ways no lease is given up", func() {
			a.meet("d2", model.KindData, func(_ string, body any, answer func(any)) {
				if _, isPass := body.(message.PassNews); isPass {
					answer(distribution.News{IsPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}})
				}
			})
			So(len(a.Fellows()), ShouldEqual, 1)
			So(a.Fellows()[0].Name, ShouldEqual, "d2")
			seeker := &Seeker{Misses: 1, Silent: 1}
			isGood, isOver := worker.Take(a.askNews(seeker, time.Hour), time.After(time.Minute))
			So(isOver, ShouldBeTrue)
			So(isGood, ShouldBeTrue)
			So(seeker.Silent, ShouldEqual, 0)
			isBare, isHeard := worker.Take(heard, time.After(time.Minute))
			So(isHeard, ShouldBeTrue)
			So(isBare, ShouldBeFalse)
		})
	})
}
