package idempotency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestGoes(t *testing.T) {
	const now = time.Hour
	make_ := func(name, birth string) (*Machine, string) {
		m := New(name, birth, Timing{Keep: time.Minute, Most: 3})
		session := m.Session(1)
		m.Open(session)
		return m, session
	}
	Convey("A first go runs; its repeat here waits and is told the same end", t, func() {
		a, session := make_("a", "1")
		So(a.Decide(session+".1", "first", now).Kind, ShouldEqual, Run)
		So(a.Decide(session+".1", "again", now).Kind, ShouldEqual, Wait)
		joined, answer := a.Settle(session+".1", Kept, nil, model.Position{Index: 4}, now)
		So(joined, ShouldResemble, []any{"again"})
		So(answer.Standing, ShouldEqual, Kept)
		So(a.Decide(session+".1", "late", now).Answer.Position.Index, ShouldEqual, 4)
		a.Settle(session+".1", Unknown, nil, model.Position{}, now)
		So(a.Decide(session+".1", "late", now).Answer.Standing, ShouldEqual, Kept)
	})
	Convey("A go that never came is given up to one asker; it runs there alone", t, func() {
		a, session := make_("a", "1")
		b, _ := make_("b", "2")
		c, _ := make_("c", "3")
		id := session + ".7"
		So(b.Decide(id, "b", now), ShouldResemble, Decision{Kind: Seek, Target: "a"})
		So(b.Heard(id, "b", a.OnAsk(Ask{Go: id, By: "b"}, now), now).Kind, ShouldEqual, Run)
		So(c.Heard(id, "c", a.OnAsk(Ask{Go: id, By: "c"}, now), now), ShouldResemble, Decision{Kind: Seek, Target: "b"})
		So(a.Decide(id, "the first arrives late", now), ShouldResemble, Decision{Kind: Seek, Target: "b"})
	})
	Convey("What was forgotten is unknown, never run again", t, func() {
		a, session := make_("a", "1")
		for _, count := range []string{".1", ".2", ".3", ".4"} {
			a.Decide(session+count, nil, now)
			a.Settle(session+count, Kept, nil, model.Position{}, now)
		}
		So(a.Has(session+".1"), ShouldBeFalse)
		So(a.Decide(session+".1", nil, now).Answer.Standing, ShouldEqual, Unknown)
		So(a.OnAsk(Ask{Go: session + ".1", By: "b"}, now).Standing, ShouldEqual, Unknown)
		a.Close(session, now)
		a.Sweep(now + 2*time.Minute)
		So(a.OnAsk(Ask{Go: session + ".9", By: "b"}, now).Standing, ShouldEqual, Unknown)
	})
	Convey("A node born again knows nothing of its past life", t, func() {
		old, session := make_("a", "1")
		old.Decide(session+".1", nil, now)
		reborn, _ := make_("a", "2")
		So(reborn.Decide(session+".1", nil, now).Answer.Standing, ShouldEqual, Unknown)
		So(reborn.OnAsk(Ask{Go: session + ".1", By: "b"}, now).Standing, ShouldEqual, Unknown)
	})
	Convey("The heir of a node that stopped in good order answers for it", t, func() {
		a, session := make_("a", "1")
		a.Decide(session+".1", nil, now)
		a.Settle(session+".1", Kept, nil, model.Position{Index: 9}, now)
		a.Decide(session+".2", nil, now)
		b, _ := make_("b", "2")
		c, _ := make_("c", "3")
		left := a.Leave("b")
		b.Inherit(left, now)
		c.Inherit(Legacy{Node: left.Node, Birth: left.Birth, Heir: left.Heir}, now)
		So(c.Decide(session+".1", nil, now), ShouldResemble, Decision{Kind: Seek, Target: "b"})
		So(b.OnAsk(Ask{Go: session + ".1", By: "c"}, now).Position.Index, ShouldEqual, 9)
		So(b.OnAsk(Ask{Go: session + ".2", By: "c"}, now).Standing, ShouldEqual, Unknown)
		So(b.OnAsk(Ask{Go: session + ".3", By: "c"}, now).Standing, ShouldEqual, Never)
		So(b.OnAsk(Ask{Go: session + ".3", By: "d"}, now), ShouldResemble, Answer{Standing: Moved, To: "c"})
		So(c.OnAsk(Ask{Go: session + ".1", By: "d"}, now).Standing, ShouldEqual, Unknown)
	})
}
