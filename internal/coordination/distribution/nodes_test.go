package distribution

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestRequestsOfIncarnations(t *testing.T) {
	withoutLease := func(number uint64, incarnation int64) UpdateRequest {
		return UpdateRequest{Node: "d1", Kind: model.KindProxy, Incarnation: incarnation, RequestNumber: number, WithoutLease: true}
	}
	Convey("A request without a lease releases the node's lease, unless the request is delayed or of an earlier incarnation", t, func() {
		h := newHarness(3, store.New())
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Incarnation: 7, RequestNumber: 2}, 1, h.now)
		h.runWrites()
		hasLease := func() bool {
			_, found := h.LeasedNodes(h.now)["d1"]
			return found
		}
		grant := func(number uint64, incarnation int64) {
			h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Incarnation: incarnation, RequestNumber: number}, 2, h.now)
			h.advance(DefaultPollTimeout)
			h.flush()
		}
		grant(3, 7)
		So(hasLease(), ShouldBeTrue)
		h.HandleRequest(withoutLease(2, 7), 3, h.now)
		So(hasLease(), ShouldBeTrue)
		h.HandleRequest(withoutLease(4, 7), 4, h.now)
		So(hasLease(), ShouldBeFalse)
		grant(1, 8)
		So(hasLease(), ShouldBeTrue)
		h.HandleRequest(withoutLease(9, 7), 5, h.now)
		So(hasLease(), ShouldBeTrue)
		h.HandleRequest(withoutLease(2, 8), 6, h.now)
		So(hasLease(), ShouldBeFalse)
	})
	Convey("A request without an incarnation cannot release the node's lease", t, func() {
		h := newHarness(3, store.New())
		h.request("d1", store.Version{})
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, WithoutLease: true}, 9, h.now)
		_, found := h.LeasedNodes(h.now)["d1"]
		So(found, ShouldBeTrue)
	})
}
