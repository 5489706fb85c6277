package syncrepl

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestDiscovery(t *testing.T) {
	unrecorded := func() Evidence {
		evidence := openTerm()
		evidence.Known = false
		evidence.Writer = model.WriterRole{}
		return evidence
	}
	Convey("The only primary of a new database is probed, and the writer role is recorded with the term of its answer", t, func() {
		evidence := unrecorded()
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
	Convey("If two instances claim to be primary, both are probed, and the one with the higher term is recorded", t, func() {
		evidence := unrecorded()
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
