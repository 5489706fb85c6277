package httppool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

type harness struct {
	*Machine
	now         time.Duration
	results     map[string]Result
	sent        []Send
	opens       []OpenConn
	lookups     []Lookup
	closedConns []*Conn
	slow        map[string]bool
	stamp       uint64
	phase       string
}

func newHarness(connections int) *harness {
	h := &harness{now: time.Hour, results: map[string]Result{}, slow: map[string]bool{}, phase: model.PhaseOpen}
	h.Machine = New(Node{Name: "d1", Zone: "za", Incarnation: "1", Weight: 1}, DefaultTiming(), func(string, int64) {})
	for _, database := range []string{"x", "y"} {
		for at, role := range []string{model.RolePrimary, model.RoleReplica} {
			name := fmt.Sprintf("%s%d", database, at)
			h.UpdateInstance(model.Instance{Name: name, Database: database, Address: name, Role: role, Term: 1, Incarnation: "b", Connections: connections, Slots: 4}, h.now)
		}
	}
	h.update()
	return h
}

func (h *harness) update() {
	h.stamp++
	doc := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: h.stamp}, Writers: map[string]model.WriterRole{}, Sets: []model.BindingSet{{
		Sequence: 1, EffectiveAt: 1, Bindings: []model.Binding{{Name: "x", Database: "x"}, {Name: "y", Database: "y"}},
	}}}
	for _, database := range []string{"x", "y"} {
		replica := map[string]string{database + "1": "b"}
		doc.Writers[database] = model.WriterRole{
			Database: database, Term: 1, Primary: database + "0", PrimaryIncarnation: "b", Phase: h.phase, RequiredReplicas: replica, Candidates: replica,
		}
	}
	record := consensus.Record{Epoch: 1, Primary: "c1"}
	h.ApplyUpdate(distribution.Update{FromPrimary: true, Record: record, LeaseDuration: 1600 * time.Millisecond, PrimaryTime: int64(h.now), Snapshot: &doc}, h.now, h.now)
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
	if tell, ok := effect.(Respond); ok {
		h.results[tell.Request.Token.(string)] = tell.Result
	}
	if admit, ok := effect.(Enqueue); ok {
		h.Enqueue(admit.Request, h.now)
	}
	if forward, ok := effect.(Forward); ok {
		h.Forward(forward.Request, h.now)
	}
	if send, ok := effect.(Send); ok {
		h.sent = append(h.sent, send)
	}
	if seek, ok := effect.(Lookup); ok {
		h.lookups = append(h.lookups, seek)
	}
	if shut, ok := effect.(CloseConn); ok {
		h.closedConns = append(h.closedConns, shut.Conn)
	}
	if open, ok := effect.(OpenConn); ok {
		if h.slow[open.Address] {
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
	opened, refusal, _ := h.OpenSession(binding, remote, nil, h.now)
	So(refusal.Error, ShouldBeEmpty)
	return opened.ID
}

func (h *harness) accept(sessionID, token string, op Op, timeout time.Duration) *Request {
	request, refusal, accepted := h.Accept(sessionID, op, timeout, token, h.now)
	if !accepted {
		h.results[token] = refusal
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

func (h *harness) cancel(request *Request) {
	h.Cancel(request, h.now)
	h.applyEffects()
}

func write(id string) Op { return Op{Kind: OpRun, Text: "w", Write: true, RequestID: id} }

func TestDeadlineInEachPhase(t *testing.T) {
	Convey("A deadline gets its final answer at once in each phase, with what is known and when to come back", t, func() {
		phases := []struct {
			name    string
			outcome Outcome
			reach   func(*harness, string, string) *Request
		}{
			{"entered", OutcomeNotCommitted, func(h *harness, sessionID, id string) *Request {
				return h.accept(sessionID, "t", write(id), time.Second)
			}},
			{"without a lease", OutcomeNotCommitted, func(h *harness, sessionID, id string) *Request {
				h.phase = ""
				h.advance(2 * time.Second)
				return h.submit(sessionID, "t", write(id))
			}},
			{"asking another node", OutcomeUnknown, func(h *harness, sessionID, _ string) *Request { return h.submit(sessionID, "t", write("d2~1~1.1")) }},
			{"joined to its first", OutcomeUnknown, func(h *harness, sessionID, id string) *Request {
				h.submit(h.openSession("x", "other"), "first", write(id))
				return h.submit(sessionID, "t", write(id))
			}},
			{"in line", OutcomeNotCommitted, func(h *harness, sessionID, id string) *Request {
				h.phase = model.PhaseClosing
				h.update()
				return h.submit(sessionID, "t", write(id))
			}},
			{"out", OutcomeUnknown, func(h *harness, sessionID, id string) *Request { return h.submit(sessionID, "t", write(id)) }},
			{"not yet shown safe", OutcomeUnknown, func(h *harness, sessionID, id string) *Request {
				request := h.submit(sessionID, "t", write(id))
				h.reply(Reply{Clean: true, Position: model.Position{Term: 1, Index: 9}})
				return request
			}},
			{"a read that is out", OutcomeNotCommitted, func(h *harness, sessionID, _ string) *Request {
				return h.submit(sessionID, "t", Op{Kind: OpRun, Text: "r"})
			}},
		}
		for _, one := range phases {
			h := newHarness(8)
			sessionID := h.openSession("x", "a")
			request := one.reach(h, sessionID, sessionID+".1")
			_, responded := h.results["t"]
			SoMsg(one.name, responded, ShouldBeFalse)
			h.cancel(request)
			result := h.results["t"]
			SoMsg(one.name, result.Outcome, ShouldEqual, one.outcome)
			SoMsg(one.name, result.RetryAfter, ShouldBeGreaterThan, 0)
			_, _, accepted := h.Accept(sessionID, write(sessionID+".2"), 0, "next", h.now)
			SoMsg(one.name+": the session goes on", accepted, ShouldBeTrue)
		}
	})
	Convey("A go whose request was given up before it was bound is new to its repeat", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		request := h.accept(sessionID, "t", write(sessionID+".1"), time.Second)
		h.cancel(request)
		h.Bind(request, h.now)
		h.applyEffects()
		So(h.sent, ShouldBeEmpty)
		h.submit(sessionID, "again", write(sessionID+".1"))
		So(len(h.sent), ShouldEqual, 1)
	})
	Convey("One given up on its way to the line ends its go, and is not sent", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		request := h.accept(sessionID, "t", write(sessionID+".1"), time.Second)
		h.Bind(request, h.now)
		h.Cancel(request, h.now)
		h.applyEffects()
		So(h.sent, ShouldBeEmpty)
		h.submit(sessionID, "again", write(sessionID+".1"))
		So(h.results["again"].Outcome, ShouldEqual, OutcomeNotCommitted)
	})
}

func TestOneBadPeerCostsOnlyItsOwn(t *testing.T) {
	Convey("An instance that swallows connections holds no other database, nor more than its share", t, func() {
		h := newHarness(8)
		h.slow["x0"] = true
		for at := range 50 {
			sessionID := h.openSession("x", fmt.Sprint("x", at))
			h.submit(sessionID, fmt.Sprint("x", at), write(sessionID+".1"))
		}
		So(h.sent, ShouldBeEmpty)
		So(len(h.opens), ShouldBeBetween, 0, 5)
		sessionID := h.openSession("y", "y")
		h.submit(sessionID, "y", write(sessionID+".1"))
		So(len(h.sent), ShouldEqual, 1)
	})
	Convey("Repeats to a node that does not answer are bounded, wait in order, and hold no others", t, func() {
		h := newHarness(8)
		most := DefaultTiming().MaxLookups
		for at := range most + 30 {
			h.submit(h.openSession("x", fmt.Sprint(at)), fmt.Sprint(at), write(fmt.Sprintf("d2~1~%d.1", at)))
		}
		So(len(h.lookups), ShouldEqual, most)
		h.submit(h.openSession("x", "other"), "other", write("d3~1~1.1"))
		So(h.lookups[most].Node, ShouldEqual, "d3")
		h.LookupDone(h.lookups[0].Request, "d2", idempotency.Status{}, false, h.now)
		h.applyEffects()
		So(h.results["0"].Outcome, ShouldEqual, OutcomeUnknown)
		So(h.lookups[most+1].Request.RequestID(), ShouldEqual, fmt.Sprintf("d2~1~%d.1", most))
	})
	Convey("A statement is not sent once its term is closed between its line and its instance", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		request := h.accept(sessionID, "t", write(sessionID+".1"), time.Second)
		h.Bind(request, h.now)
		h.Enqueue(request, h.now)
		effects := h.Effects()
		for _, effect := range effects {
			if open, ok := effect.(OpenConn); ok {
				h.ConnOpened(open.Conn, Reply{Incarnation: "b", Clean: true}, true, h.now)
			}
		}
		forwards := h.Effects()
		h.phase = model.PhaseClosing
		h.update()
		for _, effect := range forwards {
			h.applyEffect(effect)
		}
		h.applyEffects()
		So(h.sent, ShouldBeEmpty)
		_, responded := h.results["t"]
		So(responded, ShouldBeFalse)
	})
}

func TestStateOfSessions(t *testing.T) {
	hold := func(h *harness, sessionID, token string, op Op, inTransaction bool) {
		h.submit(sessionID, token, op)
		h.reply(Reply{InTransaction: inTransaction})
	}
	Convey("A connection with state is its consumer's alone, and is shut when the consumer goes, in or between statements", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		hold(h, sessionID, "set", Op{Kind: OpSet, Name: "app", Value: "v"}, false)
		h.submit(sessionID, "read", Op{Kind: OpRun, Text: "r"})
		mine := h.sent[0].Conn
		other := h.openSession("x", "b")
		h.submit(other, "other", write(other+".1"))
		So(h.sent[1].Conn != mine, ShouldBeTrue)
		h.reply(Reply{})
		h.ClientLost("a", h.now)
		h.applyEffects()
		So(slices.Contains(h.closedConns, mine), ShouldBeTrue)
		h.submit(other, "more", Op{Kind: OpRun, Text: "r"})
		for _, send := range h.sent {
			So(send.Conn != mine, ShouldBeTrue)
		}
	})
	Convey("One left with state by a statement that should leave none is shut, not reused", t, func() {
		h := newHarness(8)
		sessionID := h.openSession("x", "a")
		h.submit(sessionID, "w", write(sessionID+".1"))
		conn := h.sent[0].Conn
		h.reply(Reply{Clean: false, Position: model.Position{Term: 1, Index: 1}})
		So(slices.Contains(h.closedConns, conn), ShouldBeTrue)
	})
	Convey("State that lies idle gives way when others wait; a transaction does not", t, func() {
		h := newHarness(4)
		idle, inside := h.openSession("x", "idle"), h.openSession("x", "inside")
		hold(h, idle, "set", Op{Kind: OpSet, Name: "app", Value: "v"}, false)
		hold(h, inside, "begin", Op{Kind: OpBegin}, true)
		waiting := h.openSession("x", "waiting")
		h.submit(waiting, "w", write(waiting+".1"))
		So(h.sent, ShouldBeEmpty)
		h.advance(600 * time.Millisecond)
		So(h.sent, ShouldBeEmpty)
		h.advance(400 * time.Millisecond)
		So(len(h.sent), ShouldEqual, 1)
		h.submit(idle, "gone", Op{Kind: OpRun, Text: "r"})
		So(h.results["gone"].Cause, ShouldEqual, ErrNoSession)
		another := h.openSession("x", "another")
		h.submit(another, "v", write(another+".1"))
		h.advance(2500 * time.Millisecond)
		So(len(h.sent), ShouldEqual, 1)
		h.submit(inside, "still", Op{Kind: OpRollback})
		So(h.results["still"].Cause, ShouldBeNil)
		So(len(h.sent), ShouldEqual, 2)
	})
}
