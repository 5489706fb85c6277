package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

type town struct {
	members map[string]*Machine
	order   []string
	now     time.Duration
	cut     func(from, to string) bool
	gone    map[string]bool
	told    int
	sent    int
}

func newTown(count int) *town {
	t := &town{members: map[string]*Machine{}, gone: map[string]bool{}, cut: func(string, string) bool { return false }}
	for at := range count {
		t.add(fmt.Sprintf("n%02d", at))
	}
	return t
}

func (t *town) add(name string) {
	node := model.Node{Name: name, Kind: model.KindData, Link: name, Birth: int64(t.now) + 1}
	t.members[name] = New(node, []string{"n00", "n01", "n02"}, DefaultTiming())
	t.order = append(t.order, name)
}

func (t *town) is(kind string, names ...string) {
	for _, name := range names {
		t.members[name].self.Kind = kind
	}
}

func (t *town) deliver(from string, effects []any) {
	for _, effect := range effects {
		send, isSend := effect.(Send)
		if isSend {
			t.sent++
			t.told += len(send.Gossip.Nodes)
		}
		if !isSend || t.gone[send.Address] || t.cut(from, send.Address) {
			continue
		}
		if target, isKnown := t.members[send.Address]; isKnown {
			t.deliver(send.Address, target.Step(Told{Gossip: send.Gossip}, t.now))
		}
	}
}

func (t *town) pass(span time.Duration) {
	for end := t.now + span; t.now < end; t.now += 50 * time.Millisecond {
		for _, name := range t.order {
			if !t.gone[name] {
				t.deliver(name, t.members[name].Step(Tick{}, t.now))
			}
		}
	}
}

func (t *town) holding(name, standing string) int {
	count := 0
	for _, other := range t.order {
		if other != name && !t.gone[other] && t.members[other].Standing(name) == standing {
			count++
		}
	}
	return count
}

func TestMembership(t *testing.T) {
	Convey("Nodes find each other from three seeds, and each is watched by a few", t, func() {
		town := newTown(14)
		town.pass(4 * time.Second)
		watchers := 0
		for _, name := range town.order {
			So(town.holding(name, IsLive), ShouldEqual, 13)
			watchers += len(town.members[name].Watched())
		}
		So(watchers, ShouldEqual, 14*Watchers)
		So(town.members["n03"].Count(model.KindData), ShouldEqual, 14)
		So(town.members["n03"].Count(model.KindControl), ShouldEqual, 0)
		Convey("A node that vanishes is held dead by all, and live again when it returns", func() {
			town.gone["n07"] = true
			town.pass(6 * time.Second)
			So(town.holding("n07", IsDead), ShouldEqual, 13)
			So(town.members["n03"].Count(model.KindData), ShouldEqual, 13)
			town.gone["n07"] = false
			town.members["n07"] = New(model.Node{Name: "n07", Kind: model.KindData, Link: "n07", Birth: int64(town.now)}, []string{"n00", "n01", "n02"}, DefaultTiming())
			town.pass(4 * time.Second)
			So(town.holding("n07", IsLive), ShouldEqual, 13)
		})
		Convey("One watcher that hears nothing of a node does not make it dead", func() {
			var watcher string
			for _, name := range town.order {
				for _, watched := range town.members[name].Watched() {
					if watched == "n07" {
						watcher = name
					}
				}
			}
			town.cut = func(from, to string) bool {
				return (from == "n07" && to == watcher) || (from == watcher && to == "n07")
			}
			town.pass(8 * time.Second)
			So(town.holding("n07", IsLive), ShouldEqual, 13)
		})
		Convey("A node that says goodbye is left, not dead; one that joins is met by all", func() {
			town.members["n05"].Leave()
			town.pass(time.Second)
			So(town.holding("n05", IsLeft), ShouldEqual, 13)
			town.add("n99")
			town.pass(4 * time.Second)
			So(town.holding("n99", IsLive), ShouldBeGreaterThanOrEqualTo, 13)
		})
	})
	Convey("At rest the cost of a node does not grow with the number of nodes, and no node is told of others", t, func() {
		for _, count := range []int{8, 40} {
			town := newTown(count)
			town.pass(8 * time.Second)
			town.sent, town.told = 0, 0
			town.pass(5 * time.Second)
			So(town.told, ShouldEqual, 0)
			SoMsg("a beat to each watcher, and a question with its answer each eight beats", town.sent, ShouldBeLessThan, count*(5*1000/350+1)*Watchers*3/2)
		}
	})
	Convey("Nodes that start at once are told of each other a few times, not in each message while they are new", t, func() {
		town := newTown(40)
		town.pass(4 * time.Second)
		for _, name := range town.order {
			So(town.holding(name, IsLive), ShouldEqual, 39)
		}
		SoMsg("entries told to each node of each other", town.told/(40*39), ShouldBeLessThan, 12)
	})
	Convey("A seed that lives is asked seldom, one that does not at every eighth beat", t, func() {
		town := newTown(40)
		town.pass(10 * time.Second)
		asked := func(seed string) int {
			count := 0
			for _, name := range town.order {
				if name != seed && !slices.Contains(town.members[name].Watched(), seed) {
					town.members[name].effects = nil
					town.members[name].onTick(town.now + DefaultTiming().Beat)
					for _, effect := range town.members[name].effects {
						send, isSend := effect.(Send)
						if isSend && send.Address == seed && !send.Gossip.IsReply {
							count++
						}
					}
				}
			}
			return count
		}
		all := 0
		for range 16 {
			all += asked("n01")
			town.pass(DefaultTiming().Beat)
		}
		So(all, ShouldBeLessThan, 40)
	})
	Convey("A node that was cut off while others came and went is mended by digests, long after that was news", t, func() {
		town := newTown(14)
		town.pass(4 * time.Second)
		town.cut = func(from, to string) bool { return (from == "n07") != (to == "n07") }
		town.pass(4 * time.Second)
		town.members["n05"].Leave()
		town.add("n99")
		town.pass(6 * time.Second)
		So(town.members["n07"].Standing("n99"), ShouldEqual, "")
		town.cut = func(string, string) bool { return false }
		town.pass(6 * time.Second)
		So(town.members["n07"].Standing("n99"), ShouldEqual, IsLive)
		So(town.members["n07"].Standing("n05"), ShouldEqual, IsLeft)
		So(town.holding("n07", IsLive), ShouldEqual, 14)
	})
	Convey("A word of one watcher that was wrong is refuted by the node's own next beats", t, func() {
		town := newTown(14)
		town.pass(4 * time.Second)
		for _, name := range town.order {
			if name != "n07" {
				beat := town.members["n07"].Self().Beat
				town.members[name].Step(Told{Gossip: Gossip{
					From: town.members["n01"].Self(), Suspicions: []Suspicion{{Node: "n07", By: "n01", Beat: beat, Born: town.members["n07"].Self().Birth}},
				}}, town.now)
			}
		}
		town.pass(6 * time.Second)
		for _, name := range town.order {
			So(len(town.members[name].suspicions), ShouldEqual, 0)
		}
	})
	Convey("The fellows of a node are of its kind: watched ones where there are any, else all that live", t, func() {
		control := []string{"n00", "n01", "n02", "n03", "n04"}
		town := newTown(11)
		town.is(model.KindControl, control...)
		town.pass(4 * time.Second)
		for _, name := range town.order {
			one := town.members[name]
			watched, fellows := one.Watched(), one.Fellows()
			So(len(fellows), ShouldBeGreaterThan, 0)
			for _, fellow := range fellows {
				So(fellow.Kind, ShouldEqual, one.Self().Kind)
				So(fellow.Name, ShouldNotEqual, name)
			}
			isAlike := func(other string) bool { return slices.Contains(control, other) == slices.Contains(control, name) }
			count := len(slices.DeleteFunc(slices.Clone(watched), func(other string) bool { return !isAlike(other) }))
			if count == 0 {
				count = len(control) - 1
				if !slices.Contains(control, name) {
					count = len(town.order) - len(control) - 1
				}
			}
			So(len(fellows), ShouldEqual, count)
		}
		lone := newTown(3)
		lone.is(model.KindControl, "n01", "n02")
		lone.pass(4 * time.Second)
		So(lone.members["n00"].Fellows(), ShouldBeEmpty)
	})
	Convey("Two halves that held each other dead find one another soon after the cut between them is over", t, func() {
		town := newTown(14)
		town.pass(4 * time.Second)
		half := func(name string) bool { return name < "n07" }
		town.cut = func(from, to string) bool { return half(from) != half(to) }
		town.pass(8 * time.Second)
		So(town.holding("n01", IsDead), ShouldEqual, 7)
		So(town.holding("n09", IsDead), ShouldEqual, 7)
		town.cut = func(string, string) bool { return false }
		town.pass(1500 * time.Millisecond)
		for _, name := range town.order {
			So(town.holding(name, IsLive), ShouldEqual, 13)
		}
	})
}
