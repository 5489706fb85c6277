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

type sentCommand struct {
	instance, command string
	term              uint64
}

type promoteCall struct {
	instance, holder string
	fence            uint64
}

type harness struct {
	*Server
	replies  map[string]CommandReply
	status   int
	err      error
	commands chan sentCommand
	promotes chan promoteCall
}

// One control machine alone is its own majority: it is stepped here by hand,
// with no loop and no link.
func newHarness(t *testing.T, folder string) *harness {
	cfg := config.Config{Name: "c1", Zone: "z", RPCAddress: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", AdvertiseHTTPAddress: "127.0.0.1:2", ControlNodes: 1, DataDir: folder, Mode: "platform", ActivationBound: 3 * time.Second}
	node, err := node.New("seamc", cfg, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{replies: map[string]CommandReply{}, status: http.StatusOK, commands: make(chan sentCommand, 1000), promotes: make(chan promoteCall, 100)}
	adapters := &Adapters{
		SendCommand: func(_, _, instance, order string, term uint64, _ time.Duration) CommandReply {
			b.commands <- sentCommand{instance, order, term}
			b.mutex.Lock()
			defer b.mutex.Unlock()
			return b.replies[instance]
		},
		Promote: func(_ config.Config, _, instance, holder string, fence uint64) (int, error) {
			b.promotes <- promoteCall{instance, holder, fence}
			return b.status, b.err
		},
	}
	if b.Server, err = Open(node, cfg, adapters); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *harness) runPending() {
	for range 3 {
		b.tick()
		for len(b.tasks) > 0 {
			(<-b.tasks)()
		}
	}
}

func (b *harness) finish() {
	b.runPending()
	b.node.Workers.Stop(5 * time.Second)
}

func (b *harness) operate(path, body string) (int, *fastjson.Value) {
	var operated message.OperatorCallResult
	b.runPending()
	b.onOperate(message.OperatorCall{Path: path, Body: []byte(body)}, func(answer any) { operated = answer.(message.OperatorCallResult) })
	b.runPending()
	return operated.Status, fastjson.MustParseBytes(operated.Body)
}

func announced(name, role string, calls uint64) model.Instance {
	return model.Instance{Name: name, Database: "db", Address: "10.0.0.1:80", Zone: "z", Role: role, SyncReplication: true, AnnouncementNumber: calls, Slots: 5}
}

func rawManifestBody(version int) string {
	return base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("as sent %d", version)))
}

func manifestOf(version int, timeout int) string {
	raw := rawManifestBody(version)
	return fmt.Sprintf(`{"version":%d,"bindings":[{"name":"b","database":"db","timeout_ms":%d}],"databases":[{"name":"db","connections":80,"synced":1}],"raw":%q}`, version, timeout, raw)
}

func TestManifestCalls(t *testing.T) {
	Convey("A manifest is taken by version, refused when broken, and given back as it was sent, also after a restart", t, func() {
		folder := t.TempDir()
		b := newHarness(t, folder)
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
			status, _ = b.operate("/v1/manifest/replace", strings.ReplaceAll(manifestOf(7, 1000), rawManifestBody(7), rawManifestBody(70)))
			So(status, ShouldEqual, http.StatusConflict)
		}
		status, _ = b.operate("/v1/manifest/replace", `{"version":`)
		So(status, ShouldEqual, http.StatusBadRequest)
		for _, one := range []*harness{b, newHarness(t, folder)} {
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
		b := newHarness(t, t.TempDir())
		status, _ := b.node.Announce(announced("i-1", model.RoleReplica, 4))
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(b.node.Instances(time.Minute), ShouldBeEmpty)
		b.runPending()
		status, answer := b.node.Announce(announced("i-1", model.RoleReplica, 4))
		So(status, ShouldEqual, http.StatusOK)
		So(answer.(map[string]any)["door"], ShouldEqual, "127.0.0.1:2")
		SoMsg("the doors of all nodes, which a synced instance does not ask for", answer.(map[string]any)["nodes"], ShouldBeEmpty)
		late := announced("i-1", model.RolePrimary, 4)
		status, _ = b.node.Announce(late)
		So(status, ShouldEqual, http.StatusOK)
		So(b.node.Instances(time.Minute)[0].Instance.Role, ShouldEqual, model.RoleReplica)
		late.AnnouncementNumber = 5
		b.node.Announce(late)
		So(b.node.Instances(time.Minute)[0].Instance.Role, ShouldEqual, model.RolePrimary)
	})
}

func TestEvidenceSizeIndependentOfDatabases(t *testing.T) {
	Convey("A case carries no list of the databases, and takes as much from memory however many there are", t, func() {
		taken := func(databases int) float64 {
			b := newHarness(t, t.TempDir())
			b.runPending()
			for number := range databases {
				for _, name := range []string{"a", "b", "c"} {
					one := announced(fmt.Sprintf("i-%s-%d", name, number), model.RoleReplica, 1)
					one.Database = fmt.Sprintf("db%d", number)
					b.node.Announce(one)
				}
			}
			answer := b.onEvidenceRequest(message.EvidenceRequest{Database: "db1"})
			So(len(answer.SyncedEvidence.Observations), ShouldEqual, 3)
			So(answer.Databases, ShouldBeEmpty)
			So(answer.SyncedDatabases, ShouldBeEmpty)
			So(len(b.onEvidenceRequest(message.EvidenceRequest{}).SyncedDatabases), ShouldEqual, databases)
			return testing.AllocsPerRun(20, func() { b.onEvidenceRequest(message.EvidenceRequest{Database: "db1"}) })
		}
		So(taken(40), ShouldAlmostEqual, taken(4), 2)
	})
}

func TestInstanceEvidence(t *testing.T) {
	at := func(phase string, since int64) syncrepl.Evidence {
		return syncrepl.Evidence{Database: "db", Known: true, Settled: true, GapSequence: 3, Tenure: "c1@1", Writer: model.WriterRole{Database: "db", Term: 3, Primary: "a", Phase: phase, LastTransitionAt: since, SyncReplication: true}}
	}
	shown := func(b *harness, one syncrepl.Evidence) syncrepl.Evidence {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return b.evidence.Augment(one, b.node.Now())
	}
	Convey("What an instance answered counts as seen after the settling only in the episode in which it was asked, and settled", t, func() {
		b := newHarness(t, t.TempDir())
		b.replies["b"] = CommandReply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 9}}
		one := shown(b, at(model.PhaseClosing, 5))
		b.sendCommand(one, "b", "x:1", lineproto.AdminStatus, 0)
		unsettled := one
		unsettled.Settled = false
		b.sendCommand(unsettled, "c", "x:1", lineproto.AdminStatus, 0)
		b.finish()
		one = shown(b, at(model.PhaseClosing, 5))
		So(one.Probes["b"].AfterSettled, ShouldBeTrue)
		So(one.Probes["b"].Answered, ShouldBeTrue)
		So(one.Probes["b"].Position, ShouldResemble, model.Position{Term: 3, Index: 9})
		So(one.Probes["b"].GapSequence, ShouldEqual, 3)
		So(one.Probes["c"].AfterSettled, ShouldBeFalse)
		So(shown(b, at(model.PhaseClosing, 6)).Probes["b"].AfterSettled, ShouldBeFalse)
		So(shown(b, at(model.PhaseClosing, 5)).Probes["b"].AfterSettled, ShouldBeFalse)
	})
	Convey("An answer that comes once the episode is over is not of the next; none comes twice at once", t, func() {
		b := newHarness(t, t.TempDir())
		hold := make(chan struct{})
		order := b.adapters.SendCommand
		b.adapters.SendCommand = func(address, database, instance, what string, term uint64, timeout time.Duration) CommandReply {
			<-hold
			return order(address, database, instance, what, term, timeout)
		}
		b.replies["b"] = CommandReply{Role: model.RoleReplica, Term: 3}
		one := shown(b, at(model.PhaseClosing, 5))
		b.sendCommand(one, "b", "x:1", lineproto.AdminStatus, 0)
		b.sendCommand(one, "b", "x:1", lineproto.AdminStatus, 0)
		So(shown(b, at(model.PhaseClosing, 6)).Probes, ShouldBeEmpty)
		close(hold)
		b.finish()
		So(len(b.commands), ShouldEqual, 1)
		So(shown(b, at(model.PhaseClosing, 6)).Probes["b"].AfterSettled, ShouldBeFalse)
	})
	Convey("Silence, a busy answer and a name that is not there are told apart", t, func() {
		b := newHarness(t, t.TempDir())
		b.replies = map[string]CommandReply{"s": {Err: errors.New("refused")}, "b": {Busy: true}, "g": {Gone: true}}
		one := shown(b, at(model.PhaseOpen, 5))
		for name := range b.replies {
			b.sendCommand(one, name, "x:1", lineproto.AdminStatus, 0)
		}
		b.finish()
		seen := shown(b, at(model.PhaseOpen, 5)).Probes
		So(seen["s"].Answered || seen["s"].Busy || seen["s"].Gone, ShouldBeFalse)
		So(seen["b"].Busy, ShouldBeTrue)
		So(seen["g"].Gone, ShouldBeTrue)
	})
	Convey("The outcome of a promote call is kept for its intent only, and one that was not read stays unknown", t, func() {
		b := newHarness(t, t.TempDir())
		intent := at(model.PhasePromoting, 5)
		intent.Writer.Promoting = "b"
		shown(b, intent)
		b.status, b.err = http.StatusConflict, errors.New("cut")
		b.promoteSync(syncrepl.Promote{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 2})
		So(worker.Await(b.promotes, time.Second), ShouldBeTrue)
		b.finish()
		So(shown(b, intent).PromoteCalls[0].Status, ShouldEqual, 0)
		So(shown(b, at(model.PhaseClosing, 9)).PromoteCalls, ShouldBeEmpty)
	})
}

func TestSyncFailoverEndToEnd(t *testing.T) {
	Convey("From the first announcement to a new term: met, left, closed, asked, intended, promoted, open", t, func() {
		b := newHarness(t, t.TempDir())
		b.runPending()
		b.replies["a"] = CommandReply{Role: model.RolePrimary, Term: 3, Position: model.Position{Term: 3, Index: 50}}
		b.replies["b"] = CommandReply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 50}}
		b.replies["c"] = CommandReply{Role: model.RoleReplica, Term: 3, Position: model.Position{Term: 3, Index: 48}}
		for name, role := range map[string]string{"a": model.RolePrimary, "b": model.RoleReplica, "c": model.RoleReplica} {
			status, _ := b.node.Announce(announced(name, role, 1))
			So(status, ShouldEqual, http.StatusOK)
		}
		writer := func() model.WriterRole {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			return b.distributor.Snapshot().Writers["db"]
		}
		steps := func(reached func() bool) bool {
			for until := b.node.Now() + 5*time.Second; b.node.Now() < until; {
				done := make(chan struct{})
				b.node.Workers.Go(func() { b.runExclusive("db", b.decideSyncFailover); close(done) })
				for !worker.Await(done, 5*time.Millisecond) {
					b.runPending()
				}
				b.runPending()
				if reached() {
					return true
				}
			}
			return false
		}
		So(steps(func() bool { return writer().Phase == model.PhaseOpen && writer().Primary == "a" }), ShouldBeTrue)
		So(writer().Term, ShouldEqual, 3)
		leaving := announced("a", model.RolePrimary, 2)
		leaving.Leaving = true
		b.node.Announce(leaving)
		So(steps(func() bool { return writer().Phase == model.PhasePromoting }), ShouldBeTrue)
		So(writer().Promoting, ShouldEqual, "b")
		So(writer().Promoter, ShouldEqual, "c1")
		So(writer().FencingToken, ShouldEqual, 1)
		So(writer().MinPosition, ShouldResemble, model.Position{Term: 3, Index: 50})
		So(steps(func() bool { return len(b.promotes) == 1 }), ShouldBeTrue)
		So(<-b.promotes, ShouldResemble, promoteCall{"b", "c1", 1})
		b.mutex.Lock()
		b.replies["b"] = CommandReply{Role: model.RolePrimary, Term: 4, Position: model.Position{Term: 4, Index: 51}}
		b.mutex.Unlock()
		So(steps(func() bool { return writer().Phase == model.PhaseOpen }), ShouldBeTrue)
		So(writer().Primary, ShouldEqual, "b")
		So(writer().Term, ShouldEqual, 4)
		So(writer().PreviousTerm, ShouldEqual, 3)
	})
}

func TestPromoteCallNotSent(t *testing.T) {
	Convey("A promote call to an address where nobody takes it is told as not sent", t, func() {
		b := newHarness(t, t.TempDir())
		cfg := b.node.Config()
		cfg.PlatformAddress = "127.0.0.1:1"
		_, err := NewPromoter(b.node, func(adapter.Promotion) adapter.Request { return adapter.Request{Method: "POST", Path: "/"} })(cfg, "db", "i-1", "c1", 4)
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		b.err = errors.WithType(errors.New("refused"), ErrNotSent)
		b.promoteSync(syncrepl.Promote{Database: "db", Instance: "i-1", LeaseHolder: "c1", FencingToken: 4})
		<-b.promotes
		b.node.Workers.Stop(5 * time.Second)
		b.mutex.Lock()
		defer b.mutex.Unlock()
		calls := b.evidence.Augment(syncrepl.Evidence{Database: "db"}, b.node.Now()).PromoteCalls
		So(len(calls), ShouldEqual, 1)
		So(calls[0].Unsent, ShouldBeTrue)
		So(calls[0].FencingToken, ShouldEqual, 4)
	})
}
