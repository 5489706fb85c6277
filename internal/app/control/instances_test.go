package control

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/node"
	"tansyseam/internal/state/model"
)

func TestAnnouncementsAtControl(t *testing.T) {
	Convey("The control primary accepts the announcement of a synchronously replicated instance; a stale announcement changes nothing; a node that cannot reach a primary rejects it", t, func() {
		h := newHarness(t, t.TempDir())
		status, _ := h.node.Announce(announced("i-1", model.RoleReplica, 4))
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(h.node.Instances(time.Minute), ShouldBeEmpty)
		h.runPending()
		status, answer := h.node.Announce(announced("i-1", model.RoleReplica, 4))
		So(status, ShouldEqual, http.StatusOK)
		So(*answer.(node.AnnounceResponse).HTTPAddress, ShouldEqual, "127.0.0.1:2")
		SoMsg("a synchronously replicated instance does not get the addresses of all nodes", answer.(node.AnnounceResponse).Nodes, ShouldBeEmpty)
		late := announced("i-1", model.RolePrimary, 4)
		status, _ = h.node.Announce(late)
		So(status, ShouldEqual, http.StatusOK)
		So(h.node.Instances(time.Minute)[0].Instance.Role, ShouldEqual, model.RoleReplica)
		late.AnnouncementNumber = 5
		h.node.Announce(late)
		So(h.node.Instances(time.Minute)[0].Instance.Role, ShouldEqual, model.RolePrimary)
	})
}
