package asyncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

func TestPromotion(t *testing.T) {
	closed := func() Evidence {
		evidence := openTerm()
		evidence.Observations[0] = newObservation("a", model.RolePrimary, 1, 100, 2*time.Second)
		evidence.Writer.Phase = model.PhaseClosed
		return evidence
	}
	Convey("The term is closed only once every node with a lease has stopped writing", t, func() {
		evidence := closed()
		evidence.Writer.Phase, evidence.Settled = model.PhaseClosing, false
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.Settled = true
		So(firstWriter(evidence).Phase, ShouldEqual, model.PhaseClosed)
	})
	Convey("The most advanced candidate is chosen, the choice is recorded first, and one call is made", t, func() {
		effects := Step(closed(), DefaultTiming())
		So(len(effects), ShouldEqual, 2)
		So(effects[0].(failover.Record).Writer.Promoting, ShouldEqual, "b")
		So(effects[1].(Promote), ShouldResemble, Promote{Database: "db", Instance: "b", Term: 2})
	})
	Convey("A replica that is behind the confirmed commits, was replaced, is silent, leaves or is no candidate is never chosen", t, func() {
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
	Convey("The outcome of a promotion is observed: a new term opens once the instance is primary, and only the same instance is called again", t, func() {
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
	Convey("Without candidates, the term is reopened under a primary that returned with all confirmed commits, and only then", t, func() {
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

func TestChosenReplicaLosesItsData(t *testing.T) {
	Convey("A chosen replica that comes back without its data is not called again; another is chosen, and the term is skipped", t, func() {
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
	Convey("A promotion is not abandoned for a position from before it, even with recent contact", t, func() {
		So(Step(intended(300*time.Millisecond), DefaultTiming()), ShouldBeEmpty)
		after := intended(300 * time.Millisecond)
		after.WallNanos, after.Observations[1].PositionAge = int64(11*time.Second), 3*time.Second
		So(Step(after, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("It is abandoned for a later position", t, func() {
		So(firstWriter(intended(50*time.Millisecond)).Phase, ShouldEqual, model.PhaseClosed)
	})
}

func TestPrimaryLostRightAfterItsPromotion(t *testing.T) {
	Convey("After a promotion, only a replica that holds the start of the new term may be promoted next", t, func() {
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
