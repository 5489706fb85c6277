package callresult

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestResults(t *testing.T) {
	Convey("The result of a call is found by its id", t, func() {
		state := store.New()
		puts := Record(state, "call-1", Result{Status: 200, Body: []byte("one")}, []store.Put{{Key: "x"}})
		state.Apply(store.Version{Epoch: 1, Sequence: 1}, puts)
		result, found := Find(state, "call-1")
		So(found, ShouldBeTrue)
		So(string(result.Body), ShouldEqual, "one")
		So(result.Status, ShouldEqual, 200)
		_, found = Find(state, "call-2")
		So(found, ShouldBeFalse)
	})
	Convey("Results beyond the limit are deleted, the oldest first", t, func() {
		state := store.New()
		for number := range MaxResults + 3 {
			puts := Record(state, fmt.Sprint("call-", number), Result{}, []store.Put{{Key: "x"}})
			state.Apply(store.Version{Epoch: 1, Sequence: uint64(number + 1)}, puts)
		}
		So(len(state.Keys(model.PrefixCallResult)), ShouldBeLessThanOrEqualTo, MaxResults+1)
		_, found := Find(state, "call-0")
		So(found, ShouldBeFalse)
	})
}
