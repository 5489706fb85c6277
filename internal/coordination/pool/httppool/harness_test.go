package httppool

import (
	"fmt"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// harness carries out the effects of a pool and records the results by token.
// Connections open at once, except those to the addresses in unresponsive, which
// never finish opening.
type harness struct {
	*Machine
	now          time.Duration
	results      map[string]Result
	sent         []Send
	opens        []OpenConn
	lookups      []Lookup
	closedConns  []*Conn
	unresponsive map[string]bool
	version      uint64
	phase        string
}

func newHarness(connections int) *harness {
	h := &harness{now: time.Hour, results: map[string]Result{}, unresponsive: map[string]bool{}, phase: model.PhaseOpen}
	h.Machine = New(Node{Name: "d1", Zone: "za", Incarnation: "1", Weight: 1}, DefaultTiming(), func(string, int64) {})
	for _, database := range []string{"x", "y"} {
		for index, role := range []string{model.RolePrimary, model.RoleReplica} {
			name := fmt.Sprintf("%s%d", database, index)
			h.UpdateInstance(model.Instance{Name: name, Database: database, Address: name, Role: role, Term: 1, Incarnation: "b", Connections: connections, Slots: 4}, h.now)
		}
	}
	h.update()
	return h
}

func (h *harness) update() {
	h.version++
	snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: h.version}, Writers: map[string]model.WriterRole{}, Sets: []model.BindingSet{{
		Sequence: 1, EffectiveAt: 1, Bindings: []model.Binding{{Name: "x", Database: "x"}, {Name: "y", Database: "y"}},
	}}}
	for _, database := range []string{"x", "y"} {
		replica := map[string]string{database + "1": "b"}
		snapshot.Writers[database] = model.WriterRole{
			Database: database, Term: 1, Primary: database + "0", PrimaryIncarnation: "b", Phase: h.phase, RequiredReplicas: replica, Candidates: replica,
		}
	}
	record := consensus.Record{Epoch: 1, Primary: "c1"}
	h.ApplyUpdate(distribution.Update{FromPrimary: true, Record: record, LeaseDuration: 1600 * time.Millisecond, PrimaryTime: int64(h.now), Snapshot: &snapshot}, h.now, h.now)
	h.applyEffects()
}

func (h *harness) applyEffects() {
	for effects := h.Effects(); len(effects) > 0; effects = h.Effects() {
		for _, effect := range effects {
			h.applyEffect(effect)
		}
	}
}

func (h *harness) applyEffect(effect Effect) {
	if respond, ok := effect.(Respond); ok {
		h.results[respond.Request.Token.(string)] = respond.Result
	}
	if enqueue, ok := effect.(Enqueue); ok {
		h.Enqueue(enqueue.Request, h.now)
	}
	if forward, ok := effect.(Forward); ok {
		h.Forward(forward.Request, h.now)
	}
	if send, ok := effect.(Send); ok {
		h.sent = append(h.sent, send)
	}
	if lookup, ok := effect.(Lookup); ok {
		h.lookups = append(h.lookups, lookup)
	}
	if closed, ok := effect.(CloseConn); ok {
		h.closedConns = append(h.closedConns, closed.Conn)
	}
	if open, ok := effect.(OpenConn); ok {
		if h.unresponsive[open.Address] {
			h.opens = append(h.opens, open)
			return
		}
		h.ConnOpened(open.Conn, Reply{Incarnation: "b", Clean: true}, true, h.now)
	}
}

func (h *harness) advance(span time.Duration) {
	for until := h.now + span; h.now < until; {
		h.now += 20 * time.Millisecond
		if h.phase != "" && (h.now/(20*time.Millisecond))%25 == 0 {
			h.update()
		}
		h.Tick(1, 1, h.now)
		h.applyEffects()
	}
}

func (h *harness) openSession(binding, remote string) string {
	opened, rejected, _ := h.OpenSession(binding, remote, nil, h.now)
	So(rejected.Error, ShouldBeEmpty)
	return opened.ID
}

func (h *harness) accept(sessionID, token string, op Op, timeout time.Duration) *Request {
	request, rejected, accepted := h.Accept(sessionID, op, timeout, token, h.now)
	if !accepted {
		h.results[token] = rejected
	}
	return request
}

func (h *harness) submit(sessionID, token string, op Op) *Request {
	request := h.accept(sessionID, token, op, time.Second)
	if request != nil {
		h.Bind(request, h.now)
		h.applyEffects()
	}
	return request
}

func (h *harness) reply(reply Reply) {
	send := h.sent[0]
	h.sent = h.sent[1:]
	reply.Incarnation = "b"
	h.ReplyReceived(send.Request, reply, false, h.now)
	h.applyEffects()
}

// replicate passes an announcement of a replica with a position to the pool.
func (h *harness) replicate(replica string, position model.Position) {
	instance := h.Routing().Observation(replica).Instance
	instance.Position = position
	h.UpdateInstance(instance, h.now)
	h.applyEffects()
}

func (h *harness) cancel(request *Request) {
	h.Cancel(request, h.now)
	h.applyEffects()
}

func write(id string) Op { return Op{Kind: OpRun, Text: "w", Write: true, RequestID: id} }
