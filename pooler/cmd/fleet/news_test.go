package fleet

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam.example/pooler/cmd/settings"
	"tansyseam.example/pooler/coordination/epoch"
	"tansyseam.example/pooler/coordination/member"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/protocol/msg"
	"tansyseam.example/pooler/state/view"
	"tansyseam.example/pooler/transport/link"
	"tansyseam.example/pooler/transport/run"
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
	crew *run.Crew
}

func newAsking() *asking {
	place := settings.Settings{Name: "d1", Link: freePort(), Door: freePort()}
	place.AdvertiseLink, place.AdvertiseDoor = place.Link, place.Door
	node, err := New(view.KindData, place, hclog.NewNullLogger())
	So(err, ShouldBeNil)
	So(node.Start(), ShouldBeNil)
	a := &asking{Node: node, crew: run.NewCrew()}
	Reset(func() {
		a.Stop()
		a.crew.Stop(5 * time.Second)
	})
	return a
}

func (a *asking) meet(name, kind string, act link.Handler) {
	address := freePort()
	hub := link.New(name, address, a.crew, &run.Counters{}, act)
	So(hub.Listen(), ShouldBeNil)
	Reset(hub.Close)
	a.step(member.Told{Gossip: member.Gossip{From: view.Node{Name: name, Kind: kind, Link: address, Birth: 1, Beat: 1}}})
}

func (a *asking) askNews(seeker *Seeker, bound time.Duration) chan bool {
	over := make(chan bool, 1)
	go func() {
		_, isGood := a.AskNews(steer.AskNews{Node: "d1", Kind: view.KindData, IsBare: true}, seeker, bound)
		over <- isGood
	}()
	return over
}

func TestAsksOfANodeWhosePrimaryIsSilent(t *testing.T) {
	primary := func(_ string, body any, answer func(any)) {
		if _, isAsk := body.(steer.AskNews); isAsk {
			answer(steer.News{IsPrimary: true, Record: epoch.Record{Epoch: 2, Primary: "c2"}})
		}
	}
	Convey("Given a node whose control primary hears and does not answer", t, func() {
		a := newAsking()
		heard := make(chan bool, 10)
		a.meet("c1", view.KindControl, func(_ string, body any, _ func(any)) {
			if ask, isAsk := body.(steer.AskNews); isAsk {
				heard <- ask.IsBare
			}
		})
		a.Saw(epoch.Record{Epoch: 1, Primary: "c1"})
		Convey("It gives up the ask that is out when it hears of another primary, and asks that one", func() {
			a.meet("c2", view.KindControl, primary)
			over := a.askNews(&Seeker{}, time.Hour)
			isBare, _ := run.Take(heard, time.After(time.Minute))
			So(isBare, ShouldBeTrue)
			a.dispatch("c2", msg.Turned{Record: epoch.Record{Epoch: 2, Primary: "c2"}}, nil)
			isGood, isOver := run.Take(over, time.After(time.Minute))
			So(isOver, ShouldBeTrue)
			So(isGood, ShouldBeFalse)
			isGood, _ = run.Take(a.askNews(&Seeker{}, time.Hour), time.After(time.Minute))
			So(isGood, ShouldBeTrue)
		})
		Convey("Another epoch of the same primary ends no ask", func() {
			over := a.askNews(&Seeker{}, time.Hour)
			So(run.Await(heard, time.Minute), ShouldBeTrue)
			turning := a.turning()
			a.dispatch("c1", msg.Turned{Record: epoch.Record{Epoch: 2, Primary: "c1"}}, nil)
			So(a.turning(), ShouldEqual, turning)
			_, isOver := run.Poll(over)
			So(isOver, ShouldBeFalse)
			a.Saw(epoch.Record{Epoch: 3, Primary: "c9"})
			So(run.Await(over, time.Minute), ShouldBeTrue)
		})
		Convey("After an ask that nobody answered it goes through a peer, which brings the first answer; by one that goes two ways no lease is given up", func() {
			a.meet("d2", view.KindData, func(_ string, body any, answer func(any)) {
				if _, isPass := body.(msg.PassNews); isPass {
					answer(steer.News{IsPrimary: true, Record: epoch.Record{Epoch: 1, Primary: "c1"}})
				}
			})
			So(len(a.Fellows()), ShouldEqual, 1)
			So(a.Fellows()[0].Name, ShouldEqual, "d2")
			seeker := &Seeker{Misses: 1, Silent: 1}
			isGood, isOver := run.Take(a.askNews(seeker, time.Hour), time.After(time.Minute))
			So(isOver, ShouldBeTrue)
			So(isGood, ShouldBeTrue)
			So(seeker.Silent, ShouldEqual, 0)
			isBare, isHeard := run.Take(heard, time.After(time.Minute))
			So(isHeard, ShouldBeTrue)
			So(isBare, ShouldBeFalse)
		})
	})
}
