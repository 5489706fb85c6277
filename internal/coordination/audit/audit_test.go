package audit

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestLog(t *testing.T) {
	Convey("Entries are numbered consecutively, and the oldest entries beyond the limit are deleted", t, func() {
		state := store.New()
		for sequence := uint64(1); sequence <= MaxEntries+5; sequence++ {
			puts := Puts(state, model.AuditEntry{Subject: "x"})
			state.Apply(store.Version{Epoch: 1, Sequence: sequence}, puts)
		}
		keys := state.Keys(model.PrefixAuditEntry)
		So(len(keys), ShouldEqual, MaxEntries+1)
		newest, found := store.Get(state, keys[len(keys)-1], model.AuditEntryFrom)
		So(found, ShouldBeTrue)
		So(newest.Sequence, ShouldEqual, MaxEntries+5)
		oldest, _ := store.Get(state, keys[0], model.AuditEntryFrom)
		So(oldest.Sequence, ShouldEqual, 5)
	})
}
