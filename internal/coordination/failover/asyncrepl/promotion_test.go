package asyncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

func TestPromotion(t *testing.T) {
	Convey("A closing term is closed only once every node with a lease has stopped writing", t, func() {
		evidence := closedTerm()
		evidence.Writer.Phase = model.PhaseClosing
		evidence.Settled = false
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.Settled = true
		So(firstWriter(evidence).Phase, ShouldEqual, model.PhaseClosed)
	})
	Convey("The most advanced candidate is chosen, the choice is recorded first, and one call is made", t, func() {
		effects := Step(closedTerm(), DefaultTiming())
		So(len(effects), ShouldEqual, 2)
		So(effects[0].(failover.Record).Writer.Promoting, ShouldEqual, "b")
		So(effects[1].(Promote), ShouldResemble, Promote{Database: "db", Instance: "b", Term: 2})
	})
	Convey("A replica that is behind the confirmed commits, was replaced, is silent, is leaving or is not a candidate is never chosen", t, func() {
		for _, test := range []struct {
			name   string
			change func(*Evidence, *Observation)
		}{
			{"behind", func(_ *Evidence, observed *Observation) { observed.Instance.Position.Index = 94 }},
			{"replaced", func(_ *Evidence, observed *Observation) { observed.Instance.Incarnation = "new" }},
			{"silent", func(_ *Evidence, observed *Observation) { observed.ContactAge = 2 * time.Second }},
			{"not a candidate", func(evidence *Evidence, observed *Observation) {
				evidence.Writer.Candidates = map[string]string{"c": "c-1"}
				observed.Instance.Position.Index = 500
			}},
			{"leaving", func(_ *Evidence, observed *Observation) { observed.Instance.Leaving = true }},
		} {
			evidence := closedTerm()
			test.change(&evidence, &evidence.Observations[1])
			SoMsg(test.name, firstWriter(evidence).Promoting, ShouldEqual, "c")
		}
		evidence := closedTerm()
		evidence.Observations[1].ContactAge = 2 * time.Second
		evidence.Observations[2].ContactAge = 2 * time.Second
		So(firstWriter(evidence).Reason, ShouldContainSubstring, "nothing is promoted")
	})
	Convey("While the outcome of a promotion is unknown, only the same instance is called again; once it announces itself primary, the new term opens", t, func() {
		evidence := promotingTerm(0)
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.setSinceTransition(2 * time.Second)
		effects := Step(evidence, DefaultTiming())
		So(effects[1].(Promote).Instance, ShouldEqual, "b")
		evidence.Observations[1].ContactAge = 3 * time.Second
		evidence.setSinceTransition(10 * time.Second)
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
	Convey("A closed term is reopened under its primary only if no candidate can be promoted and the primary has returned with all confirmed commits", t, func() {
		returned := func() Evidence {
			evidence := openTerm()
			evidence.Writer.Phase = model.PhaseClosed
			evidence.Writer.Candidates = map[string]string{"b": "gone"}
			return evidence
		}
		So(firstWriter(returned()).Phase, ShouldEqual, model.PhaseOpen)
		So(firstWriter(returned()).Term, ShouldEqual, 1)
		for _, test := range []struct {
			name   string
			change func(*Evidence)
		}{
			{"lost its data", func(evidence *Evidence) { evidence.Observations[0].Instance.Incarnation = "a-2" }},
			{"behind", func(evidence *Evidence) { evidence.Observations[0].Instance.Position.Index = 94 }},
			{"leaving", func(evidence *Evidence) { evidence.Observations[0].Instance.Leaving = true }},
			{"primary of an earlier term", func(evidence *Evidence) { evidence.Writer.Term = 2 }},
			{"a candidate is promotable", func(evidence *Evidence) { evidence.Writer.Candidates = map[string]string{"c": "c-1"} }},
		} {
			evidence := returned()
			test.change(&evidence)
			SoMsg(test.name, firstWriter(evidence).Phase, ShouldNotEqual, model.PhaseOpen)
		}
	})
}

func TestChosenReplicaLosesItsData(t *testing.T) {
	Convey("If the chosen replica returns without its data, it is not called again: another replica is chosen, and the term of the call is skipped", t, func() {
		for _, role := range []string{model.RoleReplica, model.RolePrimary} {
			evidence := promotingTerm(10 * time.Second)
			evidence.Observations[1] = newObservation("b", role, 2, 1, 10*time.Millisecond)
			evidence.Observations[1].Instance.Incarnation = "b-2"
			effects := Step(evidence, DefaultTiming())
			SoMsg(role, len(effects), ShouldEqual, 1)
			evidence.Writer = effects[0].(failover.Record).Writer
			SoMsg(role, evidence.Writer.Phase, ShouldEqual, model.PhaseClosed)
			SoMsg(role, evidence.Writer.Candidates, ShouldResemble, map[string]string{"c": "c-1"})
			effects = Step(evidence, DefaultTiming())
			SoMsg(role, effects[1].(Promote), ShouldResemble, Promote{Database: "db", Instance: "c", Term: 3})
		}
	})
}

func TestIntentIgnoresStalePosition(t *testing.T) {
	intended := func(positionAge time.Duration) Evidence {
		evidence := promotingTerm(100 * time.Millisecond)
		evidence.Observations[1] = newObservation("b", model.RoleReplica, 1, 90, 10*time.Millisecond)
		evidence.Observations[1].PositionAge = positionAge
		return evidence
	}
	Convey("A position from before the promote call does not abandon the promotion, even with recent contact", t, func() {
		So(Step(intended(300*time.Millisecond), DefaultTiming()), ShouldBeEmpty)
		stalePosition := intended(300 * time.Millisecond)
		stalePosition.setSinceTransition(time.Second)
		stalePosition.Observations[1].PositionAge = 3 * time.Second
		So(Step(stalePosition, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("A position below the confirmed commits from after the promote call abandons the promotion", t, func() {
		So(firstWriter(intended(50*time.Millisecond)).Phase, ShouldEqual, model.PhaseClosed)
	})
}

func TestPrimaryLostRightAfterItsPromotion(t *testing.T) {
	Convey("If the new primary is lost, only a replica that has reached the start of its term may be promoted", t, func() {
		evidence := openTerm()
		evidence.Writer.Term = 2
		evidence.Writer.Phase = model.PhaseClosed
		evidence.Writer.HighWatermark = model.Position{Term: 2, Index: 101}
		evidence.Observations = []Observation{
			newObservation("b", model.RoleReplica, 1, 300, 0),
			newObservation("c", model.RoleReplica, 2, 100, 0),
		}
		So(firstWriter(evidence).Reason, ShouldContainSubstring, "nothing is promoted")
		evidence.Observations[1] = newObservation("c", model.RoleReplica, 2, 101, 0)
		So(firstWriter(evidence).Promoting, ShouldEqual, "c")
	})
}
