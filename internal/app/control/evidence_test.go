package control

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
)

func TestEvidenceSizeIndependentOfDatabases(t *testing.T) {
	Convey("Evidence on a database contains no list of databases, and its allocations do not grow with the number of databases", t, func() {
		allocations := func(databases int) float64 {
			h := newHarness(t, t.TempDir())
			h.runPending()
			for number := range databases {
				for _, name := range []string{"a", "b", "c"} {
					instance := announced(fmt.Sprintf("i-%s-%d", name, number), model.RoleReplica, 1)
					instance.Database = fmt.Sprintf("db%d", number)
					h.node.Announce(instance)
				}
			}
			answer := h.onEvidenceRequest(message.EvidenceRequest{Database: "db1"})
			So(len(answer.SyncedEvidence.Observations), ShouldEqual, 3)
			So(answer.Databases, ShouldBeEmpty)
			So(answer.SyncedDatabases, ShouldBeEmpty)
			So(len(h.onEvidenceRequest(message.EvidenceRequest{}).SyncedDatabases), ShouldEqual, databases)
			return testing.AllocsPerRun(20, func() { h.onEvidenceRequest(message.EvidenceRequest{Database: "db1"}) })
		}
		So(allocations(40), ShouldAlmostEqual, allocations(4), 2)
	})
}
