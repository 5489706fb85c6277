package control

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

type ordered struct {
	instance, order string
	term            uint64
}

type called struct {
	instance, holder string
	fence            uint64
}

type bench struct {
	*Control
	replies  map[string]Reply
	status   int
	err      error
	orders   chan ordered
	promotes chan called
}

// One control machine alone is its own majority: it is stepped here by hand,
// with no loop and no link.
func newBench(t *testing.T, folder string) *bench {
	place := config.Settings{Name: "c1", Zone: "z", Link: "127.0.0.1:1", Door: "127.0.0.1:2", AdvertiseDoor: "127.0.0.1:2", Disks: 1, Data: folder, Manner: "platform", InForce: 3 * time.Second}
	node, err := node.New("seamc", place, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{replies: map[string]Reply{}, status: http.StatusOK, orders: make(chan ordered, 1000), promotes: make(chan called, 100)}
	seams := &Seams{
		Order: func(_, _, instance, order string, term uint64, _ time.Duration) Reply {
			b.orders <- ordered{instance, order, term}
			b.mutex.Lock()
			defer b.mutex.Unlock()
			return b.replies[instance]
		},
		Promote: func(_ config.Settings, _, instance, holder string, fence uint64) (int, error) {
			b.promotes <- called{instance, holder, fence}
			return b.status, b.err
		},
	}
	if b.Control, err = Open(node, place, seams); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *bench) work() {
	for range 3 {
		b.beat()
		for len(b.queue) > 0 {
			(<-b.queue)()
		}
	}
}

func (b *bench) settle() {
	b.work()
	b.node.Crew.Stop(5 * time.Second)
}

func (b *bench) operate(path, body string) (int, *fastjson.Value) {
	var operated message.Operated
	b.work()
	b.onOperate(message.Operate{Path: path, Body: []byte(body)}, func(answer any) { operated = answer.(message.Operated) })
	b.work()
	return operated.Status, fastjson.MustParseBytes(operated.Body)
}

func announced(name, role string, calls uint64) model.Instance {
	return model.Instance{Name: name, Database: "db", Address: "10.0.0.1:80", Zone: "z", Role: role, IsSynced: true, Calls: calls, Slots: 5}
}

func asSent(version int) string {
	return base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("as sent %d", version)))
}

func manifestOf(version int, timeout int) string {
	raw := asSent(version)
	return fmt.Sprintf(`{"version":%d,"bindings":[{"name":"b","database":"db","timeout_ms":%d}],"databases":[{"name":"db","connections":80,"synced":1}],"raw":%q}`, version, timeout, raw)
}

func TestManifestCalls(t *testing.T) {
	Convey("A manifest is taken by version, refused when broken, and given back as it was sent, also after a restart", t, func() {
		folder := t.TempDir()
		b := newBench(t, folder)
		status, _ := b.operate("/v1/manifest/fetch", "")
		So(status, ShouldEqual, http.StatusNotFound)
		status, answer := b.operate("/v1/manifest/replace", manifestOf(7, 1000))
		So(status, ShouldEqual, http.StatusOK)
		So(answer.GetInt("version"), ShouldEqual, 7)
		status, _ = b.operate("/v1/manifest/replace", manifestOf(6, 1000))
		So(status, ShouldEqual, http.StatusOK)
		status, answer = b.operate("/v1/manifest/replace", manifestOf(8, 0))
		So(status, ShouldEqual, http.StatusBadRequest)
		So(string(answer.GetStringBytes("faults", "0", "path")), ShouldEqual, "/bindings/0/timeout_ms")
		for range 2 {
			status, _ = b.operate("/v1/manifest/replace", manifestOf(7, 1000))
			So(status, ShouldEqual, http.StatusOK)
			status, _ = b.operate("/v1/manifest/replace", manifestOf(6, 2000))
			So(status, ShouldEqual, http.StatusOK)
			status, _ = b.operate("/v1/manifest/replace", strings.ReplaceAll(manifestOf(7, 1000), asSent(7), asSent(70)))
			So(status, ShouldEqual, http.StatusConflict)
		}
		status, _ = b.operate("/v1/manifest/replace", `{"version":`)
		So(status, ShouldEqual, http.StatusBadRequest)
		for _, one := range []*bench{b, newBench(t, folder)} {
			status, answer = one.operate("/v1/manifest/fetch", "")
			So(status, ShouldEqual, http.StatusOK)
			So(answer.GetInt("version"), ShouldEqual, 7)
			raw, _ := base64.StdEncoding.DecodeString(string(answer.GetStringBytes("raw")))
			So(string(raw), ShouldEqual, "as sent 7")
		}
	})
}

func TestAnnouncementsAtControl(t *testing.T) {
	Convey("The control primary takes a synced instance's announcement; a late one changes nothing; a machine that reaches no primary refuses", t, func() {
		b := newBench(t, t.TempDir())
		status, _ := b.node.Announce(announced("i-1", model.RoleReplica, 4))
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(b.node.Instances(time.Minute), ShouldBeEmpty)
		b.work()
		status, answer := b.node.Announce(announced("i-1", model.RoleReplica, 4))
		So(status, ShouldEqual, http.StatusOK)
		So(answer.(map[string]any)["door"], ShouldEqual, "127.0.0.1:2")
		SoMsg("the doors of all nodes, which a synced instance does not ask for", answer.(map[string]any)["nodes"], ShouldBeEmpty)
		late := announced("i-1", model.RolePrimary, 4)
		status, _ = b.node.Announce(late)
		So(status, ShouldEqual, http.StatusOK)
		So(b.node.Instances(time.Minute)[0].Instance.Role, ShouldEqual, model.RoleReplica)
		late.Calls = 5
		b.node.Announce(late)
		So(b.node.Instances(time.Minute)[0].Instance.Role, ShouldEqual, model.RolePrimary)
	})
}

func TestCasesOfMany(t *testing.T) {
	Convey("A case carries no list of the databases, and takes as much from memory however many there are", t, func() {
		taken := func(databases int) float64 {
			b := newBench(t, t.TempDir())
			b.work()
			for number := range databases {
				for _, name := range []string{"a", "b", "c"} {
					one := announced(fmt.Sprintf("i-%s-%d", name, number), model.RoleReplica, 1)
					one.Database = fmt.Sprintf("db%d", number)
					b.node.Announce(one)
				}
			}
			answer := b.onAskCase(message.AskCase{Database: "db1"})
			So(len(answer.Takeover.Sights), ShouldEqual, 3)
			So(answer.Databases, ShouldBeEmpty)
			So(answer.Synced, ShouldBeEmpty)
			So(len(b.onAskCase(message.AskCase{}).Synced), ShouldEqual, databases)
			return testing.AllocsPerRun(20, func() { b.onAskCase(message.AskCase{Database: "db1"}) })
		}
		So(taken(40), ShouldAlmostEqual, taken(4), 2)
	})
}

func TestEvidence(t *testing.T) {
	at := func(phase string, since int64) syncrepl.Case {
		return syncrepl.Case{Database: "db", IsKnown: true, IsSettled: true, Event: 3, Tenure: "c1@1", Writer: model.Writer{Database: "db", Term: 3, Primary: "a", Phase: phase, Since: since, IsSynced: true}}
	}
	shown := func(b *bench, one syncrepl.Case) syncrepl.Case {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return b.holder.Show(one, b.node.Now())
	}
	Convey("What an instance answered counts as seen after the settling only in the episode in which it was asked, and settled", t, func() {
		b := newBench(t, t.TempDir())
		b.replies["b"] = Reply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 9}}
		one := shown(b, at(model.PhaseClosing, 5))
		b.order(one, "b", "x:1", lineproto.OrderStatus, 0)
		unsettled := one
		unsettled.IsSettled = false
		b.order(unsettled, "c", "x:1", lineproto.OrderStatus, 0)
		b.settle()
		one = shown(b, at(model.PhaseClosing, 5))
		So(one.Seen["b"].IsAfter, ShouldBeTrue)
		So(one.Seen["b"].IsAnswered, ShouldBeTrue)
		So(one.Seen["b"].Position, ShouldResemble, model.Position{Term: 3, Index: 9})
		So(one.Seen["b"].Event, ShouldEqual, 3)
		So(one.Seen["c"].IsAfter, ShouldBeFalse)
		So(shown(b, at(model.PhaseClosing, 6)).Seen["b"].IsAfter, ShouldBeFalse)
		So(shown(b, at(model.PhaseClosing, 5)).Seen["b"].IsAfter, ShouldBeFalse)
	})
	Convey("An answer that comes once the episode is over is not of the next; none comes twice at once", t, func() {
		b := newBench(t, t.TempDir())
		hold := make(chan struct{})
		order := b.seams.Order
		b.seams.Order = func(address, database, instance, what string, term uint64, bound time.Duration) Reply {
			<-hold
			return order(address, database, instance, what, term, bound)
		}
		b.replies["b"] = Reply{Role: model.RoleReplica, Term: 3}
		one := shown(b, at(model.PhaseClosing, 5))
		b.order(one, "b", "x:1", lineproto.OrderStatus, 0)
		b.order(one, "b", "x:1", lineproto.OrderStatus, 0)
		So(shown(b, at(model.PhaseClosing, 6)).Seen, ShouldBeEmpty)
		close(hold)
		b.settle()
		So(len(b.orders), ShouldEqual, 1)
		So(shown(b, at(model.PhaseClosing, 6)).Seen["b"].IsAfter, ShouldBeFalse)
	})
	Convey("Silence, a busy answer and a name that is not there are told apart", t, func() {
		b := newBench(t, t.TempDir())
		b.replies = map[string]Reply{"s": {Err: errors.New("refused")}, "b": {IsBusy: true}, "g": {IsGone: true}}
		one := shown(b, at(model.PhaseOpen, 5))
		for name := range b.replies {
			b.order(one, name, "x:1", lineproto.OrderStatus, 0)
		}
		b.settle()
		seen := shown(b, at(model.PhaseOpen, 5)).Seen
		So(seen["s"].IsAnswered || seen["s"].IsBusy || seen["s"].IsGone, ShouldBeFalse)
		So(seen["b"].IsBusy, ShouldBeTrue)
		So(seen["g"].IsGone, ShouldBeTrue)
	})
	Convey("The outcome of a promote call is kept for its intent only, and one that was not read stays unknown", t, func() {
		b := newBench(t, t.TempDir())
		intent := at(model.PhaseIntent, 5)
		intent.Writer.Intent = "b"
		shown(b, intent)
		b.status, b.err = http.StatusConflict, errors.New("cut")
		b.promoteSynced(syncrepl.Promote{Database: "db", Instance: "b", Holder: "c1", Fence: 2})
		So(worker.Await(b.promotes, time.Second), ShouldBeTrue)
		b.settle()
		So(shown(b, intent).Calls[0].Status, ShouldEqual, 0)
		So(shown(b, at(model.PhaseClosing, 9)).Calls, ShouldBeEmpty)
	})
}

func TestTakeoverFromEndToEnd(t *testing.T) {
	Convey("From the first announcement to a new term: met, left, closed, asked, intended, promoted, open", t, func() {
		b := newBench(t, t.TempDir())
		b.work()
		b.replies["a"] = Reply{Role: model.RolePrimary, Term: 3, Position: model.Position{Term: 3, Index: 50}}
		b.replies["b"] = Reply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 50}}
		b.replies["c"] = Reply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 48}}
		for name, role := range map[string]string{"a": model.RolePrimary, "b": model.RoleReplica, "c": model.RoleReplica} {
			status, _ := b.node.Announce(announced(name, role, 1))
			So(status, ShouldEqual, http.StatusOK)
		}
		writer := func() model.Writer {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			return b.steer.Doc().Writers["db"]
		}
		steps := func(isThere func() bool) bool {
			for until := b.node.Now() + 5*time.Second; b.node.Now() < until; {
				done := make(chan struct{})
				b.node.Crew.Go(func() { b.alone("db", b.decideTakeover); close(done) })
				for !worker.Await(done, 5*time.Millisecond) {
					b.work()
				}
				b.work()
				if isThere() {
					return true
				}
			}
			return false
		}
		So(steps(func() bool { return writer().Phase == model.PhaseOpen && writer().Primary == "a" }), ShouldBeTrue)
		So(writer().Term, ShouldEqual, 3)
		leaving := announced("a", model.RolePrimary, 2)
		leaving.IsLeaving = true
		b.node.Announce(leaving)
		So(steps(func() bool { return writer().Phase == model.PhaseIntent }), ShouldBeTrue)
		So(writer().Intent, ShouldEqual, "b")
		So(writer().Holder, ShouldEqual, "c1")
		So(writer().Fence, ShouldEqual, 1)
		So(writer().Floor, ShouldResemble, model.Position{Term: 3, Index: 50})
		So(steps(func() bool { return len(b.promotes) == 1 }), ShouldBeTrue)
		So(<-b.promotes, ShouldResemble, called{"b", "c1", 1})
		b.mutex.Lock()
		b.replies["b"] = Reply{Role: model.RolePrimary, Term: 4, Position: model.Position{Term: 4, Index: 51}}
		b.mutex.Unlock()
		So(steps(func() bool { return writer().Phase == model.PhaseOpen }), ShouldBeTrue)
		So(writer().Primary, ShouldEqual, "b")
		So(writer().Term, ShouldEqual, 4)
		So(writer().Before, ShouldEqual, 3)
	})
}

func TestCallThatIsNotSent(t *testing.T) {
	Convey("A promote call to an address where nobody takes it is told as not sent", t, func() {
		b := newBench(t, t.TempDir())
		place := b.node.Place()
		place.Platform = "127.0.0.1:1"
		_, err := Promoter(b.node, func(adapter.Promotion) adapter.Request { return adapter.Request{Method: "POST", Path: "/"} })(place, "db", "i-1", "c1", 4)
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
		b.err = errors.WithType(errors.New("refused"), ErrUnsent)
		b.promoteSynced(syncrepl.Promote{Database: "db", Instance: "i-1", Holder: "c1", Fence: 4})
		<-b.promotes
		b.node.Crew.Stop(5 * time.Second)
		b.mutex.Lock()
		defer b.mutex.Unlock()
		calls := b.holder.Show(syncrepl.Case{Database: "db"}, b.node.Now()).Calls
		So(len(calls), ShouldEqual, 1)
		So(calls[0].IsUnsent, ShouldBeTrue)
		So(calls[0].Fence, ShouldEqual, 4)
	})
}
