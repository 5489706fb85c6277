package httppool

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQueue(t *testing.T) {
	Convey("The front is the first request that is still queued; a request that is pushed to the front comes first", t, func() {
		var queue requestQueue
		requests := make([]*Request, 3)
		for number := range requests {
			requests[number] = &Request{phase: phaseQueued}
			queue.pushBack(requests[number])
		}
		So(queue.front(), ShouldEqual, requests[0])
		requests[0].phase = phaseAssigned
		queue.onRemoved()
		So(queue.front(), ShouldEqual, requests[1])
		requests[0].phase = phaseQueued
		queue.pushFront(requests[0])
		So(queue.front(), ShouldEqual, requests[0])
		So(queue.length, ShouldEqual, 3)
	})
	Convey("A long queue is compacted in order when most of its requests have left", t, func() {
		var queue requestQueue
		var requests []*Request
		for range 100 {
			request := &Request{phase: phaseQueued}
			requests = append(requests, request)
			queue.pushBack(request)
		}
		for number, request := range requests {
			if number%4 != 0 {
				request.phase = phaseDone
				queue.onRemoved()
			}
		}
		So(queue.length, ShouldEqual, 25)
		So(len(queue.requests), ShouldBeLessThan, 100)
		So(queue.front(), ShouldEqual, requests[0])
	})
	Convey("An empty queue has no front", t, func() {
		So((&requestQueue{}).front(), ShouldBeNil)
	})
}
