package syncrepl

import (
	"fmt"
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
	Convey("While the primary is healthy, a step has no effects", t, func() { So(Step(openTerm(), DefaultTiming()), ShouldBeEmpty) })
	Convey("If the primary is leaving or has stopped, the term is closed", t, func() {
		for _, test := range []struct {
			name   string
			change func(*model.Instance)
		}{
			{"leaving", func(instance *model.Instance) { instance.Leaving = true }},
			{"stopped", func(instance *model.Instance) { instance.Stopped = true }},
		} {
			evidence := openTerm()
			test.change(&evidence.Observations[0].Instance)
			SoMsg(test.name, phaseOf(evidence), ShouldEqual, model.PhaseClosing)
		}
	})
	Convey("Without another usable instance, the term of a leaving primary is not closed", t, func() {
		evidence := openTerm()
		evidence.Observations[0].Instance.Leaving = true
		evidence.Observations[1].Instance.Leaving = true
		evidence.Observations[2].ContactAge = 4 * time.Second
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Reason, ShouldContainSubstring, "no other instance")
	})
	Convey("If most nodes have connections refused, the term is closed, but not with few refusals, a recent answer, a new control primary or a new term", t, func() {
		refusing := func() Evidence {
			evidence := openTerm()
			evidence.Observations[0].RefusedNodes = 3
			evidence.Observations[0].AnswerAge = 400 * time.Millisecond
			return evidence
		}
		So(phaseOf(refusing()), ShouldEqual, model.PhaseClosing)
		for _, test := range []struct {
			name   string
			change func(*Evidence)
		}{
			{"few refusals", func(evidence *Evidence) { evidence.Observations[0].RefusedNodes = 2 }},
			{"recent answer", func(evidence *Evidence) { evidence.Observations[0].AnswerAge = 200 * time.Millisecond }},
			{"new reports", func(evidence *Evidence) { evidence.GatheredFor = 600 * time.Millisecond }},
			{"new term", func(evidence *Evidence) { evidence.Writer.LastTransitionAt = wallTime - int64(500*time.Millisecond) }},
		} {
			evidence := refusing()
			test.change(&evidence)
			SoMsg(test.name, phaseOf(evidence), ShouldEqual, "")
		}
	})
	Convey("If answers are overdue at most nodes, the term is closed, unless any node had an answer in the last 600 ms", t, func() {
		for _, test := range []struct {
			overdueNodes int
			answerAge    time.Duration
			phase        string
		}{
			{3, 620 * time.Millisecond, model.PhaseClosing},
			{3, 580 * time.Millisecond, ""},
			{2, 620 * time.Millisecond, ""},
		} {
			evidence := openTerm()
			evidence.Observations[0].OverdueNodes = test.overdueNodes
			evidence.Observations[0].AnswerAge = test.answerAge
			SoMsg(fmt.Sprint(test.overdueNodes, " ", test.answerAge), phaseOf(evidence), ShouldEqual, test.phase)
		}
	})
	Convey("If no node has evidence of the primary, the primary is probed, and suspected only once the probe fails", t, func() {
		unobserved := func() Evidence {
			evidence := openTerm()
			evidence.Observations[0].ReportingNodes = 0
			evidence.Observations[0].UnobservedFor = 3 * time.Second
			evidence.Observations[0].ContactAge = 3 * time.Second
			evidence.Observations[0].AnswerAge = time.Hour
			return evidence
		}
		So(effectsOf[QueryStatus](unobserved()), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		So(phaseOf(unobserved()), ShouldEqual, "")
		evidence := unobserved()
		evidence.Probes["a"] = failedProbe()
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
		evidence.Probes["a"] = ProbeResult{Busy: true, Age: 50 * time.Millisecond}
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Probes["a"] = answeredProbe(model.RolePrimary, 3, 99)
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		for _, test := range []struct {
			name   string
			change func(*Observation)
		}{
			{"contact", func(observed *Observation) { observed.ContactAge = 2 * time.Second }},
			{"a reporting node", func(observed *Observation) { observed.ReportingNodes = 1 }},
			{"recent evidence", func(observed *Observation) { observed.UnobservedFor = time.Second }},
		} {
			evidence = unobserved()
			evidence.Probes["a"] = failedProbe()
			test.change(&evidence.Observations[0])
			SoMsg(test.name, phaseOf(evidence), ShouldEqual, "")
		}
	})
	Convey("If the primary answers as a replica, the term is closed, even if no other instance is primary", t, func() {
		evidence := openTerm()
		evidence.Observations[0].Instance.Role = model.RoleReplica
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Probes["a"] = answeredProbe(model.RoleReplica, 3, 99)
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
	})
	Convey("If another instance confirms that it is primary of a later term, the term is closed", t, func() {
		evidence := openTerm()
		evidence.Observations[0].Instance.Role = model.RoleReplica
		evidence.Observations[1].Instance.Role = model.RolePrimary
		So(effectsOf[QueryStatus](evidence), ShouldContain, QueryStatus{Instance: "b", Address: "b:1"})
		So(phaseOf(evidence), ShouldEqual, "")
		evidence.Probes["b"] = answeredProbe(model.RolePrimary, 4, 99)
		So(phaseOf(evidence), ShouldEqual, model.PhaseClosing)
	})
}
