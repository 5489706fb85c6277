package asyncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

func newObservation(name, role string, term, index uint64, contactAge time.Duration) Observation {
	observed := Observation{ContactAge: contactAge, ReportingNodes: 5, Instance: model.Instance{
		Name: name, Database: "db", Role: role, Incarnation: name + "-1", Term: term, Position: model.Position{Term: term, Index: index},
	}}
	if contactAge > DefaultTiming().SilenceTimeout {
		observed.SilentNodes = 5
	}
	return observed
}

func openTerm() Evidence {
	both := map[string]string{"b": "b-1", "c": "c-1"}
	return Evidence{
		Database: "db", Known: true, ReportingNodes: 5, GatheredFor: time.Minute, Settled: true, SettledFor: time.Minute,
		HasPrimaryPosition: true, PrimaryPosition: model.Position{Term: 1, Index: 90},
		Writer: model.WriterRole{Database: "db", Term: 1, Primary: "a", PrimaryIncarnation: "a-1", Phase: model.PhaseOpen, RequiredReplicas: both, Candidates: both, HighWatermark: model.Position{Term: 1, Index: 95}},
		Observations: []Observation{
			newObservation("a", model.RolePrimary, 1, 100, 100*time.Millisecond), newObservation("b", model.RoleReplica, 1, 99, 100*time.Millisecond),
			newObservation("c", model.RoleReplica, 1, 97, 100*time.Millisecond),
		},
	}
}

func firstWriter(evidence Evidence) model.WriterRole {
	effects := Step(evidence, DefaultTiming())
	if len(effects) == 0 {
		return model.WriterRole{}
	}
	return effects[0].(failover.Record).Writer
}

func TestSuspicion(t *testing.T) {
	Convey("While all is well, nothing is done", t, func() { So(Step(openTerm(), DefaultTiming()), ShouldBeEmpty) })
	Convey("A primary silent to most nodes has its term closed; one that answers most, or that few have missed, has not", t, func() {
		evidence := openTerm()
		evidence.Observations[0] = newObservation("a", model.RolePrimary, 1, 100, 2*time.Second)
		So(firstWriter(evidence).Phase, ShouldEqual, model.PhaseClosing)
		evidence.Observations[0].SilentNodes = 2
		So(firstWriter(evidence).Phase, ShouldNotEqual, model.PhaseClosing)
		evidence.Observations[0].SilentNodes, evidence.Observations[0].ContactAge = 5, time.Second
		So(firstWriter(evidence).Phase, ShouldNotEqual, model.PhaseClosing)
	})
	Convey("A primary that leaves, steps down or comes back blank has its term closed", t, func() {
		for _, change := range []func(*model.Instance){
			func(instance *model.Instance) { instance.Leaving = true },
			func(instance *model.Instance) { instance.Role = model.RoleReplica },
			func(instance *model.Instance) { instance.Incarnation = "a-2" },
		} {
			evidence := openTerm()
			change(&evidence.Observations[0].Instance)
			So(firstWriter(evidence).Phase, ShouldEqual, model.PhaseClosing)
		}
	})
	Convey("Where no replica is shown to hold every confirmed commit, nothing is closed, and the record says why", t, func() {
		evidence := openTerm()
		evidence.Writer.Candidates = nil
		evidence.Observations[0] = newObservation("a", model.RolePrimary, 1, 100, 2*time.Second)
		So(firstWriter(evidence).Phase, ShouldEqual, model.PhaseOpen)
		So(firstWriter(evidence).Reason, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("A control primary that has just begun, with no reports yet, holds nothing for gone", t, func() {
		evidence := openTerm()
		evidence.Observations, evidence.ReportingNodes, evidence.GatheredFor = nil, 0, time.Second
		So(firstWriter(evidence).Phase, ShouldNotEqual, model.PhaseClosing)
	})
}

func TestPromotion(t *testing.T) {
	closed := func() Evidence {
		evidence := openTerm()
		evidence.Observations[0] = newObservation("a", model.RolePrimary, 1, 100, 2*time.Second)
		evidence.Writer.Phase = model.PhaseClosed
		return evidence
	}
	Convey("The term is held to be closed only once every leased node has stopped", t, func() {
		evidence := closed()
		evidence.Writer.Phase, evidence.Settled = model.PhaseClosing, false
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.Settled = true
		So(firstWriter(evidence).Phase, ShouldEqual, model.PhaseClosed)
	})
	Convey("The furthest candidate is chosen, the intent is written first, and one call is made", t, func() {
		effects := Step(closed(), DefaultTiming())
		So(len(effects), ShouldEqual, 2)
		So(effects[0].(failover.Record).Writer.Promoting, ShouldEqual, "b")
		So(effects[1].(Promote), ShouldResemble, Promote{Database: "db", Instance: "b", Term: 2})
	})
	Convey("One that is behind what was confirmed, reborn, unheard or no candidate is never chosen", t, func() {
		for _, change := range []func(*Evidence, *Observation){
			func(_ *Evidence, observed *Observation) { observed.Instance.Position.Index = 94 },
			func(_ *Evidence, observed *Observation) { observed.Instance.Incarnation = "new" },
			func(_ *Evidence, observed *Observation) { observed.ContactAge = 2 * time.Second },
			func(evidence *Evidence, observed *Observation) {
				evidence.Writer.Candidates = map[string]string{"c": "c-1"}
				observed.Instance.Position.Index = 500
			},
			func(_ *Evidence, observed *Observation) { observed.Instance.Leaving = true },
		} {
			evidence := closed()
			change(&evidence, &evidence.Observations[1])
			So(firstWriter(evidence).Promoting, ShouldEqual, "c")
		}
		evidence := closed()
		evidence.Observations[1].ContactAge, evidence.Observations[2].ContactAge = 2*time.Second, 2*time.Second
		So(firstWriter(evidence).Reason, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("An intent is settled by looking: opened when seen promoted, called again only for the same one seen a replica, else waited on", t, func() {
		evidence := closed()
		evidence.Writer.Phase, evidence.Writer.Promoting, evidence.WallNanos, evidence.Writer.LastTransitionAt = model.PhasePromoting, "b", int64(10*time.Second), int64(10*time.Second)
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.WallNanos = int64(12 * time.Second)
		effects := Step(evidence, DefaultTiming())
		So(effects[1].(Promote).Instance, ShouldEqual, "b")
		evidence.Observations[1].ContactAge = 3 * time.Second
		evidence.WallNanos = int64(20 * time.Second)
		So(len(Step(evidence, DefaultTiming())), ShouldEqual, 1)
		So(firstWriter(evidence).Reason, ShouldContainSubstring, "no other is promoted")
		evidence.Observations[1] = newObservation("b", model.RolePrimary, 2, 101, 10*time.Millisecond)
		opened := firstWriter(evidence)
		So(opened.Phase, ShouldEqual, model.PhaseOpen)
		So(opened.Term, ShouldEqual, 2)
		So(opened.Candidates, ShouldResemble, opened.RequiredReplicas)
		So(opened.RequiredReplicas, ShouldResemble, map[string]string{"c": "c-1"})
	})
}

func TestPrimaryComesBack(t *testing.T) {
	Convey("With no candidate left, a primary that is back with all that was confirmed has its term opened again, and only then", t, func() {
		evidence := openTerm()
		evidence.Writer.Phase, evidence.Writer.Candidates = model.PhaseClosed, map[string]string{"b": "gone"}
		So(firstWriter(evidence).Phase, ShouldEqual, model.PhaseOpen)
		So(firstWriter(evidence).Term, ShouldEqual, 1)
		for _, change := range []func(*Evidence){
			func(evidence *Evidence) { evidence.Observations[0].Instance.Incarnation = "a-2" },
			func(evidence *Evidence) { evidence.Observations[0].Instance.Position.Index = 94 },
			func(evidence *Evidence) { evidence.Observations[0].Instance.Leaving = true },
			func(evidence *Evidence) { evidence.Writer.Term = 2 },
			func(evidence *Evidence) { evidence.Writer.Candidates = map[string]string{"c": "c-1"} },
		} {
			evidence := openTerm()
			evidence.Writer.Phase, evidence.Writer.Candidates = model.PhaseClosed, map[string]string{"b": "gone"}
			change(&evidence)
			So(firstWriter(evidence).Phase, ShouldNotEqual, model.PhaseOpen)
		}
	})
}

func TestIntendedReplicaLosesItsData(t *testing.T) {
	Convey("An intended replica that comes back without its data is neither called again nor opened; another is chosen, past its term", t, func() {
		for _, role := range []string{model.RoleReplica, model.RolePrimary} {
			evidence := openTerm()
			evidence.Observations[0] = newObservation("a", model.RolePrimary, 1, 100, 2*time.Second)
			evidence.Writer.Phase, evidence.Writer.Promoting, evidence.WallNanos, evidence.Writer.LastTransitionAt = model.PhasePromoting, "b", int64(20*time.Second), int64(10*time.Second)
			evidence.Observations[1] = newObservation("b", role, 2, 1, 10*time.Millisecond)
			evidence.Observations[1].Instance.Incarnation = "b-2"
			given := Step(evidence, DefaultTiming())
			So(len(given), ShouldEqual, 1)
			evidence.Writer = given[0].(failover.Record).Writer
			So(evidence.Writer.Phase, ShouldEqual, model.PhaseClosed)
			So(evidence.Writer.Candidates, ShouldResemble, map[string]string{"c": "c-1"})
			effects := Step(evidence, DefaultTiming())
			So(effects[1].(Promote), ShouldResemble, Promote{Database: "db", Instance: "c", Term: 3})
		}
	})
}

func TestIntentIgnoresStalePosition(t *testing.T) {
	intended := func(positionAge time.Duration) Evidence {
		evidence := openTerm()
		evidence.Observations[0] = newObservation("a", model.RolePrimary, 1, 100, 2*time.Second)
		evidence.Writer.Phase, evidence.Writer.Promoting, evidence.WallNanos, evidence.Writer.LastTransitionAt = model.PhasePromoting, "b", int64(10100*time.Millisecond), int64(10*time.Second)
		evidence.Observations[1] = newObservation("b", model.RoleReplica, 1, 90, 10*time.Millisecond)
		evidence.Observations[1].PositionAge = positionAge
		return evidence
	}
	Convey("An intent is not given up for a position that its replica told before it, however lately it was heard", t, func() {
		So(Step(intended(300*time.Millisecond), DefaultTiming()), ShouldBeEmpty)
		after := intended(300 * time.Millisecond)
		after.WallNanos, after.Observations[1].PositionAge = int64(11*time.Second), 3*time.Second
		So(Step(after, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("It is for one told since", t, func() {
		So(firstWriter(intended(50*time.Millisecond)).Phase, ShouldEqual, model.PhaseClosed)
	})
}

func TestReplicaMaintenance(t *testing.T) {
	Convey("A replica that commits wait for too long is struck as candidate first, then from the wait", t, func() {
		evidence := openTerm()
		evidence.Observations[2].CommitWait = time.Second
		struck := firstWriter(evidence)
		So(struck.Candidates, ShouldResemble, map[string]string{"b": "b-1"})
		So(struck.RequiredReplicas, ShouldContainKey, "c")
		evidence.Writer = struck
		struck = firstWriter(evidence)
		So(struck.RequiredReplicas, ShouldResemble, map[string]string{"b": "b-1"})
		evidence = openTerm()
		evidence.Writer, evidence.WallNanos = struck, int64(5*time.Second)
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.WallNanos = int64(7 * time.Second)
		So(firstWriter(evidence).RequiredReplicas, ShouldContainKey, "c")
		evidence.WallNanos = int64(5 * time.Second)
		evidence.Observations[1].Instance.Incarnation = "b-2"
		evidence.Writer = firstWriter(evidence)
		So(firstWriter(evidence).RequiredReplicas, ShouldContainKey, "c")
	})
	Convey("Where no replica keeps up, or the primary is not heard, none is struck for lag", t, func() {
		evidence := openTerm()
		evidence.Observations[1].CommitWait, evidence.Observations[2].CommitWait = time.Second, time.Second
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence = openTerm()
		evidence.Observations[2].CommitWait, evidence.Observations[0].ContactAge = time.Second, 900*time.Millisecond
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("One that is back is waited for at once, and a candidate only when settled and past what was confirmed before", t, func() {
		evidence := openTerm()
		evidence.Writer.RequiredReplicas, evidence.Writer.Candidates = map[string]string{"b": "b-1"}, map[string]string{"b": "b-1"}
		waited := firstWriter(evidence)
		So(waited.RequiredReplicas, ShouldContainKey, "c")
		So(waited.Candidates, ShouldNotContainKey, "c")
		evidence.Writer, evidence.Settled = waited, false
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.Settled, evidence.PrimaryPosition = true, model.Position{Term: 1, Index: 98}
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.PrimaryPosition = model.Position{Term: 1, Index: 97}
		So(firstWriter(evidence).Candidates, ShouldContainKey, "c")
	})
	Convey("The only candidate losing its data blocks nothing while the primary lives: another is brought in", t, func() {
		evidence := openTerm()
		evidence.Writer.RequiredReplicas, evidence.Writer.Candidates = map[string]string{"b": "b-1"}, map[string]string{"b": "b-1"}
		evidence.Observations[1].Instance.Incarnation = "b-2"
		evidence.Observations[1].Instance.Position = model.Position{}
		So(firstWriter(evidence).RequiredReplicas, ShouldContainKey, "c")
	})
}

func TestPrimaryLostRightAfterItsPromotion(t *testing.T) {
	Convey("A term just opened may move on to a replica that has all it began with, and to none that has not", t, func() {
		evidence := openTerm()
		evidence.Writer.Term, evidence.Writer.Phase, evidence.Writer.HighWatermark = 2, model.PhaseClosed, model.Position{Term: 2, Index: 101}
		evidence.Writer.RequiredReplicas = map[string]string{"b": "b-1", "c": "c-1"}
		evidence.Writer.Candidates = evidence.Writer.RequiredReplicas
		evidence.Observations = []Observation{newObservation("b", model.RoleReplica, 1, 300, 0), newObservation("c", model.RoleReplica, 2, 100, 0)}
		So(firstWriter(evidence).Reason, ShouldContainSubstring, "nothing is promoted")
		evidence.Observations[1] = newObservation("c", model.RoleReplica, 2, 101, 0)
		So(firstWriter(evidence).Promoting, ShouldEqual, "c")
	})
}
