package distribution

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// busyLinks are links with the given number of waiting bytes, by process and in all.
type busyLinks struct {
	byName map[string]int64
	total  int64
}

func (l busyLinks) QueuedBytes() int64              { return l.total }
func (l busyLinks) QueuedBytesTo(name string) int64 { return l.byName[name] }

func TestSnapshotsQueueUpForSlowNodes(t *testing.T) {
	receive := func(h *harness, node, forwardedBy string, number uint64) {
		h.HandleRequest(UpdateRequest{
			Node: node, Kind: model.KindProxy, ForwardedBy: forwardedBy, Incarnation: 1, RequestNumber: number,
		}, number, h.now)
	}
	tokens := func(replies []Reply) []uint64 {
		var tokens []uint64
		for _, reply := range replies {
			tokens = append(tokens, reply.Token)
		}
		return tokens
	}
	newMachine := func() *harness {
		h := newHarness(1, store.New())
		h.putSet(0)
		return h
	}
	Convey("A node gets no further snapshot while an earlier one waits at its connection, and then the newest", t, func() {
		h := newMachine()
		receive(h, "d1", "", 1)
		receive(h, "d2", "", 2)
		busy := busyLinks{byName: map[string]int64{"d1": maxQueuedBytesToNode}, total: maxQueuedBytesToNode}
		So(tokens(h.Flush(true, busy, h.wallNanos, h.now)), ShouldResemble, []uint64{2})
		h.putSet(1)
		h.advance(DefaultPollTimeout)
		So(h.Flush(true, busy, h.wallNanos, h.now), ShouldBeEmpty)
		replies := h.flush()
		So(tokens(replies), ShouldResemble, []uint64{1})
		So(replies[0].Update.Snapshot.NewestSet().Sequence, ShouldEqual, 2)
	})
	Convey("A request that a peer forwarded is held back by the connection to that peer", t, func() {
		h := newMachine()
		receive(h, "d1", "d9", 1)
		So(h.Flush(true, busyLinks{byName: map[string]int64{"d9": maxQueuedBytesToNode}}, h.wallNanos, h.now), ShouldBeEmpty)
		So(h.Flush(true, busyLinks{byName: map[string]int64{"d1": maxQueuedBytesToNode}}, h.wallNanos, h.now), ShouldHaveLength, 1)
	})
	Convey("No snapshot is sent to any node while the bytes that wait in all reach the limit", t, func() {
		h := newMachine()
		receive(h, "d1", "", 1)
		So(h.Flush(true, busyLinks{total: MaxQueuedBytes}, h.wallNanos, h.now), ShouldBeEmpty)
		Convey("The snapshots of one flush count too", func() {
			receive(h, "d2", "", 2)
			So(h.Flush(true, busyLinks{total: MaxQueuedBytes - 1}, h.wallNanos, h.now), ShouldHaveLength, 1)
		})
		Convey("A reply without a snapshot is sent", func() {
			h.HandleRequest(UpdateRequest{Node: "d3", Kind: model.KindProxy, Version: h.stored.Version}, 3, h.now)
			h.advance(DefaultPollTimeout)
			So(tokens(h.Flush(true, busyLinks{total: MaxQueuedBytes}, h.wallNanos, h.now)), ShouldResemble, []uint64{3})
		})
	})
	Convey("A request that its node has replaced by a later one is answered without a snapshot", t, func() {
		h := newMachine()
		receive(h, "d1", "", 1)
		receive(h, "d1", "", 2)
		replies := h.flush()
		So(tokens(replies), ShouldResemble, []uint64{1, 2})
		So(replies[0].Update.Snapshot, ShouldBeNil)
		So(replies[0].Update.LeaseDuration, ShouldEqual, 0)
		So(replies[1].Update.Snapshot, ShouldNotBeNil)
	})
	Convey("The same request on two paths is answered on both", t, func() {
		h := newMachine()
		receive(h, "d1", "", 1)
		receive(h, "d1", "d2", 1)
		for _, reply := range h.flush() {
			So(reply.Update.Snapshot, ShouldNotBeNil)
		}
	})
	Convey("A node that has the sets of an earlier tenure is sent none of their bindings again", t, func() {
		h := newMachine()
		set := h.Snapshot().NewestSet()
		request := UpdateRequest{
			Node: "d1", Kind: model.KindProxy, AcceptsDelta: true, AcceptsSetChanges: true,
			HeldSets: []model.HeldSet{{Sequence: set.Sequence, Digest: set.ContentDigest()}},
		}
		h.HandleRequest(request, 1, h.now)
		snapshot := h.flush()[0].Update.Snapshot
		So(snapshot.Sets, ShouldBeEmpty)
		So(snapshot.Changes, ShouldHaveLength, 1)
		So(snapshot.Changes[0].Changed, ShouldBeEmpty)
		Convey("Other content under the same sequence is not taken for the set", func() {
			request.HeldSets[0].Digest++
			h.HandleRequest(request, 2, h.now)
			So(h.flush()[0].Update.Snapshot.Sets, ShouldResemble, []model.BindingSet{set})
		})
		Convey("A node of an earlier build gets the complete set", func() {
			request.AcceptsSetChanges = false
			h.HandleRequest(request, 3, h.now)
			So(h.flush()[0].Update.Snapshot.Sets, ShouldResemble, []model.BindingSet{set})
		})
	})
}
