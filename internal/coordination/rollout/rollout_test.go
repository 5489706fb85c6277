package rollout

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/schedule"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestAcceptBindings(t *testing.T) {
	Convey("A set is rejected with an error that contains the newest sequence if the caller expected another sequence", t, func() {
		state := store.New()
		puts, err := AcceptBindings(state, 0, nil, "x", 1)
		So(puts, ShouldNotBeEmpty)
		So(err, ShouldBeNil)
		state.Apply(store.Version{Epoch: 1, Sequence: 1}, puts)
		none, err := AcceptBindings(state, 0, nil, "y", 2)
		So(none, ShouldBeEmpty)
		So(err, ShouldResemble, &SequenceError{Expected: 0, Newest: 1})
	})
}

func TestSchedule(t *testing.T) {
	Convey("A change scheduled for an earlier time than that of a set being distributed is rejected with an error that contains that set", t, func() {
		state := store.New()
		pending := model.BindingSet{Sequence: 1, NotBefore: 100}
		state.Apply(store.Version{Epoch: 1, Sequence: 1}, []store.Put{setPut(pending)})
		puts, err := Schedule(state, "early", 99, nil, 1)
		So(puts, ShouldBeEmpty)
		So(err, ShouldResemble, &OrderError{Set: pending})
		puts, err = Schedule(state, "late", 100, nil, 1)
		So(puts, ShouldNotBeEmpty)
		So(err, ShouldBeNil)
	})
	Convey("A scheduled change is accepted one lead time before it takes effect", t, func() {
		state := store.New()
		effectiveAt := int64(time.Hour)
		puts, _ := Schedule(state, "a", effectiveAt, nil, 1)
		state.Apply(store.Version{Epoch: 1, Sequence: 1}, puts)
		due := effectiveAt - int64(schedule.LeadTime)
		So(AcceptScheduled(state, due-1), ShouldBeEmpty)
		state.Apply(store.Version{Epoch: 1, Sequence: 2}, AcceptScheduled(state, due))
		So(model.ReadSnapshot(state).NewestSet().NotBefore, ShouldEqual, effectiveAt)
		So(state.Keys(model.PrefixScheduledChange), ShouldBeEmpty)
	})
}
