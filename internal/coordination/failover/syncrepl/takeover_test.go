package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

const wall = int64(1000 * time.Hour)

func at(term, index uint64) model.Position { return model.Position{Term: term, Index: index} }

func sight(name, role string) Sight {
	return Sight{
		Instance: model.Instance{Name: name, Database: "db", Address: name + ":1", Role: role, IsSynced: true},
		Heard:    200 * time.Millisecond, Answered: 50 * time.Millisecond, Tried: 4,
	}
}

func told(role string, term, index uint64) Seen {
	return Seen{IsAnswered: true, Role: role, Term: term, Position: at(term, index), IsAfter: true, Age: 50 * time.Millisecond, Event: 1, Tenure: "c1@1"}
}

func failed() Seen { return Seen{IsAfter: true, Age: 50 * time.Millisecond} }

func open() Case {
	return Case{
		Database: "db", Self: "c1", IsKnown: true, IsSettled: true, SettledFor: time.Minute, Age: time.Minute, Wall: wall,
		Event: 1, Covered: 1, Tenure: "c1@1", Bound: at(3, 95),
		Writer: model.Writer{
			Database: "db", Term: 3, Primary: "a", Phase: model.PhaseOpen, IsSynced: true, Since: wall - int64(time.Minute),
			Required: map[string]string{"b": "", "c": ""}, High: at(3, 95), Holder: "c1", Fence: 4,
		},
		Sights: []Sight{sight("a", model.RolePrimary), sight("b", model.RoleReplica), sight("c", model.RoleReplica)},
		Seen:   map[string]Seen{},
	}
}

func closing(seen map[string]Seen) Case {
	one := open()
	one.Writer.Phase, one.Writer.Since, one.SettledFor, one.Seen = model.PhaseClosing, wall-int64(time.Second), 100*time.Millisecond, seen
	return one
}

func intent(seen map[string]Seen, since time.Duration) Case {
	one := closing(seen)
	one.Writer.Phase, one.Writer.Intent, one.Writer.Calls, one.Writer.Floor = model.PhaseIntent, "b", 1, at(3, 99)
	one.Writer.Since = wall - int64(since)
	return one
}

func recorded(c Case) (model.Writer, bool) {
	for _, effect := range Step(c, DefaultTiming()) {
		if record, isOne := effect.(Record); isOne {
			return record.Writer, true
		}
	}
	return model.Writer{}, false
}

func effects[T any](c Case) []T {
	var found []T
	for _, effect := range Step(c, DefaultTiming()) {
		if one, isOne := effect.(T); isOne {
			found = append(found, one)
		}
	}
	return found
}

func intended(c Case) string {
	writer, _ := recorded(c)
	if writer.Phase != model.PhaseIntent {
		return ""
	}
	return writer.Intent
}

func TestMeeting(t *testing.T) {
	fresh := func() Case {
		one := open()
		one.IsKnown, one.Writer = false, model.Writer{}
		return one
	}
	Convey("A database that is met has its one primary asked, and is opened in the term that this tells", t, func() {
		one := fresh()
		So(effects[Ask](one), ShouldResemble, []Ask{{Instance: "a", Address: "a:1"}})
		_, isRecorded := recorded(one)
		So(isRecorded, ShouldBeFalse)
		one.Seen["a"] = told(model.RolePrimary, 3, 90)
		writer, _ := recorded(one)
		So(writer.Term, ShouldEqual, 3)
		So(writer.Primary, ShouldEqual, "a")
		So(writer.IsSynced, ShouldBeTrue)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Required, ShouldResemble, map[string]string{"b": "", "c": ""})
	})
	Convey("Of two that say primary, both are asked and the higher term counts", t, func() {
		one := fresh()
		one.Sights[1].Instance.Role = model.RolePrimary
		So(len(effects[Ask](one)), ShouldEqual, 2)
		one.Seen["a"] = told(model.RolePrimary, 3, 90)
		_, isRecorded := recorded(one)
		So(isRecorded, ShouldBeFalse)
		one.Seen["b"] = told(model.RolePrimary, 4, 90)
		writer, _ := recorded(one)
		So(writer.Primary, ShouldEqual, "b")
		So(writer.Term, ShouldEqual, 4)
	})
}

func TestSuspicion(t *testing.T) {
	phaseOf := func(c Case) string {
		writer, _ := recorded(c)
		return writer.Phase
	}
	Convey("While all is well, nothing is done", t, func() { So(Step(open(), DefaultTiming()), ShouldBeEmpty) })
	Convey("A primary that leaves or is gone has its term closed", t, func() {
		for _, change := range []func(*model.Instance){func(i *model.Instance) { i.IsLeaving = true }, func(i *model.Instance) { i.IsGone = true }} {
			one := open()
			change(&one.Sights[0].Instance)
			So(phaseOf(one), ShouldEqual, model.PhaseClosing)
		}
	})
	Convey("Not while no other instance that stays can be heard", t, func() {
		one := open()
		one.Sights[0].Instance.IsLeaving = true
		one.Sights[1].Instance.IsLeaving, one.Sights[2].Heard = true, 4*time.Second
		writer, _ := recorded(one)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Why, ShouldContainSubstring, "no other instance")
	})
	Convey("One that refuses most nodes and answered none of them is; few refusals, a late answer, new reports or a new term are not enough", t, func() {
		refusing := func() Case {
			one := open()
			one.Sights[0].Refused, one.Sights[0].Answered = 3, 400*time.Millisecond
			return one
		}
		So(phaseOf(refusing()), ShouldEqual, model.PhaseClosing)
		for _, change := range []func(*Case){
			func(c *Case) { c.Sights[0].Refused = 2 },
			func(c *Case) { c.Sights[0].Answered = 200 * time.Millisecond },
			func(c *Case) { c.Age = 600 * time.Millisecond },
			func(c *Case) { c.Writer.Since = wall - int64(500*time.Millisecond) },
		} {
			one := refusing()
			change(&one)
			So(phaseOf(one), ShouldEqual, "")
		}
	})
	Convey("One that owes most nodes their answers is, unless any had one in the last 600 ms", t, func() {
		one := open()
		one.Sights[0].Overdue, one.Sights[0].Answered = 3, 620*time.Millisecond
		So(phaseOf(one), ShouldEqual, model.PhaseClosing)
		one.Sights[0].Answered = 580 * time.Millisecond
		So(phaseOf(one), ShouldEqual, "")
		one.Sights[0].Answered, one.Sights[0].Overdue = 620*time.Millisecond, 2
		So(phaseOf(one), ShouldEqual, "")
	})
	Convey("One of which nothing is heard is asked, and suspected only once that fails", t, func() {
		quiet := func() Case {
			one := open()
			one.Sights[0].Tried, one.Sights[0].Blank, one.Sights[0].Heard, one.Sights[0].Answered = 0, 3*time.Second, 3*time.Second, time.Hour
			return one
		}
		So(effects[Ask](quiet()), ShouldResemble, []Ask{{Instance: "a", Address: "a:1"}})
		So(phaseOf(quiet()), ShouldEqual, "")
		one := quiet()
		one.Seen["a"] = failed()
		So(phaseOf(one), ShouldEqual, model.PhaseClosing)
		one.Seen["a"] = Seen{IsBusy: true, Age: 50 * time.Millisecond}
		So(phaseOf(one), ShouldEqual, "")
		one.Seen["a"] = told(model.RolePrimary, 3, 99)
		So(Step(one, DefaultTiming()), ShouldBeEmpty)
		for _, change := range []func(*Sight){
			func(s *Sight) { s.Heard = 2 * time.Second }, func(s *Sight) { s.Tried = 1 }, func(s *Sight) { s.Blank = time.Second },
		} {
			one = quiet()
			one.Seen["a"] = failed()
			change(&one.Sights[0])
			So(phaseOf(one), ShouldEqual, "")
		}
	})
	Convey("One that itself says just now that it is a replica is, though no other leads yet", t, func() {
		one := open()
		one.Sights[0].Instance.Role = model.RoleReplica
		So(effects[Ask](one), ShouldResemble, []Ask{{Instance: "a", Address: "a:1"}})
		So(phaseOf(one), ShouldEqual, "")
		one.Seen["a"] = told(model.RoleReplica, 3, 99)
		So(phaseOf(one), ShouldEqual, model.PhaseClosing)
	})
	Convey("One that turned replica under another of a later term has its term closed; the other is asked first", t, func() {
		one := open()
		one.Sights[0].Instance.Role, one.Sights[1].Instance.Role = model.RoleReplica, model.RolePrimary
		So(effects[Ask](one), ShouldContain, Ask{Instance: "b", Address: "b:1"})
		So(phaseOf(one), ShouldEqual, "")
		one.Seen["b"] = told(model.RolePrimary, 4, 99)
		So(phaseOf(one), ShouldEqual, model.PhaseClosing)
	})
}

func TestOpenTerm(t *testing.T) {
	Convey("Another that still says primary of an earlier term is ordered down, at a pace, and one that was asked just now is believed over its announcement", t, func() {
		one := open()
		one.Sights[1].Instance.Role = model.RolePrimary
		So(effects[Ask](one), ShouldResemble, []Ask{{Instance: "b", Address: "b:1"}})
		seen := told(model.RolePrimary, 2, 80)
		seen.Age = 600 * time.Millisecond
		one.Seen["b"] = seen
		So(effects[StepDown](one), ShouldResemble, []StepDown{{Instance: "b", Address: "b:1", Term: 3}})
		seen.Age = 100 * time.Millisecond
		one.Seen["b"] = seen
		So(effects[StepDown](one), ShouldBeEmpty)
		one.Seen["b"] = told(model.RoleReplica, 3, 80)
		So(effects[StepDown](one), ShouldBeEmpty)
		one.Seen, one.Sights[1].Heard = map[string]Seen{}, 4*time.Second
		So(Step(one, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("After an event the primary is asked, and its answer covers the event only where it was asked after it and in this tenure", t, func() {
		one := open()
		one.Event, one.Seen["a"] = 2, told(model.RolePrimary, 3, 99)
		So(effects[Mark](one), ShouldBeEmpty)
		old := one.Seen["a"]
		old.Age = 2 * time.Second
		one.Seen["a"] = old
		So(effects[Ask](one), ShouldResemble, []Ask{{Instance: "a", Address: "a:1"}})
		seen := told(model.RolePrimary, 3, 99)
		seen.Event = 2
		one.Seen["a"] = seen
		So(effects[Mark](one), ShouldResemble, []Mark{{Database: "db", Tenure: "c1@1", Event: 2, Position: at(3, 99)}})
		seen.Tenure = "c2@1"
		one.Seen["a"] = seen
		So(effects[Mark](one), ShouldBeEmpty)
	})
	Convey("Replicas that appear are recorded; one not heard of is forgotten only after a minute, and not while something is not covered", t, func() {
		one := open()
		one.Age = time.Hour
		one.Sights = append(one.Sights, sight("d", model.RoleReplica))
		writer, _ := recorded(one)
		So(writer.Required, ShouldContainKey, "d")
		one = open()
		one.Age, one.Sights[2].Heard = time.Hour, 30*time.Second
		_, isRecorded := recorded(one)
		So(isRecorded, ShouldBeFalse)
		one.Sights[2].Heard = 2 * time.Minute
		writer, _ = recorded(one)
		So(writer.Required, ShouldResemble, map[string]string{"b": ""})
		one.Event = 2
		_, isRecorded = recorded(one)
		So(isRecorded, ShouldBeFalse)
	})
}

func TestChoice(t *testing.T) {
	all := func() map[string]Seen {
		return map[string]Seen{"a": failed(), "b": told(model.RoleReplica, 3, 99), "c": told(model.RoleReplica, 3, 97)}
	}
	Convey("Nothing is asked or chosen before every node that may hold a lease has dropped the primary", t, func() {
		one := closing(all())
		one.IsSettled = false
		So(Step(one, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("All replicas and the old primary are asked at once; answers from before the settling count for nothing", t, func() {
		So(len(effects[Ask](closing(map[string]Seen{}))), ShouldEqual, 3)
		one := closing(all())
		for name, seen := range one.Seen {
			seen.IsAfter = false
			one.Seen[name] = seen
		}
		So(len(effects[Ask](one)), ShouldEqual, 3)
		So(intended(one), ShouldEqual, "")
		one.SettledFor = time.Hour
		So(intended(one), ShouldEqual, "")
	})
	Convey("Nothing is chosen before the old primary was asked, unless it leaves or does not answer for long", t, func() {
		one := closing(all())
		delete(one.Seen, "a")
		one.SettledFor = DefaultTiming().Glance - 10*time.Millisecond
		So(intended(one), ShouldEqual, "")
		one.SettledFor = DefaultTiming().Glance + 10*time.Millisecond
		So(intended(one), ShouldEqual, "b")
		one.SettledFor, one.Sights[0].Instance.IsLeaving = 0, true
		So(intended(one), ShouldEqual, "b")
	})
	Convey("All heard: the furthest, even where the reports are not whole, with a fence of the intent's own, so that a late call of an earlier one is refused", t, func() {
		one := closing(all())
		one.Event = 9
		So(intended(one), ShouldEqual, "b")
		writer, _ := recorded(one)
		So(writer.Floor, ShouldResemble, at(3, 99))
		So(writer.Calls, ShouldEqual, 1)
		So(effects[Promote](one), ShouldResemble, []Promote{{Database: "db", Instance: "b", Holder: "c1", Fence: 5}})
		So(writer.Fence, ShouldEqual, 5)
		one.Self = "c2"
		So(effects[Promote](one), ShouldResemble, []Promote{{Database: "db", Instance: "b", Holder: "c2", Fence: 5}})
		one.Writer.Holder, one.Writer.Fence = "", 0
		So(effects[Promote](one)[0].Fence, ShouldEqual, 1)
	})
	Convey("Terms count before numbers", t, func() {
		one := closing(all())
		one.Seen["c"] = told(model.RoleReplica, 3, 99)
		seen := told(model.RoleReplica, 3, 0)
		seen.Position = at(2, 500)
		one.Seen["b"] = seen
		So(intended(one), ShouldEqual, "c")
	})
	Convey("Some not heard: waited for, then one that is at or past all acknowledged is chosen where the reports are whole", t, func() {
		some := func() Case {
			one := closing(all())
			one.Seen["c"] = failed()
			return one
		}
		So(intended(some()), ShouldEqual, "")
		one := some()
		one.SettledFor = 2 * time.Second
		So(intended(one), ShouldEqual, "b")
		one.Event = 2
		So(intended(one), ShouldEqual, "")
		one.Covered, one.Bound = 2, at(3, 100)
		So(intended(one), ShouldEqual, "")
		one.Bound = at(3, 99)
		So(intended(one), ShouldEqual, "b")
		one.Writer.High = at(3, 100)
		So(intended(one), ShouldEqual, "")
		writer, _ := recorded(one)
		So(writer.Why, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("A replica that is on record and was not heard of by this control primary counts as not heard", t, func() {
		one := closing(all())
		one.Sights = one.Sights[:2]
		one.Event = 2
		So(intended(one), ShouldEqual, "")
		one.Covered = 2
		So(intended(one), ShouldEqual, "b")
	})
	Convey("A replica that has gone may have been the only one to receive a commit", t, func() {
		one := closing(all())
		one.Sights[2].Instance.IsGone, one.Event = true, 2
		So(intended(one), ShouldEqual, "")
	})
	Convey("All heard but none at what was acknowledged: none", t, func() {
		one := closing(all())
		one.Writer.High, one.Bound = at(3, 120), at(3, 120)
		So(intended(one), ShouldEqual, "")
	})
	Convey("One that stays goes before one that leaves, but not where it lacks what the other has", t, func() {
		one := closing(all())
		one.Sights[1].Instance.IsLeaving = true
		So(intended(one), ShouldEqual, "c")
		one.Bound = at(3, 98)
		So(intended(one), ShouldEqual, "")
		one.SettledFor = 2 * time.Second
		So(intended(one), ShouldEqual, "b")
	})
	Convey("A primary that is back is opened again, unless it leaves or lost the role", t, func() {
		one := closing(all())
		one.Seen["a"] = told(model.RolePrimary, 3, 99)
		writer, _ := recorded(one)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Primary, ShouldEqual, "a")
		So(writer.Term, ShouldEqual, 3)
		one.Sights[0].Instance.IsLeaving = true
		So(intended(one), ShouldEqual, "b")
		one.Sights[0].Instance.IsLeaving = false
		one.Seen["a"] = told(model.RoleReplica, 3, 104)
		So(intended(one), ShouldEqual, "a")
	})
	Convey("Another that already leads a later term is opened, with no call", t, func() {
		one := closing(all())
		one.Seen["c"] = told(model.RolePrimary, 5, 99)
		writer, _ := recorded(one)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Primary, ShouldEqual, "c")
		So(writer.Term, ShouldEqual, 5)
		So(effects[Promote](one), ShouldBeEmpty)
		before := told(model.RolePrimary, 5, 99)
		before.IsAfter = false
		one.Seen["c"] = before
		_, isRecorded := recorded(one)
		So(isRecorded, ShouldBeFalse)
		So(effects[Ask](one), ShouldContain, Ask{Instance: "c", Address: "c:1"})
	})
}

func TestOutcome(t *testing.T) {
	replica := func() map[string]Seen { return map[string]Seen{"b": told(model.RoleReplica, 3, 99)} }
	down := func() map[string]Seen { return map[string]Seen{"b": failed()} }
	Convey("The outcome is learned from the instance, which is asked often", t, func() {
		one := intent(replica(), 300*time.Millisecond)
		So(Step(one, DefaultTiming()), ShouldBeEmpty)
		seen := one.Seen["b"]
		seen.Age = 200 * time.Millisecond
		one.Seen["b"] = seen
		So(effects[Ask](one), ShouldResemble, []Ask{{Instance: "b", Address: "b:1"}})
		one.Seen["b"] = told(model.RolePrimary, 3, 99)
		_, isRecorded := recorded(one)
		So(isRecorded, ShouldBeFalse)
		one.Seen["b"] = told(model.RolePrimary, 4, 100)
		writer, _ := recorded(one)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Term, ShouldEqual, 4)
		So(writer.Primary, ShouldEqual, "b")
		So(writer.Before, ShouldEqual, 3)
		So(writer.Base, ShouldResemble, at(4, 100))
		So(writer.High, ShouldResemble, at(3, 99))
		So(writer.Floor, ShouldResemble, model.Position{})
		So(writer.Fence, ShouldEqual, 4)
		So(writer.Holder, ShouldEqual, "c1")
	})
	Convey("The call is made again for the same instance only, while it is a replica, and after a while", t, func() {
		So(effects[Promote](intent(replica(), time.Second)), ShouldBeEmpty)
		one := intent(replica(), 2*time.Second)
		So(effects[Promote](one), ShouldResemble, []Promote{{Database: "db", Instance: "b", Holder: "c1", Fence: 4}})
		writer, _ := recorded(one)
		So(writer.Calls, ShouldEqual, 2)
		one.Self = "c2"
		So(effects[Promote](one)[0].Fence, ShouldEqual, 5)
		one.Seen = map[string]Seen{}
		So(effects[Promote](one), ShouldBeEmpty)
	})
	Convey("A call refused for its rate is made again soon", t, func() {
		one := intent(replica(), 400*time.Millisecond)
		one.Calls = []Call{{Instance: "b", Status: 429}}
		So(len(effects[Promote](one)), ShouldEqual, 1)
		one.Writer.Since = wall - int64(200*time.Millisecond)
		So(effects[Promote](one), ShouldBeEmpty)
	})
	Convey("The intent is given up only when every call was refused and the instance is seen not to run, or it is gone", t, func() {
		one := intent(down(), 400*time.Millisecond)
		one.Calls = []Call{{Instance: "b", Status: 409}}
		writer, _ := recorded(one)
		So(writer.Phase, ShouldEqual, model.PhaseClosing)
		So(writer.Intent, ShouldEqual, "")
		So(writer.Floor, ShouldResemble, model.Position{})
		one.Writer.Calls = 2
		_, isRecorded := recorded(one)
		So(isRecorded, ShouldBeFalse)
		for _, status := range []int{0, 500, 200} {
			one.Calls = []Call{{Instance: "b", Status: 409}, {Instance: "b", Status: status}}
			_, isRecorded = recorded(one)
			So(isRecorded, ShouldBeFalse)
		}
		one = intent(replica(), 400*time.Millisecond)
		one.Calls = []Call{{Instance: "b", Status: 409}}
		_, isRecorded = recorded(one)
		So(isRecorded, ShouldBeFalse)
		one = intent(map[string]Seen{"b": {IsGone: true, Age: 50 * time.Millisecond}}, 400*time.Millisecond)
		writer, _ = recorded(one)
		So(writer.Phase, ShouldEqual, model.PhaseClosing)
	})
	Convey("A second instance is never called while the outcome at the first is unknown, however long that lasts", t, func() {
		for _, seen := range []map[string]Seen{down(), replica(), {}} {
			for _, since := range []time.Duration{time.Second, 5 * time.Second, time.Hour} {
				one := intent(seen, since)
				one.Calls = []Call{{Instance: "b"}}
				one.SettledFor = time.Hour
				writer, isRecorded := recorded(one)
				So(isRecorded && writer.Intent != "b", ShouldBeFalse)
				for _, call := range effects[Promote](one) {
					So(call.Instance, ShouldEqual, "b")
				}
			}
		}
	})
}

func TestUnknownOutcomeAtOneThatNeverReturns(t *testing.T) {
	down := func(calls ...Call) Case {
		one := intent(map[string]Seen{"b": failed()}, time.Second)
		one.Calls, one.Writer.Calls = calls, len(calls)
		return one
	}
	isGivenUp := func(one Case) bool {
		writer, isRecorded := recorded(one)
		return isRecorded && writer.Phase == model.PhaseClosing && writer.Intent == ""
	}
	fenced := func(calls ...Call) Case {
		one := down(calls...)
		one.IsFenced, one.Writer.Fence = true, calls[len(calls)-1].Fence
		return one
	}
	lost := func(fence uint64) Call { return Call{Instance: "b", Age: 3 * time.Second, Fence: fence} }
	answered := func(fence uint64, status int) Call {
		return Call{Instance: "b", Age: 200 * time.Millisecond, Fence: fence, Status: status}
	}
	Convey("A call that never left this machine counts as refused", t, func() {
		So(isGivenUp(down(Call{Instance: "b", IsUnsent: true}, answered(4, 409))), ShouldBeTrue)
		So(isGivenUp(down(Call{Instance: "b", IsUnsent: true})), ShouldBeTrue)
		So(isGivenUp(down(Call{Instance: "b"}, answered(4, 409))), ShouldBeFalse)
	})
	Convey("Where the platform checks fences, a refusal of a higher one shows that no earlier call takes effect any more, whoever made it", t, func() {
		So(isGivenUp(fenced(lost(4), answered(5, 409))), ShouldBeTrue)
		one := fenced(lost(4), answered(5, 409))
		one.Calls, one.Writer.Calls = one.Calls[1:], 7
		So(isGivenUp(one), ShouldBeTrue)
		one = fenced(lost(4), answered(5, 409))
		one.IsFenced = false
		So(isGivenUp(one), ShouldBeFalse)
	})
	Convey("Not on a lower or equal fence, another answer, another instance's, nor while it answers", t, func() {
		So(isGivenUp(fenced(lost(5), answered(5, 409))), ShouldBeFalse)
		So(isGivenUp(fenced(answered(4, 409), lost(5))), ShouldBeFalse)
		for _, status := range []int{0, 200, 429, 500} {
			So(isGivenUp(fenced(lost(4), answered(5, status))), ShouldBeFalse)
		}
		one := fenced(lost(4), answered(5, 409))
		one.Calls[1].Instance = "c"
		So(isGivenUp(one), ShouldBeFalse)
		one = fenced(lost(4), answered(5, 409))
		one.Writer.Fence = 6
		So(isGivenUp(one), ShouldBeFalse)
		one = fenced(lost(4), answered(5, 409))
		one.Seen["b"] = told(model.RoleReplica, 3, 99)
		So(isGivenUp(one), ShouldBeFalse)
		one.Seen["b"] = Seen{IsBusy: true, IsAfter: true, Age: 50 * time.Millisecond}
		So(isGivenUp(one), ShouldBeFalse)
	})
	Convey("A call that was accepted is over once a much later one was refused: what it would bring about was due long before", t, func() {
		accepted := Call{Instance: "b", Age: 200*time.Millisecond + DefaultTiming().Again, Fence: 4, Status: 200}
		So(isGivenUp(down(accepted, answered(4, 409))), ShouldBeTrue)
		accepted.Age -= time.Millisecond
		So(isGivenUp(down(accepted, answered(4, 409))), ShouldBeFalse)
	})
	Convey("So that this can be shown, each further call has a higher fence where fences are checked, and else only with another holder", t, func() {
		for _, isFenced := range []bool{true, false} {
			one := intent(map[string]Seen{"b": failed()}, 2*time.Second)
			one.Calls, one.IsFenced = []Call{lost(4)}, isFenced
			call := effects[Promote](one)
			So(len(call), ShouldEqual, 1)
			So(call[0].Instance, ShouldEqual, "b")
			So(call[0].Fence, ShouldEqual, map[bool]int{true: 5, false: 4}[isFenced])
		}
	})
	Convey("A database whose promotion was lost goes on to another replica, in time, while the first never returns", t, func() {
		now, lostFence := time.Duration(0), uint64(4)
		one := intent(map[string]Seen{"b": failed(), "c": told(model.RoleReplica, 3, 99)}, time.Millisecond)
		one.IsFenced, one.Calls = true, []Call{{Instance: "b", Fence: lostFence}}
		chosen := ""
		for ; now < 10*time.Second && chosen == ""; now += 50 * time.Millisecond {
			one.Wall = wall + int64(now)
			one.SettledFor = now
			for _, effect := range Step(one, DefaultTiming()) {
				if record, isRecord := effect.(Record); isRecord {
					if record.Writer.Phase != model.PhaseIntent {
						one.Calls = nil
					}
					one.Writer = record.Writer
				}
				if call, isCall := effect.(Promote); isCall {
					status := map[bool]int{true: 409, false: 200}[call.Instance == "b"]
					one.Calls = append(one.Calls, Call{Instance: call.Instance, Fence: call.Fence, Status: status})
				}
			}
			if one.Writer.Phase == model.PhaseIntent && one.Writer.Intent != "b" {
				chosen = one.Writer.Intent
			}
		}
		So(chosen, ShouldEqual, "c")
		So(now, ShouldBeLessThan, 2*DefaultTiming().Again+DefaultTiming().Patience)
	})
}

func TestCeiling(t *testing.T) {
	Convey("A leaving primary's own word after the settling bounds what was acknowledged, though a replica be gone and reports not whole", t, func() {
		play := func(a Seen, b Seen) string {
			one := closing(map[string]Seen{"a": a, "b": b})
			one.Sights[0].Instance.IsLeaving = true
			one.Sights[2].Instance.IsGone = true
			one.Event, one.SettledFor = 2, 5*time.Second
			return intended(one)
		}
		So(play(told(model.RolePrimary, 3, 97), told(model.RoleReplica, 3, 97)), ShouldEqual, "b")
		So(play(told(model.RolePrimary, 3, 98), told(model.RoleReplica, 3, 97)), ShouldEqual, "")
		So(play(failed(), told(model.RoleReplica, 3, 97)), ShouldEqual, "")
		early := told(model.RolePrimary, 3, 97)
		early.IsAfter = false
		So(play(early, told(model.RoleReplica, 3, 97)), ShouldEqual, "")
		So(play(told(model.RolePrimary, 2, 97), told(model.RoleReplica, 3, 97)), ShouldEqual, "")
		So(play(told(model.RoleReplica, 3, 97), told(model.RoleReplica, 3, 97)), ShouldEqual, "")
	})
}

func TestSuccessor(t *testing.T) {
	Convey("An instance that has a gone primary's log and says that it leads the same term bounds what was acknowledged", t, func() {
		play := func(d Seen) string {
			one := closing(map[string]Seen{"b": told(model.RoleReplica, 3, 97), "c": told(model.RoleReplica, 3, 96), "d": d})
			one.Sights[0].Instance.IsGone = true
			one.Sights = append(one.Sights, sight("d", model.RolePrimary))
			one.Event, one.SettledFor = 2, 5*time.Second
			return intended(one)
		}
		So(play(told(model.RolePrimary, 3, 97)), ShouldEqual, "b")
		So(play(told(model.RolePrimary, 3, 98)), ShouldEqual, "")
	})
}
