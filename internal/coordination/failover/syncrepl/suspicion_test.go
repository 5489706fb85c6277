package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestSuspicion(t *testing.T) {
	phaseOf := func(evidence Evidence) string {
		writer, _ := recordedWriter(evidence)
		return writer.Phase
	}
	Convey("While the primary is healthy, there are no effects", t, func() { So(Step(openTerm(), DefaultTiming()), ShouldBeEmpty) })
	Convey("The term of a primary that leaves or has stopped is closed", t, func() {
		for _, change := range []func(*model.Instance){func(i *model.Instance) { i.Leaving = true }, func(i *model.Instance) { i.Stopped = true }} {
			evidence := openTerm()
			change(&evidence.Observations[0].Instance)
			So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
		}
	})
	Convey("It is not closed without another usable instance", t, func() {
		evidence := openTerm()
		evidence.Observations[0].Instance.Leaving = true
		evidence.Observations[1].Instance.Leaving, evidence.Observations[2].ContactAge = true, 4*time.Second
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Reason, ShouldContainSubstring, "no other instance")
	})
	Convey("Refused connections at most nodes close the term; few refusals, a recent answer, new reports or a new term do not", t, func() {
		refusing := func() Evidence {
			evidence := openTerm()
			evidence.Observations[0].RefusedNodes, evidence.Observations[0].AnswerAge = 3, 400*time.Millisecond
			return evidence
		}
		So(phaseOf(refusing()), ShouldEqual, model.PhaseClosing)
		for _, change := range []func(*Evidence){
			func(evidence *Evidence) { evidence.Observations[0].RefusedNodes = 2 },
			func(evidence *Evidence) { evidence.Observations[0].AnswerAge = 200 * time.Millisecond },
			func(evidence *Evidence) { evidence.GatheredFor = 600 * time.Millisecond },
			func(evidence *Evidence) { evidence.Writer.LastTransitionAt = wallTime - int64(500*time.Millisecond) },
		} {
			evidence := refusing()
			change(&evidence)
			So(phaseOf(evidence), ShouldEqual, "")
		}
	})
	Convey("Overdue answers at most nodes close the term, unless any node had an answer in the last 600 ms", t, func() {
		evidence := openTerm()
		evidence.Observations[0].OverdueNodes, evidence.Observations[0].AnswerAge = 3, 620*time.Millisecond
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
		evidence.Observations[0].AnswerAge = 580 * time.Millisecond
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Observations[0].AnswerAge, evidence.Observations[0].OverdueNodes = 620*time.Millisecond, 2
		So(phaseOf(evidence), ShouldEqual, "")
	})
	Convey("A primary without any evidence is probed, and suspected only once the probe fails", t, func() {
		quiet := func() Evidence {
			evidence := openTerm()
			evidence.Observations[0].ReportingNodes, evidence.Observations[0].UnobservedFor, evidence.Observations[0].ContactAge, evidence.Observations[0].AnswerAge = 0, 3*time.Second, 3*time.Second, time.Hour
			return evidence
		}
		So(effectsOf[QueryStatus](quiet()), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		So(phaseOf(quiet()), ShouldEqual, "")
		evidence := quiet()
		evidence.Probes["a"] = failedProbe()
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
		evidence.Probes["a"] = ProbeResult{Busy: true, Age: 50 * time.Millisecond}
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Probes["a"] = answeredProbe(model.RolePrimary, 3, 99)
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		for _, change := range []func(*Observation){
			func(s *Observation) { s.ContactAge = 2 * time.Second }, func(s *Observation) { s.ReportingNodes = 1 }, func(s *Observation) { s.UnobservedFor = time.Second },
		} {
			evidence = quiet()
			evidence.Probes["a"] = failedProbe()
			change(&evidence.Observations[0])
			So(phaseOf(evidence), ShouldEqual, "")
		}
	})
	Convey("The term of a primary that answers as replica is closed, even without another primary", t, func() {
		evidence := openTerm()
		evidence.Observations[0].Instance.Role = model.RoleReplica
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Probes["a"] = answeredProbe(model.RoleReplica, 3, 99)
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
	})
	Convey("The term is closed once another instance confirms that it is primary of a later term", t, func() {
		evidence := openTerm()
		evidence.Observations[0].Instance.Role, evidence.Observations[1].Instance.Role = model.RoleReplica, model.RolePrimary
		So(effectsOf[QueryStatus](evidence), ShouldContain, QueryStatus{Instance: "b", Address: "b:1"})
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Probes["b"] = answeredProbe(model.RolePrimary, 4, 99)
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
	})
}
