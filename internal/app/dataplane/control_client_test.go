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

// harness stands in for a proxy, its machine and its node. It notes all that a
// control client does, in order.
type harness struct {
	mutex   sync.Mutex
	trace   []string
	workers *worker.Group
	client  *ControlClient

	// received says of each update request in turn whether it is answered; after
	// the last the workers are stopped.
	received []bool
	// requestedAt, askedAt and sentAt are the times at which the last request was
	// made and handed to the node, and at which its sender says it was sent.
	requestedAt, askedAt, sentAt time.Duration
	requestCount, reportCount    uint64
	searches                     map[*node.PrimarySearch]bool

	// onObservations, if set, is called within Observations.
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
	h.client.sleep = func(duration time.Duration) { h.note("sleep %s", duration) }
	Reset(func() { So(h.workers.Stop(eventTimeout), ShouldBeTrue) })
	return h
}

func (h *harness) note(format string, arguments ...any) {
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
	h.note("apply update %d", update.Tenure)
}

func (h *harness) Observations(time.Duration) distribution.NodeReport {
	h.reportCount++
	if h.onObservations != nil {
		h.onObservations()
	}
	return distribution.NodeReport{BaselineTenure: h.reportCount}
}

func (h *harness) RequestUpdate(request distribution.UpdateRequest, search *node.PrimarySearch, timeout time.Duration) (distribution.Update, bool) {
	h.askedAt = h.workers.Now()
	h.searches[search] = true
	h.note("request %d within %s", request.RequestNumber, timeout)
	received := h.received[0]
	h.received = h.received[1:]
	if len(h.received) == 0 {
		h.workers.Stop(0)
	}
	return distribution.Update{Tenure: request.RequestNumber}, received
}

func (h *harness) SendToControlPrimary(message any) {
	h.reports <- message.(distribution.NodeReport)
}

// nextReport waits for a report, and returns its number.
func (h *harness) nextReport() uint64 {
	report, received := worker.Receive(h.reports, time.After(eventTimeout))
	So(received, ShouldBeTrue)
	return report.BaselineTenure
}

func TestPollUpdates(t *testing.T) {
	Convey("One request follows another, after a delay only if the last was not answered, until the workers are to stop", t, func() {
		h := newHarness()
		h.received = []bool{true, false, false, true}
		h.client.PollUpdates()
		So(h.trace, ShouldResemble, []string{
			"request 1 within 600ms", "apply update 1",
			"request 2 within 600ms", "sleep 30ms",
			"request 3 within 600ms", "sleep 30ms",
			"request 4 within 600ms", "apply update 4",
		})
		So(len(h.searches), ShouldEqual, 1)
	})
	Convey("An update counts from after its request was made and before that was handed to the node", t, func() {
		h := newHarness()
		h.received = []bool{true}
		h.client.PollUpdates()
		So(h.sentAt, ShouldBeBetweenOrEqual, h.requestedAt, h.askedAt)
	})
	Convey("A request that has to wait is not made", t, func() {
		h := newHarness()
		h.received = []bool{true, true}
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
	Convey("Nothing is requested once the workers are to stop", t, func() {
		h := newHarness()
		h.workers.Stop(0)
		h.client.PollUpdates()
		So(h.trace, ShouldBeEmpty)
		So(h.requestCount, ShouldEqual, 0)
	})
}

func TestScheduleReport(t *testing.T) {
	Convey("Given a proxy whose reports wait for the test", t, func() {
		h := newHarness()
		delays, release := make(chan time.Duration, 10), make(chan struct{}, 10)
		h.client.sleep = func(duration time.Duration) {
			delays <- duration
			<-release
		}
		scheduled := func() time.Duration {
			delay, received := worker.Receive(delays, time.After(eventTimeout))
			So(received, ShouldBeTrue)
			return delay
		}
		Convey("What is observed until a report is made is in that one report, and what follows is in the next", func() {
			for range 3 {
				h.client.ScheduleReport()
			}
			So(scheduled(), ShouldEqual, testReportDelay)
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 1)
			h.client.ScheduleReport()
			So(scheduled(), ShouldEqual, testReportDelay)
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 2)
			So(len(delays), ShouldEqual, 0)
		})
		Convey("What is observed while a report is made is in another, which can be scheduled under the lock", func() {
			h.onObservations = func() {
				h.onObservations = nil
				h.client.ScheduleReport()
			}
			h.client.ScheduleReport()
			scheduled()
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 1)
			scheduled()
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 2)
		})
		Convey("A report that is scheduled while the workers are to stop is still sent", func() {
			h.client.ScheduleReport()
			scheduled()
			So(h.workers.Stop(0), ShouldBeFalse)
			release <- struct{}{}
			So(h.nextReport(), ShouldEqual, 1)
		})
	})
}
