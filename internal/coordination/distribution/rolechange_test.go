package distribution

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

func TestNewWriterRoleChange(t *testing.T) {
	Convey("A change contains the record, the role on which it was decided, and the control node that decided", t, func() {
		previous := model.WriterRole{Database: "db", Term: 3, Phase: model.PhaseOpen}
		record := failover.CloseTerm(previous, 7, "primary is silent")
		So(NewWriterRoleChange(previous, true, record, "c2"), ShouldResemble, WriterRoleChange{
			Previous: previous, PreviousExists: true, Next: record.Writer,
			Action: "term closing", Evidence: "primary is silent", RequestedBy: "c2",
		})
		So(NewWriterRoleChange(model.WriterRole{}, false, record, "c2").PreviousExists, ShouldBeFalse)
	})
}
