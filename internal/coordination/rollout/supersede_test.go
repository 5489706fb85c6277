package rollout

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// stateWith returns a control state that holds sets, each with the text of its manifest.
func stateWith(sets ...model.BindingSet) *store.Table {
	state := store.New()
	for _, set := range sets {
		state.Apply(store.Version{Epoch: 1, Sequence: state.Version.Sequence + 1},
			[]store.Put{setPut(set), {Key: ManifestKey(set.Sequence), Data: []byte{byte(set.Sequence)}}})
	}
	return state
}

func sequencesIn(state *store.Table) []uint64 {
	var sequences []uint64
	for _, set := range model.ReadSnapshot(state).Sets {
		sequences = append(sequences, set.Sequence)
	}
	return sequences
}

func TestPendingSetsPileUpWhileNoneIsAcknowledged(t *testing.T) {
	accept := func(state *store.Table, version uint64, wallNanos int64) {
		manifest := Manifest{Version: version, Compressed: []byte("text"), Digest: Digest{byte(version)}}
		puts, err := AcceptManifest(state, manifest, wallNanos)
		So(err, ShouldBeNil)
		state.Apply(store.Version{Epoch: 1, Sequence: state.Version.Sequence + 1}, puts)
	}
	Convey("Of many changes, the active set, the oldest pending set and the newest set stay stored, with their texts", t, func() {
		state := stateWith(model.BindingSet{Sequence: 1, EffectiveAt: 1, Version: 1})
		for version := uint64(2); version <= 300; version++ {
			accept(state, version, int64(version))
		}
		So(sequencesIn(state), ShouldResemble, []uint64{1, 2, 300})
		So(state.Keys(model.PrefixManifest), ShouldResemble, []string{ManifestKey(1), ManifestKey(2), ManifestKey(300)})
		newest := model.ReadSnapshot(state).NewestSet()
		So(newest.Version, ShouldEqual, 300)
		Convey("The deadline of the first change that was replaced holds for the newest set", func() {
			So(newest.AcceptedAt, ShouldEqual, 3)
		})
		Convey("A repeat of a replaced version changes nothing, and other content under it is refused", func() {
			puts, err := AcceptManifest(state, Manifest{Version: 7, Digest: Digest{7}}, 400)
			So(puts, ShouldBeEmpty)
			So(err, ShouldBeNil)
			_, err = AcceptManifest(state, Manifest{Version: 7, Digest: Digest{8}}, 400)
			So(err, ShouldEqual, ErrVersionConflict)
		})
	})
	Convey("A scheduled set that is pending keeps its time beside later changes, and a change keeps its time beside a scheduled one", t, func() {
		state := stateWith(model.BindingSet{Sequence: 1}, model.BindingSet{Sequence: 2, NotBefore: 900}, model.BindingSet{Sequence: 3, Version: 3})
		accept(state, 4, 50)
		So(sequencesIn(state), ShouldResemble, []uint64{1, 2, 4})
	})
	Convey("Of two sets that would take effect at the same time, only the later one is kept, with the earlier deadline", t, func() {
		state := stateWith(model.BindingSet{Sequence: 1, AcceptedAt: 10}, model.BindingSet{Sequence: 2, AcceptedAt: 20})
		state.Apply(store.Version{Epoch: 1, Sequence: 9}, AssignEffectiveTimes(state, state.Version, 500, 400, "tenure"))
		sets := model.ReadSnapshot(state).Sets
		So(sets, ShouldHaveLength, 1)
		So(sets[0].Sequence, ShouldEqual, 2)
		So(sets[0].EffectiveAt, ShouldEqual, 500)
		So(sets[0].AcceptedAt, ShouldEqual, 10)
		So(state.Keys(model.PrefixManifest), ShouldResemble, []string{ManifestKey(2)})
	})
	Convey("A set before a scheduled one is kept at the same effective time, since its deadlines are earlier", t, func() {
		state := stateWith(model.BindingSet{Sequence: 1, AcceptedAt: 10}, model.BindingSet{Sequence: 2, AcceptedAt: 20, NotBefore: 400})
		state.Apply(store.Version{Epoch: 1, Sequence: 9}, AssignEffectiveTimes(state, state.Version, 500, 450, "tenure"))
		So(sequencesIn(state), ShouldResemble, []uint64{1, 2})
	})
	Convey("A set that not every node has acknowledged gets no effective time", t, func() {
		state := stateWith(model.BindingSet{Sequence: 1}, model.BindingSet{Sequence: 2})
		acknowledged := state.Records[model.BindingSetKey(1)].Version
		state.Apply(store.Version{Epoch: 1, Sequence: 9}, AssignEffectiveTimes(state, acknowledged, 500, 400, "tenure"))
		sets := model.ReadSnapshot(state).Sets
		So(sets, ShouldHaveLength, 2)
		So(sets[0].EffectiveAt, ShouldEqual, 500)
		So(sets[1].EffectiveAt, ShouldEqual, 0)
	})
}
