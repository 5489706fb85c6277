package model

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

func TestPosition(t *testing.T) {
	Convey("Positions are ordered by term, then by index", t, func() {
		early, late := Position{Term: 1, Index: 9}, Position{Term: 2, Index: 1}
		So(early.IsBefore(late), ShouldBeTrue)
		So(late.IsBefore(early), ShouldBeFalse)
		So(early.IsBefore(early), ShouldBeFalse)
		So(early.Max(late), ShouldResemble, late)
		So(late.Max(early), ShouldResemble, late)
	})
}

func TestActiveSet(t *testing.T) {
	Convey("The active set is the last set whose effective time has been reached, and a pending set is never active", t, func() {
		snapshot := Snapshot{Sets: []BindingSet{{Sequence: 1, EffectiveAt: 10}, {Sequence: 2, EffectiveAt: 20}, {Sequence: 3}}}
		So(snapshot.ActiveSet(9).Sequence, ShouldEqual, 0)
		So(snapshot.ActiveSet(19).Sequence, ShouldEqual, 1)
		So(snapshot.ActiveSet(99).Sequence, ShouldEqual, 2)
		So(snapshot.NewestSet().Sequence, ShouldEqual, 3)
		So(snapshot.HasPendingSet(), ShouldBeTrue)
		So(Snapshot{}.HasPendingSet(), ShouldBeFalse)
	})
}

func TestDelta(t *testing.T) {
	write := func(state *store.Table, puts ...store.Put) {
		state.Apply(store.Version{Epoch: 1, Sequence: state.Version.Sequence + 1}, puts)
	}
	set := func(sequence uint64) store.Put {
		return store.Put{Key: BindingSetKey(sequence), Data: store.Encode(BindingSet{Sequence: sequence})}
	}
	role := func(database string, term uint64) store.Put {
		return store.Put{Key: PrefixWriterRole + database, Data: store.Encode(WriterRole{Database: database, Term: term})}
	}
	Convey("An older snapshot with the delta since its version applied equals the newer snapshot", t, func() {
		state := store.New()
		write(state, set(1), set(2), role("a", 1), role("b", 1))
		older := ReadSnapshot(state)
		write(state, store.Put{Key: BindingSetKey(1), Deleted: true}, set(3), role("b", 2))
		newer := ReadSnapshot(state)
		delta := newer.DeltaSince(older.Version, state)
		So(len(delta.Sets), ShouldEqual, 1)
		So(len(delta.Writers), ShouldEqual, 1)
		applied, ok := older.Apply(delta)
		So(ok, ShouldBeTrue)
		So(applied, ShouldResemble, newer)
	})
	Convey("A delta based on another version is rejected and leaves the snapshot unchanged", t, func() {
		snapshot := Snapshot{Version: store.Version{Epoch: 1, Sequence: 1}}
		unchanged, ok := snapshot.Apply(Snapshot{BaseVersion: store.Version{Epoch: 1, Sequence: 2}})
		So(ok, ShouldBeFalse)
		So(unchanged, ShouldResemble, snapshot)
	})
}
