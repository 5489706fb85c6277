package control

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/node"
	"tansyseam/internal/protocol/message"
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

// announce passes an announcement to the control primary, and runs its tasks until it is
// accepted.
func (h *harness) announce(instance model.Instance) {
	for accepted := false; !accepted; {
		h.runPending()
		replied := false
		h.acceptAnnouncement(instance, func(result message.AnnouncementResult) { replied, accepted = true, result.Accepted })
		for !replied {
			h.runPending()
		}
	}
}

func (h *harness) observed(name string) model.Instance {
	for _, observation := range h.observations() {
		if observation.Instance.Name == name {
			return observation.Instance
		}
	}
	return model.Instance{}
}

// Guards against statements that reach an instance after its leave was acknowledged,
// because another control primary receives its older heartbeats late, or did not know it.
func TestDeparturesAtTheNextControlPrimary(t *testing.T) {
	left := model.Instance{Name: "i-1", SyncReplication: true, Stopped: true}
	leaving := announced("i-1", model.RoleReplica, 7)
	leaving.Leaving = true
	// observedAfterRestart returns an instance at a control primary that was restarted after
	// it had accepted the first announcements, and received the late one then.
	observedAfterRestart := func(late model.Instance, accepted ...model.Instance) model.Instance {
		directory := t.TempDir()
		h := newHarness(t, directory)
		for _, announcement := range accepted {
			h.announce(announcement)
		}
		h.finish()
		next := newHarness(t, directory)
		next.announce(late)
		defer next.finish()
		return next.observed("i-1")
	}
	Convey("After a leave, a late announcement at a restarted control primary does not bring the instance back", t, func() {
		late := announced("i-1", model.RoleReplica, 9)
		So(observedAfterRestart(late, announced("i-1", model.RoleReplica, 4), left).Stopped, ShouldBeTrue)
	})
	Convey("After the announcement that an instance is leaving, an older one at a restarted control primary does not make it ready", t, func() {
		So(observedAfterRestart(announced("i-1", model.RoleReplica, 6), leaving).Leaving, ShouldBeTrue)
	})
	Convey("The leave of an instance that the control primary does not know counts for announcements that arrive after it", t, func() {
		h := newHarness(t, t.TempDir())
		h.runPending()
		h.announce(left)
		h.announce(announced("i-1", model.RoleReplica, 9))
		So(h.observed("i-1").Stopped, ShouldBeTrue)
		h.finish()
	})
	Convey("A leave is acknowledged only once the departure is committed", t, func() {
		h := newHarness(t, t.TempDir())
		h.runPending()
		var results []message.AnnouncementResult
		h.acceptAnnouncement(left, func(result message.AnnouncementResult) { results = append(results, result) })
		So(results, ShouldBeEmpty)
		h.runPending()
		So(results, ShouldHaveLength, 1)
		So(results[0].Accepted, ShouldBeTrue)
		h.finish()
	})
	Convey("A control node that is not primary completes a leave by what it knows of the instance", t, func() {
		h := newHarness(t, t.TempDir())
		So(h.describeStopped(left), ShouldResemble, left)
		h.node.RecordAnnouncement(announced("i-1", model.RoleReplica, 4))
		described := announced("i-1", model.RoleReplica, 4)
		described.Leaving, described.Stopped = true, true
		So(h.describeStopped(left), ShouldResemble, described)
	})
}
