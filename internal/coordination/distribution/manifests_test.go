package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestManifests(t *testing.T) {
	put := func(h *harness, version uint64, text string) bool {
		set := model.BindingSet{
			Bindings:  []model.Binding{{Name: "b", Database: "db"}},
			Databases: []model.Database{{Name: "db", MaxConnections: 80}},
		}
		manifest := rollout.Manifest{
			Version:    version,
			Set:        set,
			Compressed: []byte(text),
			Digest:     rollout.DigestOf(set, []byte(text)),
			Source:     "test",
		}
		puts, _ := rollout.AcceptManifest(h.stored, manifest, h.wallNanos)
		return h.put(puts...) > 0
	}
	// followSets simulates a node that applies and activates each set for 8 s.
	followSets := func(h *harness) {
		for range 8 {
			h.HandleRequest(UpdateRequest{
				Node:           "d1",
				Kind:           model.KindProxy,
				Version:        h.stored.Version,
				ActiveSequence: h.Snapshot().ActiveSet(h.wallNanos).Sequence,
			}, 1, h.now)
			h.runWrites()
			h.advance(time.Second)
			h.flush()
		}
	}
	Convey("The manifest with the highest version is kept with its text; a manifest with the same or a lower version changes nothing", t, func() {
		h := newHarness(1, store.New())
		So(put(h, 7, "seven"), ShouldBeTrue)
		So(put(h, 7, "other"), ShouldBeFalse)
		So(put(h, 6, "six"), ShouldBeFalse)
		So(put(h, 12, "twelve"), ShouldBeTrue)
		set, text, found := rollout.NewestManifest(h.stored)
		So(found, ShouldBeTrue)
		So(set.Version, ShouldEqual, 12)
		So(set.Sequence, ShouldEqual, 2)
		So(string(text), ShouldEqual, "twelve")
		So(h.Snapshot().NewestSet().Databases[0].MaxConnections, ShouldEqual, 80)
	})
	Convey("The text of a manifest is deleted with its set, but the newest text is always kept", t, func() {
		h := newHarness(1, store.New())
		put(h, 1, "one")
		put(h, 2, "two")
		followSets(h)
		So(len(h.Snapshot().Sets), ShouldEqual, 1)
		So(h.stored.Keys(model.PrefixManifest), ShouldResemble, []string{rollout.ManifestKey(2)})
		_, text, _ := rollout.NewestManifest(h.stored)
		So(string(text), ShouldEqual, "two")
	})
	Convey("A set that does not come from a manifest keeps the version of the newest manifest", t, func() {
		h := newHarness(1, store.New())
		put(h, 9, "nine")
		h.putSet(1)
		So(h.Snapshot().NewestSet().Version, ShouldEqual, 9)
		followSets(h)
		So(len(h.Snapshot().Sets), ShouldEqual, 1)
		set, text, _ := rollout.NewestManifest(h.stored)
		So(set.Version, ShouldEqual, 9)
		So(string(text), ShouldEqual, "nine")
		So(put(h, 9, "again"), ShouldBeFalse)
	})
}
