package syncrepl

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestDiscovery(t *testing.T) {
	fresh := func() Evidence {
		evidence := openTerm()
		evidence.Known = false
		evidence.Writer = model.WriterRole{}
		return evidence
	}
	Convey("The only primary of a new database is probed, and the role is recorded with its term", t, func() {
		evidence := fresh()
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "a", Address: "a:1"}})
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence.Probes["a"] = answeredProbe(model.RolePrimary, 3, 90)
		writer, _ := recordedWriter(evidence)
		So(writer.Term, ShouldEqual, 3)
		So(writer.Primary, ShouldEqual, "a")
		So(writer.SyncReplication, ShouldBeTrue)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.RequiredReplicas, ShouldResemble, map[string]string{"b": "", "c": ""})
	})
	Convey("Of two primaries, both are probed, and the one with the higher term leads", t, func() {
		evidence := fresh()
		evidence.Observations[1].Instance.Role = model.RolePrimary
		So(len(effectsOf[QueryStatus](evidence)), ShouldEqual, 2)
		evidence.Probes["a"] = answeredProbe(model.RolePrimary, 3, 90)
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence.Probes["b"] = answeredProbe(model.RolePrimary, 4, 90)
		writer, _ := recordedWriter(evidence)
		So(writer.Primary, ShouldEqual, "b")
		So(writer.Term, ShouldEqual, 4)
	})
}
