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
	at := func(phase string, since int64) syncrepl.Evidence {
		return syncrepl.Evidence{Database: "db", Known: true, Settled: true, GapSequence: 3, Tenure: "c1@1", Writer: model.WriterRole{Database: "db", Term: 3, Primary: "a", Phase: phase, LastTransitionAt: since, SyncReplication: true}}
	}
	shown := func(h *harness, one syncrepl.Evidence) syncrepl.Evidence {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return h.evidence.Augment(one, h.node.Now())
	}
	Convey("What an instance answered counts as seen after the settling only in the episode in which it was asked, and settled", t, func() {
		h := newHarness(t, t.TempDir())
		h.replies["b"] = CommandReply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 9}}
		one := shown(h, at(model.PhaseClosing, 5))
		h.sendCommand(one, statusCommand("b"))
		unsettled := one
		unsettled.Settled = false
		h.sendCommand(unsettled, statusCommand("c"))
		h.finish()
		one = shown(h, at(model.PhaseClosing, 5))
		So(one.Probes["b"].AfterSettled, ShouldBeTrue)
		So(one.Probes["b"].Answered, ShouldBeTrue)
		So(one.Probes["b"].Position, ShouldResemble, model.Position{Term: 3, Index: 9})
		So(one.Probes["b"].GapSequence, ShouldEqual, 3)
		So(one.Probes["c"].AfterSettled, ShouldBeFalse)
		So(shown(h, at(model.PhaseClosing, 6)).Probes["b"].AfterSettled, ShouldBeFalse)
		So(shown(h, at(model.PhaseClosing, 5)).Probes["b"].AfterSettled, ShouldBeFalse)
	})
	Convey("An answer that comes once the episode is over is not of the next; none comes twice at once", t, func() {
		h := newHarness(t, t.TempDir())
		hold := make(chan struct{})
		send := h.adapters.SendCommand
		h.adapters.SendCommand = func(command Command) CommandReply {
			<-hold
			return send(command)
		}
		h.replies["b"] = CommandReply{Role: model.RoleReplica, Term: 3}
		one := shown(h, at(model.PhaseClosing, 5))
		h.sendCommand(one, statusCommand("b"))
		h.sendCommand(one, statusCommand("b"))
		So(shown(h, at(model.PhaseClosing, 6)).Probes, ShouldBeEmpty)
		close(hold)
		h.finish()
		So(len(h.commands), ShouldEqual, 1)
		So(shown(h, at(model.PhaseClosing, 6)).Probes["b"].AfterSettled, ShouldBeFalse)
	})
	Convey("Silence, a busy answer and a name that is not there are told apart", t, func() {
		h := newHarness(t, t.TempDir())
		h.replies = map[string]CommandReply{"s": {Err: errors.New("refused")}, "b": {Busy: true}, "g": {Gone: true}}
		one := shown(h, at(model.PhaseOpen, 5))
		for name := range h.replies {
			h.sendCommand(one, statusCommand(name))
		}
		h.finish()
		seen := shown(h, at(model.PhaseOpen, 5)).Probes
		So(seen["s"].Answered || seen["s"].Busy || seen["s"].Gone, ShouldBeFalse)
		So(seen["b"].Busy, ShouldBeTrue)
		So(seen["g"].Gone, ShouldBeTrue)
	})
	Convey("The outcome of a promote call is kept for its intent only, and one that was not read stays unknown", t, func() {
		h := newHarness(t, t.TempDir())
		intent := at(model.PhasePromoting, 5)
		intent.Writer.Promoting = "b"
		shown(h, intent)
		h.status, h.err = http.StatusConflict, errors.New("cut")
		h.promoteSync(syncrepl.Promote{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 2})
		So(worker.Await(h.promotions, time.Second), ShouldBeTrue)
		h.finish()
		So(shown(h, intent).PromoteCalls[0].Status, ShouldEqual, 0)
		So(shown(h, at(model.PhaseClosing, 9)).PromoteCalls, ShouldBeEmpty)
	})
}

func TestSyncFailoverEndToEnd(t *testing.T) {
	Convey("From the first announcement to a new term: met, left, closed, asked, intended, promoted, open", t, func() {
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
		steps := func(reached func() bool) bool {
			for until := h.node.Now() + 5*time.Second; h.node.Now() < until; {
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
		So(steps(func() bool { return writer().Phase == model.PhaseOpen && writer().Primary == "a" }), ShouldBeTrue)
		So(writer().Term, ShouldEqual, 3)
		leaving := announced("a", model.RolePrimary, 2)
		leaving.Leaving = true
		h.node.Announce(leaving)
		So(steps(func() bool { return writer().Phase == model.PhasePromoting }), ShouldBeTrue)
		So(writer().Promoting, ShouldEqual, "b")
		So(writer().Promoter, ShouldEqual, "c1")
		So(writer().FencingToken, ShouldEqual, 1)
		So(writer().MinPosition, ShouldResemble, model.Position{Term: 3, Index: 50})
		So(steps(func() bool { return len(h.promotions) == 1 }), ShouldBeTrue)
		So(<-h.promotions, ShouldResemble, adapter.Promotion{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 1})
		h.mutex.Lock()
		h.replies["b"] = CommandReply{Role: model.RolePrimary, Term: 4, Position: model.Position{Term: 4, Index: 51}}
		h.mutex.Unlock()
		So(steps(func() bool { return writer().Phase == model.PhaseOpen }), ShouldBeTrue)
		So(writer().Primary, ShouldEqual, "b")
		So(writer().Term, ShouldEqual, 4)
		So(writer().PreviousTerm, ShouldEqual, 3)
	})
}
