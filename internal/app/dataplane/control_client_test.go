package dataplane

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/transport/worker"
)

const (
	testUpdateTimeout = 600 * time.Millisecond
	testReportDelay   = 20 * time.Millisecond
	eventTimeout      = time.Minute
)

// harness replaces a proxy, its machine and its node. It records all actions of a
// control client, in order.
type harness struct {
	mutex   sync.Mutex
	trace   []string
	workers *worker.Group
	client  *ControlClient

	// answered is whether each update request is answered, in order. The workers
	// are stopped after the last one.
	answered []bool
	// requestedAt is the time at which the last request was created, passedToNodeAt
	// the time at which it was passed to the node, and sentAt the time of sending
	// that the client passed to ApplyUpdate.
	requestedAt, passedToNodeAt, sentAt time.Duration
	requestCount, reportCount           uint64
	searches                            map[*node.PrimarySearch]bool

	// onObservations is called within Observations, unless it is nil.
	onObservations func()
	reports        chan distribution.NodeReport
}

func newHarness() *harness {
	h := &harness{
		workers:  worker.NewGroup(),
		searches: map[*node.PrimarySearch]bool{},
		reports:  make(chan distribution.NodeReport, 10),
	}
	h.client = NewControlClient(&node.Node{Workers: h.workers}, ControlClientConfig{
		Machine:       h,
		Apply:         h.apply,
		UpdateTimeout: testUpdateTimeout,
		ReportDelay:   testReportDelay,
	})
	h.client.control = h
	h.client.sleep = func(duration time.Duration) { h.record("sleep %s", duration) }
	Reset(func() { So(h.workers.Stop(eventTimeout), ShouldBeTrue) })
	return h
}

func (h *harness) record(format string, arguments ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, arguments...))
}

func (h *harness) apply(event func(now time.Duration)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	event(h.workers.Now())
}

func (h *harness) UpdateRequest(now time.Duration) distribution.UpdateRequest {
	h.requestCount++
	h.requestedAt = now
	return distribution.UpdateRequest{RequestNumber: h.requestCount}
}

func (h *harness) ApplyUpdate(update distribution.Update, sent, _ time.Duration) {
	h.sentAt = sent
	h.record("apply update %d", update.Tenure)
}

func (h *harness) Observations(time.Duration) distribution.NodeReport {
	h.reportCount++
	if h.onObservations != nil {
		h.onObservations()
	}
	return distribution.NodeReport{BaselineTenure: h.reportCount}
}

func (h *harness) RequestUpdate(request distribution.UpdateRequest, search *node.PrimarySearch, timeout time.Duration) (distribution.Update, bool) {
	h.passedToNodeAt = h.workers.Now()
	h.searches[search] = true
	h.record("request %d within %s", request.RequestNumber, timeout)
	received := h.answered[0]
	h.answered = h.answered[1:]
	if len(h.answered) == 0 {
		h.workers.Stop(0)
	}
	return distribution.Update{Tenure: request.RequestNumber}, received
}

func (h *harness) SendToControlPrimary(message any) {
	h.reports <- message.(distribution.NodeReport)
}

// nextReport waits for a report and returns its number.
func (h *harness) nextReport() uint64 {
	report, received := worker.Receive(h.reports, time.After(eventTimeout))
	So(received, ShouldBeTrue)
	return report.BaselineTenure
}

func TestPollUpdates(t *testing.T) {
	Convey("The next request follows an answer at once and an unanswered request after a delay, until the workers are stopping", t, func() {
		h := newHarness()
		h.answered = []bool{true, false, false, true}
		h.client.PollUpdates()
		So(h.trace, ShouldResemble, []string{
			"request 1 within 600ms", "apply update 1",
			"request 2 within 600ms", "sleep 30ms",
			"request 3 within 600ms", "sleep 30ms",
			"request 4 within 600ms", "apply update 4",
		})
		So(len(h.searches), ShouldEqual, 1)
	})
	Convey("The sent time of an update is after its request was created and before the request was passed to the node", t, func() {
		h := newHarness()
		h.answered = []bool{true}
		h.client.PollUpdates()
		So(h.sentAt, ShouldBeBetweenOrEqual, h.requestedAt, h.passedToNodeAt)
	})
	Convey("No request is created while requests are deferred", t, func() {
		h := newHarness()
		h.answered = []bool{true, true}
		deferrals := []bool{true, true, false, true, false}
		h.client.DeferRequest = func(time.Duration) bool {
			deferred := deferrals[0]
			deferrals = deferrals[1:]
			return deferred
		}
		h.client.PollUpdates()
		So(h.trace, ShouldResemble, []string{
			"sleep 10ms", "sleep 10ms", "request 1 within 600ms", "apply update 1",
			"sleep 10ms", "request 2 within 600ms", "apply update 2",
		})
	})
	Convey("No request is created when the workers are stopping", t, func() {
		h := newHarness()
		h.workers.Stop(0)
		h.client.PollUpdates()
		So(h.trace, ShouldBeEmpty)
		So(h.requestCount, ShouldEqual, 0)
	})
}

func TestScheduleReport(t *testing.T) {
	Convey("Given a proxy whose report delays end when the test releases them", t, func() {
		h := newHarness()
		delays, release := make(chan time.Duration, 10), make(chan struct{}, 10)
		h.client.sleep = func(duration time.Duration) {
			delays <- duration
			<-release
		}
		awaitScheduled := func() time.Duration {
			delay, received := worker.Receive(delays, time.After(eventTimeout))
			So(received, ShouldBeTrue)
			return delay
		}
		Convey("Observations before a report is created are in that one report, and later ones are in the next", func() {
			for range 3 {
				h.client.ScheduleReport()
			}
			So(awaitScheduled(), ShouldEqual, testReportDelay)
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 1)
			h.client.ScheduleReport()
			So(awaitScheduled(), ShouldEqual, testReportDelay)
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 2)
			So(len(delays), ShouldEqual, 0)
		})
		Convey("An observation made while a report is created is in another report, which can be scheduled under the lock", func() {
			h.onObservations = func() {
				h.onObservations = nil
				h.client.ScheduleReport()
			}
			h.client.ScheduleReport()
			awaitScheduled()
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 1)
			awaitScheduled()
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 2)
		})
		Convey("A report that was scheduled before the workers began to stop is still sent", func() {
			h.client.ScheduleReport()
			awaitScheduled()
			So(h.workers.Stop(0), ShouldBeFalse)
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 1)
		})
	})
}
