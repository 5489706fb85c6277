package distribution

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestWriterRolePuts(t *testing.T) {
	Convey("A change that was decided on an earlier writer role is not written", t, func() {
		state := store.New()
		change := WriterRoleChange{Next: model.WriterRole{Database: "db", Term: 1, Phase: model.PhaseOpen}}
		state.Apply(store.Version{Epoch: 1, Sequence: 2}, WriterRolePuts(state, change, 3))
		So(state.Records, ShouldContainKey, model.PrefixWriterRole+"db")
		So(WriterRolePuts(state, change, 4), ShouldBeEmpty)
	})
}
