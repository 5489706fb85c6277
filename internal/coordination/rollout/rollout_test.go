package rollout

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

func TestAcceptBindings(t *testing.T) {
	Convey("A set in place of another than the newest is not accepted, and the newest sequence is returned", t, func() {
		state := store.New()
		puts, newest := AcceptBindings(state, 0, nil, "x", 1)
		So(puts, ShouldNotBeEmpty)
		So(newest, ShouldEqual, 0)
		state.Apply(store.Version{Epoch: 1, Sequence: 1}, puts)
		none, newest := AcceptBindings(state, 0, nil, "y", 2)
		So(none, ShouldBeEmpty)
		So(newest, ShouldEqual, 1)
	})
}
