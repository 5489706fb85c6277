package asyncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func sight(name, role string, term, index uint64, heard time.Duration) Sight {
	one := Sight{Heard: heard, Asked: 5, Instance: model.Instance{
		Name: name, Database: "db", Role: role, Birth: name + "-1", Term: term, Position: model.Position{Term: term, Index: index},
	}}
	if heard > DefaultTiming().Silence {
		one.Silent = 5
	}
	return one
}

func open() Case {
	both := map[string]string{"b": "b-1", "c": "c-1"}
	return Case{
		Database: "db", IsKnown: true, Asked: 5, Age: time.Minute, IsSettled: true, SettledFor: time.Minute,
		HasMark: true, Mark: model.Position{Term: 1, Index: 90},
		Writer: model.Writer{Database: "db", Term: 1, Primary: "a", Birth: "a-1", Phase: model.PhaseOpen, Required: both, Candidates: both, High: model.Position{Term: 1, Index: 95}},
		Sights: []Sight{
			sight("a", model.RolePrimary, 1, 100, 100*time.Millisecond), sight("b", model.RoleReplica, 1, 99, 100*time.Millisecond),
			sight("c", model.RoleReplica, 1, 97, 100*time.Millisecond),
		},
	}
}

func next(at Case) model.Writer {
	effects := Step(at, DefaultTiming())
	if len(effects) == 0 {
		return model.Writer{}
	}
	return effects[0].(Record).Writer
}

func TestSuspicion(t *testing.T) {
	Convey("While all is well, nothing is done", t, func() { So(Step(open(), DefaultTiming()), ShouldBeEmpty) })
	Convey("A primary silent to most nodes has its term closed; one that answers most, or that few have missed, has not", t, func() {
		at := open()
		at.Sights[0] = sight("a", model.RolePrimary, 1, 100, 2*time.Second)
		So(next(at).Phase, ShouldEqual, model.PhaseClosing)
		at.Sights[0].Silent = 2
		So(next(at).Phase, ShouldNotEqual, model.PhaseClosing)
		at.Sights[0].Silent, at.Sights[0].Heard = 5, time.Second
		So(next(at).Phase, ShouldNotEqual, model.PhaseClosing)
	})
	Convey("A primary that leaves, steps down or comes back blank has its term closed", t, func() {
		for _, change := range []func(*model.Instance){
			func(x *model.Instance) { x.IsLeaving = true },
			func(x *model.Instance) { x.Role = model.RoleReplica },
			func(x *model.Instance) { x.Birth = "a-2" },
		} {
			at := open()
			change(&at.Sights[0].Instance)
			So(next(at).Phase, ShouldEqual, model.PhaseClosing)
		}
	})
	Convey("Where no replica is shown to hold every confirmed commit, nothing is closed, and the record says why", t, func() {
		at := open()
		at.Writer.Candidates = nil
		at.Sights[0] = sight("a", model.RolePrimary, 1, 100, 2*time.Second)
		So(next(at).Phase, ShouldEqual, model.PhaseOpen)
		So(next(at).Why, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("A control primary that has just begun, with no reports yet, holds nothing for gone", t, func() {
		at := open()
		at.Sights, at.Asked, at.Age = nil, 0, time.Second
		So(next(at).Phase, ShouldNotEqual, model.PhaseClosing)
	})
}

func TestPromotion(t *testing.T) {
	closed := func() Case {
		at := open()
		at.Sights[0] = sight("a", model.RolePrimary, 1, 100, 2*time.Second)
		at.Writer.Phase = model.PhaseClosed
		return at
	}
	Convey("The term is held to be closed only once every leased node has stopped", t, func() {
		at := closed()
		at.Writer.Phase, at.IsSettled = model.PhaseClosing, false
		So(Step(at, DefaultTiming()), ShouldBeEmpty)
		at.IsSettled = true
		So(next(at).Phase, ShouldEqual, model.PhaseClosed)
	})
	Convey("The furthest candidate is chosen, the intent is written first, and one call is made", t, func() {
		effects := Step(closed(), DefaultTiming())
		So(len(effects), ShouldEqual, 2)
		So(effects[0].(Record).Writer.Intent, ShouldEqual, "b")
		So(effects[1].(Promote), ShouldResemble, Promote{Database: "db", Instance: "b", Term: 2})
	})
	Convey("One that is behind what was confirmed, reborn, unheard or no candidate is never chosen", t, func() {
		for _, change := range []func(*Case, *Sight){
			func(_ *Case, x *Sight) { x.Instance.Position.Index = 94 },
			func(_ *Case, x *Sight) { x.Instance.Birth = "new" },
			func(_ *Case, x *Sight) { x.Heard = 2 * time.Second },
			func(at *Case, x *Sight) {
				at.Writer.Candidates = map[string]string{"c": "c-1"}
				x.Instance.Position.Index = 500
			},
			func(_ *Case, x *Sight) { x.Instance.IsLeaving = true },
		} {
			at := closed()
			change(&at, &at.Sights[1])
			So(next(at).Intent, ShouldEqual, "c")
		}
		at := closed()
		at.Sights[1].Heard, at.Sights[2].Heard = 2*time.Second, 2*time.Second
		So(next(at).Why, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("An intent is settled by looking: opened when seen promoted, called again only for the same one seen a replica, else waited on", t, func() {
		at := closed()
		at.Writer.Phase, at.Writer.Intent, at.Wall, at.Writer.Since = model.PhaseIntent, "b", int64(10*time.Second), int64(10*time.Second)
		So(Step(at, DefaultTiming()), ShouldBeEmpty)
		at.Wall = int64(12 * time.Second)
		effects := Step(at, DefaultTiming())
		So(effects[1].(Promote).Instance, ShouldEqual, "b")
		at.Sights[1].Heard = 3 * time.Second
		at.Wall = int64(20 * time.Second)
		So(len(Step(at, DefaultTiming())), ShouldEqual, 1)
		So(next(at).Why, ShouldContainSubstring, "no other is promoted")
		at.Sights[1] = sight("b", model.RolePrimary, 2, 101, 10*time.Millisecond)
		opened := next(at)
		So(opened.Phase, ShouldEqual, model.PhaseOpen)
		So(opened.Term, ShouldEqual, 2)
		So(opened.Candidates, ShouldResemble, opened.Required)
		So(opened.Required, ShouldResemble, map[string]string{"c": "c-1"})
	})
}

func TestPrimaryComesBack(t *testing.T) {
	Convey("With no candidate left, a primary that is back with all that was confirmed has its term opened again, and only then", t, func() {
		at := open()
		at.Writer.Phase, at.Writer.Candidates = model.PhaseClosed, map[string]string{"b": "gone"}
		So(next(at).Phase, ShouldEqual, model.PhaseOpen)
		So(next(at).Term, ShouldEqual, 1)
		for _, change := range []func(*Case){
			func(at *Case) { at.Sights[0].Instance.Birth = "a-2" },
			func(at *Case) { at.Sights[0].Instance.Position.Index = 94 },
			func(at *Case) { at.Sights[0].Instance.IsLeaving = true },
			func(at *Case) { at.Writer.Term = 2 },
			func(at *Case) { at.Writer.Candidates = map[string]string{"c": "c-1"} },
		} {
			at := open()
			at.Writer.Phase, at.Writer.Candidates = model.PhaseClosed, map[string]string{"b": "gone"}
			change(&at)
			So(next(at).Phase, ShouldNotEqual, model.PhaseOpen)
		}
	})
}

func TestIntendedReplicaLosesItsData(t *testing.T) {
	Convey("An intended replica that comes back without its data is neither called again nor opened; another is chosen, past its term", t, func() {
		for _, role := range []string{model.RoleReplica, model.RolePrimary} {
			at := open()
			at.Sights[0] = sight("a", model.RolePrimary, 1, 100, 2*time.Second)
			at.Writer.Phase, at.Writer.Intent, at.Wall, at.Writer.Since = model.PhaseIntent, "b", int64(20*time.Second), int64(10*time.Second)
			at.Sights[1] = sight("b", role, 2, 1, 10*time.Millisecond)
			at.Sights[1].Instance.Birth = "b-2"
			given := Step(at, DefaultTiming())
			So(len(given), ShouldEqual, 1)
			at.Writer = given[0].(Record).Writer
			So(at.Writer.Phase, ShouldEqual, model.PhaseClosed)
			So(at.Writer.Candidates, ShouldResemble, map[string]string{"c": "c-1"})
			effects := Step(at, DefaultTiming())
			So(effects[1].(Promote), ShouldResemble, Promote{Database: "db", Instance: "c", Term: 3})
		}
	})
}

func TestIntentBesideOlderSights(t *testing.T) {
	intended := func(placed time.Duration) Case {
		at := open()
		at.Sights[0] = sight("a", model.RolePrimary, 1, 100, 2*time.Second)
		at.Writer.Phase, at.Writer.Intent, at.Wall, at.Writer.Since = model.PhaseIntent, "b", int64(10100*time.Millisecond), int64(10*time.Second)
		at.Sights[1] = sight("b", model.RoleReplica, 1, 90, 10*time.Millisecond)
		at.Sights[1].Placed = placed
		return at
	}
	Convey("An intent is not given up for a position that its replica told before it, however lately it was heard", t, func() {
		So(Step(intended(300*time.Millisecond), DefaultTiming()), ShouldBeEmpty)
		after := intended(300 * time.Millisecond)
		after.Wall, after.Sights[1].Placed = int64(11*time.Second), 3*time.Second
		So(Step(after, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("It is for one told since", t, func() {
		So(next(intended(50*time.Millisecond)).Phase, ShouldEqual, model.PhaseClosed)
	})
}

func TestTending(t *testing.T) {
	Convey("A replica that commits wait for too long is struck as candidate first, then from the wait", t, func() {
		at := open()
		at.Sights[2].Lagging = time.Second
		struck := next(at)
		So(struck.Candidates, ShouldResemble, map[string]string{"b": "b-1"})
		So(struck.Required, ShouldContainKey, "c")
		at.Writer = struck
		struck = next(at)
		So(struck.Required, ShouldResemble, map[string]string{"b": "b-1"})
		at = open()
		at.Writer, at.Wall = struck, int64(5*time.Second)
		So(Step(at, DefaultTiming()), ShouldBeEmpty)
		at.Wall = int64(7 * time.Second)
		So(next(at).Required, ShouldContainKey, "c")
		at.Wall = int64(5 * time.Second)
		at.Sights[1].Instance.Birth = "b-2"
		at.Writer = next(at)
		So(next(at).Required, ShouldContainKey, "c")
	})
	Convey("Where no replica keeps up, or the primary is not heard, none is struck for lag", t, func() {
		at := open()
		at.Sights[1].Lagging, at.Sights[2].Lagging = time.Second, time.Second
		So(Step(at, DefaultTiming()), ShouldBeEmpty)
		at = open()
		at.Sights[2].Lagging, at.Sights[0].Heard = time.Second, 900*time.Millisecond
		So(Step(at, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("One that is back is waited for at once, and a candidate only when settled and past what was confirmed before", t, func() {
		at := open()
		at.Writer.Required, at.Writer.Candidates = map[string]string{"b": "b-1"}, map[string]string{"b": "b-1"}
		waited := next(at)
		So(waited.Required, ShouldContainKey, "c")
		So(waited.Candidates, ShouldNotContainKey, "c")
		at.Writer, at.IsSettled = waited, false
		So(Step(at, DefaultTiming()), ShouldBeEmpty)
		at.IsSettled, at.Mark = true, model.Position{Term: 1, Index: 98}
		So(Step(at, DefaultTiming()), ShouldBeEmpty)
		at.Mark = model.Position{Term: 1, Index: 97}
		So(next(at).Candidates, ShouldContainKey, "c")
	})
	Convey("The only candidate losing its data blocks nothing while the primary lives: another is brought in", t, func() {
		at := open()
		at.Writer.Required, at.Writer.Candidates = map[string]string{"b": "b-1"}, map[string]string{"b": "b-1"}
		at.Sights[1].Instance.Birth = "b-2"
		at.Sights[1].Instance.Position = model.Position{}
		So(next(at).Required, ShouldContainKey, "c")
	})
}

func TestPrimaryLostRightAfterItsPromotion(t *testing.T) {
	Convey("A term just opened may move on to a replica that has all it began with, and to none that has not", t, func() {
		at := open()
		at.Writer.Term, at.Writer.Phase, at.Writer.High = 2, model.PhaseClosed, model.Position{Term: 2, Index: 101}
		at.Writer.Required = map[string]string{"b": "b-1", "c": "c-1"}
		at.Writer.Candidates = at.Writer.Required
		at.Sights = []Sight{sight("b", model.RoleReplica, 1, 300, 0), sight("c", model.RoleReplica, 2, 100, 0)}
		So(next(at).Why, ShouldContainSubstring, "nothing is promoted")
		at.Sights[1] = sight("c", model.RoleReplica, 2, 101, 0)
		So(next(at).Intent, ShouldEqual, "c")
	})
}
