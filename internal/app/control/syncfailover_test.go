package control

import (
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

func TestInstanceEvidence(t *testing.T) {
	// The time of the last transition identifies an episode, which is a stay of the
	// writer role in one phase.
	evidenceOf := func(phase string, lastTransitionAt int64) syncrepl.Evidence {
		return syncrepl.Evidence{
			Database: "db", Known: true, Settled: true, GapSequence: 3, Tenure: "c1@1",
			Writer: model.WriterRole{Database: "db", Term: 3, Primary: "a", Phase: phase, LastTransitionAt: lastTransitionAt, SyncReplication: true},
		}
	}
	augment := func(h *harness, evidence syncrepl.Evidence) syncrepl.Evidence {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return h.observer.Augment(evidence, h.node.Now())
	}
	Convey("A status counts as read after the writer role settled only in the episode in which it was queried, and only if the role was settled when the query was sent", t, func() {
		h := newHarness(t, t.TempDir())
		h.replies["b"] = CommandReply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 9}}
		evidence := augment(h, evidenceOf(model.PhaseClosing, 5))
		h.sendCommand(evidence, statusCommand("b"))
		unsettled := evidence
		unsettled.Settled = false
		h.sendCommand(unsettled, statusCommand("c"))
		h.finish()
		evidence = augment(h, evidenceOf(model.PhaseClosing, 5))
		So(evidence.Probes["b"].AfterSettled, ShouldBeTrue)
		So(evidence.Probes["b"].Answered, ShouldBeTrue)
		So(evidence.Probes["b"].Position, ShouldResemble, model.Position{Term: 3, Index: 9})
		So(evidence.Probes["b"].GapSequence, ShouldEqual, 3)
		So(evidence.Probes["c"].AfterSettled, ShouldBeFalse)
		So(augment(h, evidenceOf(model.PhaseClosing, 6)).Probes["b"].AfterSettled, ShouldBeFalse)
		So(augment(h, evidenceOf(model.PhaseClosing, 5)).Probes["b"].AfterSettled, ShouldBeFalse)
	})
	Convey("A reply that arrives after its episode has ended does not count in the next episode; an instance gets only one command at a time", t, func() {
		h := newHarness(t, t.TempDir())
		release := make(chan struct{})
		send := h.adapters.SendCommand
		h.adapters.SendCommand = func(command Command) CommandReply {
			<-release
			return send(command)
		}
		h.replies["b"] = CommandReply{Role: model.RoleReplica, Term: 3}
		evidence := augment(h, evidenceOf(model.PhaseClosing, 5))
		h.sendCommand(evidence, statusCommand("b"))
		h.sendCommand(evidence, statusCommand("b"))
		So(augment(h, evidenceOf(model.PhaseClosing, 6)).Probes, ShouldBeEmpty)
		close(release)
		h.finish()
		So(len(h.commands), ShouldEqual, 1)
		So(augment(h, evidenceOf(model.PhaseClosing, 6)).Probes["b"].AfterSettled, ShouldBeFalse)
	})
	Convey("A missing reply, a busy instance and an instance that is gone have different probe results", t, func() {
		h := newHarness(t, t.TempDir())
		h.replies = map[string]CommandReply{"s": {Err: errors.New("refused")}, "b": {Busy: true}, "g": {Gone: true}}
		evidence := augment(h, evidenceOf(model.PhaseOpen, 5))
		for name := range h.replies {
			h.sendCommand(evidence, statusCommand(name))
		}
		h.finish()
		probes := augment(h, evidenceOf(model.PhaseOpen, 5)).Probes
		So(probes["s"].Answered || probes["s"].Busy || probes["s"].Gone, ShouldBeFalse)
		So(probes["b"].Busy, ShouldBeTrue)
		So(probes["g"].Gone, ShouldBeTrue)
	})
	Convey("The status of a promote call is kept only during that promotion, and is 0 if the response was not read", t, func() {
		h := newHarness(t, t.TempDir())
		promoting := evidenceOf(model.PhasePromoting, 5)
		promoting.Writer.Promoting = "b"
		augment(h, promoting)
		h.status, h.err = http.StatusConflict, errors.New("cut")
		h.promoteSync(syncrepl.Promote{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 2})
		So(worker.Await(h.promotions, time.Second), ShouldBeTrue)
		h.finish()
		So(augment(h, promoting).PromoteCalls[0].Status, ShouldEqual, 0)
		So(augment(h, evidenceOf(model.PhaseClosing, 9)).PromoteCalls, ShouldBeEmpty)
	})
}

func TestSyncFailoverEndToEnd(t *testing.T) {
	Convey("If the primary announces that it is leaving, its term is closed, a replica is promoted, and the writer role opens in a new term", t, func() {
		h := newHarness(t, t.TempDir())
		h.runPending()
		h.replies["a"] = CommandReply{Role: model.RolePrimary, Term: 3, Position: model.Position{Term: 3, Index: 50}}
		h.replies["b"] = CommandReply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 50}}
		h.replies["c"] = CommandReply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 48}}
		for name, role := range map[string]string{"a": model.RolePrimary, "b": model.RoleReplica, "c": model.RoleReplica} {
			status, _ := h.node.Announce(announced(name, role, 1))
			So(status, ShouldEqual, http.StatusOK)
		}
		writer := func() model.WriterRole {
			h.mutex.Lock()
			defer h.mutex.Unlock()
			return h.distributor.Snapshot().Writers["db"]
		}
		stepUntil := func(reached func() bool) bool {
			for deadline := h.node.Now() + 5*time.Second; h.node.Now() < deadline; {
				done := make(chan struct{})
				h.node.Workers.Go(func() { h.runExclusive("db", h.decideSyncFailover); close(done) })
				for !worker.Await(done, 5*time.Millisecond) {
					h.runPending()
				}
				h.runPending()
				if reached() {
					return true
				}
			}
			return false
		}
		So(stepUntil(func() bool { return writer().Phase == model.PhaseOpen && writer().Primary == "a" }), ShouldBeTrue)
		So(writer().Term, ShouldEqual, 3)
		leaving := announced("a", model.RolePrimary, 2)
		leaving.Leaving = true
		h.node.Announce(leaving)
		So(stepUntil(func() bool { return writer().Phase == model.PhasePromoting }), ShouldBeTrue)
		So(writer().Promoting, ShouldEqual, "b")
		So(writer().Promoter, ShouldEqual, "c1")
		So(writer().FencingToken, ShouldEqual, 1)
		So(writer().MinPosition, ShouldResemble, model.Position{Term: 3, Index: 50})
		So(stepUntil(func() bool { return len(h.promotions) == 1 }), ShouldBeTrue)
		So(<-h.promotions, ShouldResemble, adapter.Promotion{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 1})
		h.mutex.Lock()
		h.replies["b"] = CommandReply{Role: model.RolePrimary, Term: 4, Position: model.Position{Term: 4, Index: 51}}
		h.mutex.Unlock()
		So(stepUntil(func() bool { return writer().Phase == model.PhaseOpen }), ShouldBeTrue)
		So(writer().Primary, ShouldEqual, "b")
		So(writer().Term, ShouldEqual, 4)
		So(writer().PreviousTerm, ShouldEqual, 3)
	})
}
