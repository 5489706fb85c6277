package distribution

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestDeltas(t *testing.T) {
	Convey("Given a tenure with a hundred databases and a node that has applied the complete snapshot", t, func() {
		h := newHarnessInNewTenure()
		h.put(setPut(1, 1), setPut(2, 2))
		for number := range 100 {
			h.put(writerPut(fmt.Sprintf("db%d", number), 1))
		}
		complete := h.requestSnapshot(store.Version{}, true)
		So(len(complete.Writers), ShouldEqual, 100)
		version := complete.Version
		Convey("after a write a request that accepts deltas gets only what was written; a request that does not, or that has a version of an earlier tenure, gets the complete snapshot", func() {
			h.put(writerPut("db7", 2))
			delta := h.requestSnapshot(version, true)
			So(len(delta.Writers), ShouldEqual, 1)
			So(delta.Sets, ShouldBeEmpty)
			result, applied := complete.Apply(*delta)
			So(applied, ShouldBeTrue)
			So(result.Writers["db7"].Term, ShouldEqual, 2)
			So(len(result.Writers), ShouldEqual, 100)
			So(len(h.requestSnapshot(version, false).Writers), ShouldEqual, 100)
			So(len(h.requestSnapshot(store.Version{Epoch: 1, Sequence: 900}, true).Writers), ShouldEqual, 100)
			_, applied = model.Snapshot{Version: store.Version{Epoch: 3, Sequence: 1}}.Apply(*delta)
			So(applied, ShouldBeFalse)
		})
		Convey("a write of records that are not part of the snapshot causes no update", func() {
			h.put(store.Put{Key: model.PrefixNode + "d9"}, store.Put{Key: model.PrefixAuditEntry + "1"}, store.Put{Key: model.PrefixCallResult + "x"})
			So(h.requestSnapshot(version, true), ShouldBeNil)
		})
		Convey("a deleted set is removed from the node's snapshot by the delta of the next write", func() {
			h.put(store.Put{Key: model.BindingSetKey(1), Deleted: true})
			h.put(setPut(3, 0))
			result, _ := complete.Apply(*h.requestSnapshot(version, true))
			So(result.Sets, ShouldResemble, h.Snapshot().Sets)
		})
		Convey("the next tenure sends its complete snapshot, even if it contains less than the node has applied", func() {
			h.put(writerPut("db7", 2))
			version = h.requestSnapshot(version, true).Version
			fewer := store.New()
			fewer.Apply(store.Version{Epoch: 3, Sequence: 1}, []store.Put{writerPut("db1", 1)})
			h.EpochChanged(consensus.Record{Epoch: 4, Primary: "c2"}, fewer, h.now)
			h.EpochChanged(consensus.Record{Epoch: 5, Primary: "c1"}, fewer, h.now)
			h.stored = fewer
			h.put(store.Put{Key: model.PrefixAuditEntry + "2"})
			update := h.requestSnapshot(version, true)
			So(update, ShouldNotBeNil)
			So(update.BaseVersion, ShouldResemble, store.Version{})
			So(len(update.Writers), ShouldEqual, 1)
		})
	})
	Convey("Writes of open writer roles with synchronous replication that no promotion has moved are sent together after the settle delay; any other writer role and any set is sent immediately", t, func() {
		for _, write := range []struct {
			puts     []store.Put
			mayDelay bool
		}{
			{[]store.Put{syncWriterPut(model.WriterRole{Database: "db1", Term: 1, Phase: model.PhaseOpen})}, true},
			{[]store.Put{syncWriterPut(model.WriterRole{Database: "db1", Term: 1, Phase: model.PhaseClosing})}, false},
			{[]store.Put{syncWriterPut(model.WriterRole{Database: "db1", Term: 2, Phase: model.PhaseOpen, Promoter: "c1"})}, false},
			{[]store.Put{writerPut("db1", 1)}, false},
			{[]store.Put{setPut(1, 0)}, false},
		} {
			h := newHarnessInNewTenure()
			h.put(syncWriterPut(model.WriterRole{Database: "db0", Term: 1, Phase: model.PhaseOpen}))
			h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.Snapshot().Version, AcceptsDelta: true}, 1, h.now)
			replyCount := len(h.flush())
			for range 10 {
				h.put(write.puts...)
				h.advance(5 * time.Millisecond)
				replyCount += len(h.flush())
			}
			So(replyCount == 0, ShouldEqual, write.mayDelay)
			h.advance(settleDelay)
			So(replyCount+len(h.flush()), ShouldEqual, 1)
		}
	})
	Convey("Applying deltas results in the same snapshot as reading the complete state", t, func() {
		for seed := range int64(20) {
			random := rand.New(rand.NewSource(seed))
			h := newHarnessInNewTenure()
			writes := randomWrites{harness: h, random: random, lowest: 1}
			snapshot := model.Snapshot{Writers: map[string]model.WriterRole{}}
			for range 100 {
				writes.next()
				if random.Intn(3) == 0 {
					continue
				}
				if update := h.requestSnapshot(snapshot.Version, true); update != nil {
					applied := false
					snapshot, applied = snapshot.Apply(*update)
					So(applied, ShouldBeTrue)
				}
				So(snapshot.Sets, ShouldResemble, model.ReadSnapshot(h.stored).Sets)
				So(snapshot.Writers, ShouldResemble, model.ReadSnapshot(h.stored).Writers)
			}
		}
	})
	Convey("After a write only the written records are decoded again", t, func() {
		h := newHarness(1, store.New())
		for number := range 50 {
			h.put(writerPut(fmt.Sprintf("db%d", number), 1))
		}
		previous, state := h.Snapshot(), h.stored
		h.put(writerPut("db3", 2))
		snapshot, read := model.RefreshSnapshot(h.stored, previous, state)
		So(read, ShouldEqual, 1)
		So(snapshot, ShouldResemble, model.ReadSnapshot(h.stored))
	})
}

// randomWrites makes random writes of sets and writer roles. The sets with the sequences
// from lowest to sequence are stored.
type randomWrites struct {
	harness  *harness
	random   *rand.Rand
	sequence uint64
	lowest   uint64
}

// next adds, changes or deletes a set, or changes a writer role.
func (w *randomWrites) next() {
	kind := w.random.Intn(5)
	if kind == 0 {
		w.sequence++
		w.harness.put(setPut(w.sequence, 0))
	}
	if kind == 1 && w.sequence > 0 {
		w.harness.put(setPut(w.sequence, int64(w.random.Intn(9)+1)))
	}
	if kind == 2 && w.lowest < w.sequence {
		w.harness.put(store.Put{Key: model.BindingSetKey(w.lowest), Deleted: true}, setPut(w.sequence, 3))
		w.lowest++
	}
	if kind >= 3 {
		w.harness.put(writerPut(fmt.Sprintf("db%d", w.random.Intn(6)), uint64(w.random.Intn(9))))
	}
}
