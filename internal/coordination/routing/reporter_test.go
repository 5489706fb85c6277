package routing

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

const databases = 4

// newPrimary returns a control primary at which node d1 is registered, and at which each
// database has an open term with one instance as its primary.
func newPrimary(name string, wallNanos int64, now time.Duration) *distribution.Machine {
	puts := []store.Put{{Key: model.PrefixNode + "d1", Data: store.EncodePlain(wallNanos)}}
	for number := range databases {
		role := model.WriterRole{Database: fmt.Sprintf("db%d", number), Term: 1, Primary: fmt.Sprintf("i%d", number), Phase: model.PhaseOpen, SyncReplication: true}
		puts = append(puts, store.Put{Key: model.PrefixWriterRole + role.Database, Data: store.Encode(role)})
	}
	state := store.New()
	state.Apply(store.Version{Epoch: 1, Sequence: 1}, puts)
	return distribution.New(name, lease.DefaultTiming(), consensus.Record{Epoch: 1, Primary: name}, state, now)
}

// exchange simulates a node that sends abbreviated requests to a control primary. The
// requests may be lost, duplicated or delayed. A reference primary receives the same
// requests unabbreviated, for comparison.
type exchange struct {
	random                      *rand.Rand
	now                         time.Duration
	wallNanos                   int64
	node                        *Machine
	actual, reference           *distribution.Machine
	report                      distribution.NodeReport
	lastResponse                map[string]time.Duration
	requests                    []distribution.UpdateRequest
	overtakenCount              int
	reportsOmitted, reportsSent int
}

func newExchange(seed int64) *exchange {
	e := &exchange{
		random: rand.New(rand.NewSource(seed)), now: time.Hour, wallNanos: int64(1000 * time.Hour),
		node:         New("d1", lease.DefaultTiming()),
		report:       distribution.NodeReport{Node: "d1", HighWatermarks: map[string]model.Position{}},
		lastResponse: map[string]time.Duration{},
	}
	e.replacePrimary("c1")
	for number := range databases {
		instance := model.Instance{Name: fmt.Sprintf("i%d", number), Database: fmt.Sprintf("db%d", number), Address: "x:1", SyncReplication: true}
		e.report.Reports = append(e.report.Reports, distribution.InstanceReport{Instance: instance})
	}
	return e
}

func (e *exchange) oneIn(count int) bool { return e.random.Intn(count) == 0 }

func (e *exchange) replacePrimary(name string) {
	e.actual, e.reference = newPrimary(name, e.wallNanos, e.now), newPrimary(name, e.wallNanos, e.now)
}

// changeReport makes one random change to the report on one instance.
func (e *exchange) changeReport() {
	changed := &e.report.Reports[e.random.Intn(databases)]
	changes := []func(){
		func() { e.lastResponse[changed.Instance.Name] = e.now },
		func() { changed.Instance.Position.Index += uint64(e.random.Intn(3)) },
		func() { changed.Instance.Leaving = !changed.Instance.Leaving },
		func() { changed.RefusedConnections = max(e.random.Intn(8)-5, 0) },
		func() { changed.OldestStatementAge = time.Duration(e.random.Intn(8)/7) * time.Second },
		func() { e.report.HighWatermarks[changed.Instance.Database] = changed.Instance.Position },
	}
	changes[e.random.Intn(len(changes))]()
	for index := range e.report.Reports {
		report := &e.report.Reports[index]
		report.ResponseAge = e.now - e.lastResponse[report.Instance.Name]
	}
}

func (e *exchange) send(primary *distribution.Machine, request distribution.UpdateRequest) distribution.Update {
	primary.HandleRequest(request, 1, e.now)
	return primary.Flush(true, distribution.IdleLinks{}, e.wallNanos, e.now+distribution.DefaultPollTimeout)[0].Update
}

// step makes one request. It returns true if the node received an answer after which both
// primaries must have the same evidence.
func (e *exchange) step() bool {
	e.now, e.wallNanos = e.now+50*ms, e.wallNanos+int64(50*ms)
	e.changeReport()
	if e.oneIn(40) {
		e.replacePrimary("c2")
	}
	if e.oneIn(6) {
		e.actual.HandleReport(e.node.DeltaReport(e.report, e.now), e.now)
	}
	request := e.node.DeltaUpdateRequest(e.report, e.now)
	request.Incarnation = 7
	if e.overtakenCount > 0 && e.oneIn(10) {
		e.send(e.actual, e.requests[e.random.Intn(e.overtakenCount)])
	}
	e.requests = append(e.requests, request)
	e.reportsOmitted += len(e.report.Reports) - len(request.Reports)
	e.reportsSent += len(request.Reports)
	if requestLost := e.oneIn(8); requestLost {
		return false
	}
	update := e.send(e.actual, request)
	e.overtakenCount = len(e.requests) - 1
	if answerLost := e.oneIn(8); answerLost {
		return false
	}
	e.node.ApplyUpdate(update, e.now, e.now)
	if request.BaselineTenure != 0 && update.Tenure != request.BaselineTenure {
		So(update.LeaseDuration, ShouldEqual, 0)
		return false
	}
	complete := request
	complete.BaselineTenure, complete.Reports, complete.HighWatermarks = 0, e.report.Reports, e.report.HighWatermarks
	e.send(e.reference, complete)
	return true
}

// evidence returns a primary's evidence as text, without the fields that depend on the
// number of requests.
func (e *exchange) evidence(primary *distribution.Machine) string {
	var all []syncrepl.Evidence
	for number := range databases {
		evidence := primary.SyncFailoverEvidence(fmt.Sprintf("db%d", number), nil, e.wallNanos, e.now)
		evidence.GapSequence, evidence.Tenure = 0, ""
		for index := range evidence.Observations {
			evidence.Observations[index].UnobservedFor = 0
		}
		all = append(all, evidence)
	}
	return fmt.Sprint(all)
}

func TestReporter(t *testing.T) {
	Convey("Abbreviated requests lead to the same evidence as complete requests, even if requests are lost, duplicated or delayed, or the primary is replaced", t, func() {
		omitted, sent := 0, 0
		for seed := range int64(60) {
			e := newExchange(seed)
			for range 200 {
				if !e.step() {
					continue
				}
				got, want := e.evidence(e.actual), e.evidence(e.reference)
				if got != want {
					SoMsg(fmt.Sprintf("seed %d", seed), got, ShouldEqual, want)
				}
			}
			omitted, sent = omitted+e.reportsOmitted, sent+e.reportsSent
		}
		SoMsg("reports omitted", omitted, ShouldBeGreaterThan, sent/2)
	})
	Convey("If nothing has changed on a hundred instances, a request takes less than 200 bytes", t, func() {
		node, now := New("d1", lease.DefaultTiming()), time.Hour
		report := distribution.NodeReport{Node: "d1", HighWatermarks: map[string]model.Position{}}
		for number := range 100 {
			instance := model.Instance{Name: fmt.Sprintf("i%d", number), Database: fmt.Sprintf("db%d", number), Address: "10.0.0.1:5432", Zone: "z", SyncReplication: true, Position: model.Position{Term: 1, Index: 9}}
			report.Reports = append(report.Reports, distribution.InstanceReport{Instance: instance, ResponseAge: time.Second})
			report.HighWatermarks[instance.Database] = instance.Position
		}
		size := func() int {
			for index := range report.Reports {
				report.Reports[index].ResponseAge += 500 * ms
			}
			now += 500 * ms
			var stream bytes.Buffer
			encoder := gob.NewEncoder(&stream)
			So(encoder.Encode(distribution.UpdateRequest{}), ShouldBeNil)
			previous := stream.Len()
			So(encoder.Encode(node.DeltaUpdateRequest(report, now)), ShouldBeNil)
			return stream.Len() - previous
		}
		So(size(), ShouldBeGreaterThan, 5000)
		node.ApplyUpdate(distribution.Update{FromPrimary: true, Tenure: 5}, now, now)
		So(size(), ShouldBeLessThan, 200)
	})
}
