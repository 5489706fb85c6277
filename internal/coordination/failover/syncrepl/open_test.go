package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestOpenTerm(t *testing.T) {
	Convey("An instance that confirms that it is primary of an earlier term is ordered to step down, no more often than the interval; a recent probe takes precedence over an announcement", t, func() {
		evidence := openTerm()
		evidence.Observations[1].Instance.Role = model.RolePrimary
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "b", Address: "b:1"}})
		probe := answeredProbe(model.RolePrimary, 2, 80)
		probe.Age = 600 * time.Millisecond
		evidence.Probes["b"] = probe
		So(effectsOf[StepDown](evidence), ShouldResemble, []StepDown{{Instance: "b", Address: "b:1", Term: 3}})
		probe.Age = 100 * time.Millisecond
		evidence.Probes["b"] = probe
		So(effectsOf[StepDown](evidence), ShouldBeEmpty)
		evidence.Probes["b"] = answeredProbe(model.RoleReplica, 3, 80)
		So(effectsOf[StepDown](evidence), ShouldBeEmpty)
		evidence.Probes = map[string]ProbeResult{}
		evidence.Observations[1].ContactAge = 4 * time.Second
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("After a reporting gap, the primary is probed; its position covers the gap only if it was probed after the gap and in the same tenure", t, func() {
		evidence := openTerm()
		evidence.GapSequence = 2
		evidence.Probes["a"] = answeredProbe(model.RolePrimary, 3, 99)
		So(effectsOf[ReportBound](evidence), ShouldBeEmpty)
		agedProbe := evidence.Probes["a"]
		agedProbe.Age = 2 * time.Second
		evidence.Probes["a"] = agedProbe
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		probe := answeredProbe(model.RolePrimary, 3, 99)
		probe.GapSequence = 2
		evidence.Probes["a"] = probe
		So(effectsOf[ReportBound](evidence), ShouldResemble, []ReportBound{{Database: "db", Tenure: "c1@1", GapSequence: 2, Position: positionAt(3, 99)}})
		probe.Tenure = "c2@1"
		evidence.Probes["a"] = probe
		So(effectsOf[ReportBound](evidence), ShouldBeEmpty)
	})
	Convey("New replicas are recorded; a replica without contact is dropped after the retention, but only while the bound is complete", t, func() {
		evidence := openTerm()
		evidence.GatheredFor = time.Hour
		evidence.Observations = append(evidence.Observations, newObservation("d", model.RoleReplica))
		writer, _ := recordedWriter(evidence)
		So(writer.RequiredReplicas, ShouldContainKey, "d")
		evidence = openTerm()
		evidence.GatheredFor = time.Hour
		evidence.Observations[2].ContactAge = 30 * time.Second
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence.Observations[2].ContactAge = 2 * time.Minute
		writer, _ = recordedWriter(evidence)
		So(writer.RequiredReplicas, ShouldResemble, map[string]string{"b": ""})
		evidence.GapSequence = 2
		_, recorded = recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
	})
}
