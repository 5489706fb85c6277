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

type rig struct {
	*Machine
	now    time.Duration
	told   map[string]Result
	sent   []Send
	opens  []Open
	seeks  []Seek
	shuts  []*Wire
	high   model.Position
	isSlow map[string]bool
	stamp  uint64
	phase  string
}

func newRig(connections int) *rig {
	r := &rig{now: time.Hour, told: map[string]Result{}, isSlow: map[string]bool{}, phase: model.PhaseOpen}
	r.Machine = New(Place{Name: "d1", Zone: "za", Birth: "1", Beta: 1}, DefaultTiming(), func(string, int64) {})
	for _, database := range []string{"x", "y"} {
		for at, role := range []string{model.RolePrimary, model.RoleReplica} {
			name := fmt.Sprintf("%s%d", database, at)
			r.Announced(model.Instance{Name: name, Database: database, Address: name, Role: role, Term: 1, Birth: "b", Connections: connections, Slots: 4}, r.now)
		}
	}
	r.news()
	return r
}

func (r *rig) news() {
	r.stamp++
	doc := model.Doc{Stamp: store.Stamp{Epoch: 1, Sequence: r.stamp}, Writers: map[string]model.Writer{}, Sets: []model.Set{{
		Sequence: 1, Moment: 1, Bindings: []model.Binding{{Name: "x", Database: "x"}, {Name: "y", Database: "y"}},
	}}}
	for _, database := range []string{"x", "y"} {
		replica := map[string]string{database + "1": "b"}
		doc.Writers[database] = model.Writer{
			Database: database, Term: 1, Primary: database + "0", Birth: "b", Phase: r.phase, Required: replica, Candidates: replica,
		}
	}
	record := consensus.Record{Epoch: 1, Primary: "c1"}
	r.Took(distribution.News{IsPrimary: true, Record: record, Lease: 1600 * time.Millisecond, Wall: int64(r.now), Doc: &doc}, r.now, r.now)
	r.flow()
}

func (r *rig) flow() {
	for effects := r.Effects(); len(effects) > 0; effects = r.Effects() {
		for _, effect := range effects {
			r.carry(effect)
		}
	}
}

func (r *rig) carry(effect Effect) {
	if tell, isOne := effect.(Tell); isOne {
		r.told[tell.Job.Token.(string)] = tell.Result
	}
	if admit, isOne := effect.(Admit); isOne {
		r.Join(admit.Job, r.now)
	}
	if forward, isOne := effect.(Forward); isOne {
		r.Pass(forward.Job, r.now)
	}
	if send, isOne := effect.(Send); isOne {
		r.sent = append(r.sent, send)
	}
	if seek, isOne := effect.(Seek); isOne {
		r.seeks = append(r.seeks, seek)
	}
	if shut, isOne := effect.(Shut); isOne {
		r.shuts = append(r.shuts, shut.Wire)
	}
	if open, isOne := effect.(Open); isOne {
		if r.isSlow[open.Address] {
			r.opens = append(r.opens, open)
			return
		}
		r.Opened(open.Wire, Reply{Birth: "b", IsClean: true}, true, r.now)
	}
}

func (r *rig) pass(span time.Duration) {
	for until := r.now + span; r.now < until; {
		r.now += 20 * time.Millisecond
		if r.phase != "" && (r.now/(20*time.Millisecond))%25 == 0 {
			r.news()
		}
		r.Beat(1, 1, r.now)
		r.flow()
	}
}

func (r *rig) open(binding, remote string) string {
	opened, refusal, _ := r.Open(binding, remote, nil, r.now)
	So(refusal.Fault, ShouldBeEmpty)
	return opened.Session
}

func (r *rig) enter(session, token string, op Op, bound time.Duration) *Job {
	j, refusal, isIn := r.Enter(session, op, bound, token, r.now)
	if !isIn {
		r.told[token] = refusal
	}
	return j
}

func (r *rig) ask(session, token string, op Op) *Job {
	j := r.enter(session, token, op, time.Second)
	if j != nil {
		r.Bind(j, r.now)
		r.flow()
	}
	return j
}

func (r *rig) reply(reply Reply) {
	send := r.sent[0]
	r.sent = r.sent[1:]
	reply.Birth = "b"
	r.Answered(send.Job, reply, false, r.now)
	r.flow()
}

func (r *rig) giveUp(j *Job) {
	r.GiveUp(j, r.now)
	r.flow()
}

func write(id string) Op { return Op{Act: ActRun, Text: "w", IsWrite: true, Go: id} }

func TestDeadlineInEachPhase(t *testing.T) {
	Convey("A deadline gets its final answer at once in each phase, with what is known and when to come back", t, func() {
		phases := []struct {
			name    string
			outcome string
			reach   func(*rig, string, string) *Job
		}{
			{"entered", OutcomeNot, func(r *rig, session, id string) *Job { return r.enter(session, "t", write(id), time.Second) }},
			{"without a lease", OutcomeNot, func(r *rig, session, id string) *Job {
				r.phase = ""
				r.pass(2 * time.Second)
				return r.ask(session, "t", write(id))
			}},
			{"asking another node", OutcomeUnknown, func(r *rig, session, _ string) *Job { return r.ask(session, "t", write("d2~1~1.1")) }},
			{"joined to its first", OutcomeUnknown, func(r *rig, session, id string) *Job {
				r.ask(r.open("x", "other"), "first", write(id))
				return r.ask(session, "t", write(id))
			}},
			{"in line", OutcomeNot, func(r *rig, session, id string) *Job {
				r.phase = model.PhaseClosing
				r.news()
				return r.ask(session, "t", write(id))
			}},
			{"out", OutcomeUnknown, func(r *rig, session, id string) *Job { return r.ask(session, "t", write(id)) }},
			{"not yet shown safe", OutcomeUnknown, func(r *rig, session, id string) *Job {
				j := r.ask(session, "t", write(id))
				r.reply(Reply{IsClean: true, Position: model.Position{Term: 1, Index: 9}})
				return j
			}},
			{"a read that is out", OutcomeNot, func(r *rig, session, _ string) *Job { return r.ask(session, "t", Op{Act: ActRun, Text: "r"}) }},
		}
		for _, one := range phases {
			r := newRig(8)
			session := r.open("x", "a")
			j := one.reach(r, session, session+".1")
			_, isTold := r.told["t"]
			SoMsg(one.name, isTold, ShouldBeFalse)
			r.giveUp(j)
			told := r.told["t"]
			SoMsg(one.name, told.Outcome, ShouldEqual, one.outcome)
			SoMsg(one.name, told.Retry, ShouldBeGreaterThan, 0)
			_, _, isIn := r.Enter(session, write(session+".2"), 0, "next", r.now)
			SoMsg(one.name+": the session goes on", isIn, ShouldBeTrue)
		}
	})
	Convey("A go whose request was given up before it was bound is new to its repeat", t, func() {
		r := newRig(8)
		session := r.open("x", "a")
		j := r.enter(session, "t", write(session+".1"), time.Second)
		r.giveUp(j)
		r.Bind(j, r.now)
		r.flow()
		So(r.sent, ShouldBeEmpty)
		r.ask(session, "again", write(session+".1"))
		So(len(r.sent), ShouldEqual, 1)
	})
	Convey("One given up on its way to the line ends its go, and is not sent", t, func() {
		r := newRig(8)
		session := r.open("x", "a")
		j := r.enter(session, "t", write(session+".1"), time.Second)
		r.Bind(j, r.now)
		r.GiveUp(j, r.now)
		r.flow()
		So(r.sent, ShouldBeEmpty)
		r.ask(session, "again", write(session+".1"))
		So(r.told["again"].Outcome, ShouldEqual, OutcomeNot)
	})
}

func TestOneBadPeerCostsOnlyItsOwn(t *testing.T) {
	Convey("An instance that swallows connections holds no other database, nor more than its share", t, func() {
		r := newRig(8)
		r.isSlow["x0"] = true
		for at := range 50 {
			session := r.open("x", fmt.Sprint("x", at))
			r.ask(session, fmt.Sprint("x", at), write(session+".1"))
		}
		So(r.sent, ShouldBeEmpty)
		So(len(r.opens), ShouldBeBetween, 0, 5)
		session := r.open("y", "y")
		r.ask(session, "y", write(session+".1"))
		So(len(r.sent), ShouldEqual, 1)
	})
	Convey("Repeats to a node that does not answer are bounded, wait in order, and hold no others", t, func() {
		r := newRig(8)
		most := DefaultTiming().Seeks
		for at := range most + 30 {
			r.ask(r.open("x", fmt.Sprint(at)), fmt.Sprint(at), write(fmt.Sprintf("d2~1~%d.1", at)))
		}
		So(len(r.seeks), ShouldEqual, most)
		r.ask(r.open("x", "other"), "other", write("d3~1~1.1"))
		So(r.seeks[most].Target, ShouldEqual, "d3")
		r.Heard(r.seeks[0].Job, "d2", idempotency.Answer{}, false, r.now)
		r.flow()
		So(r.told["0"].Outcome, ShouldEqual, OutcomeUnknown)
		So(r.seeks[most+1].Job.Go(), ShouldEqual, fmt.Sprintf("d2~1~%d.1", most))
	})
	Convey("A statement is not sent once its term is closed between its line and its instance", t, func() {
		r := newRig(8)
		session := r.open("x", "a")
		j := r.enter(session, "t", write(session+".1"), time.Second)
		r.Bind(j, r.now)
		r.Join(j, r.now)
		effects := r.Effects()
		for _, effect := range effects {
			if open, isOne := effect.(Open); isOne {
				r.Opened(open.Wire, Reply{Birth: "b", IsClean: true}, true, r.now)
			}
		}
		forwards := r.Effects()
		r.phase = model.PhaseClosing
		r.news()
		for _, effect := range forwards {
			r.carry(effect)
		}
		r.flow()
		So(r.sent, ShouldBeEmpty)
		_, isTold := r.told["t"]
		So(isTold, ShouldBeFalse)
	})
}

func TestStateOfSessions(t *testing.T) {
	hold := func(r *rig, session, token string, op Op, isInside bool) {
		r.ask(session, token, op)
		r.reply(Reply{IsInside: isInside})
	}
	Convey("A connection with state is its consumer's alone, and is shut when the consumer goes, in or between statements", t, func() {
		r := newRig(8)
		session := r.open("x", "a")
		hold(r, session, "set", Op{Act: ActSet, Name: "app", Value: "v"}, false)
		r.ask(session, "read", Op{Act: ActRun, Text: "r"})
		mine := r.sent[0].Wire
		other := r.open("x", "b")
		r.ask(other, "other", write(other+".1"))
		So(r.sent[1].Wire != mine, ShouldBeTrue)
		r.reply(Reply{})
		r.Gone("a", r.now)
		r.flow()
		So(slices.Contains(r.shuts, mine), ShouldBeTrue)
		r.ask(other, "more", Op{Act: ActRun, Text: "r"})
		for _, send := range r.sent {
			So(send.Wire != mine, ShouldBeTrue)
		}
	})
	Convey("One left with state by a statement that should leave none is shut, not reused", t, func() {
		r := newRig(8)
		session := r.open("x", "a")
		r.ask(session, "w", write(session+".1"))
		wire := r.sent[0].Wire
		r.reply(Reply{IsClean: false, Position: model.Position{Term: 1, Index: 1}})
		So(slices.Contains(r.shuts, wire), ShouldBeTrue)
	})
	Convey("State that lies idle gives way when others wait; a transaction does not", t, func() {
		r := newRig(4)
		idle, inside := r.open("x", "idle"), r.open("x", "inside")
		hold(r, idle, "set", Op{Act: ActSet, Name: "app", Value: "v"}, false)
		hold(r, inside, "begin", Op{Act: ActBegin}, true)
		waiting := r.open("x", "waiting")
		r.ask(waiting, "w", write(waiting+".1"))
		So(r.sent, ShouldBeEmpty)
		r.pass(600 * time.Millisecond)
		So(r.sent, ShouldBeEmpty)
		r.pass(400 * time.Millisecond)
		So(len(r.sent), ShouldEqual, 1)
		r.ask(idle, "gone", Op{Act: ActRun, Text: "r"})
		So(r.told["gone"].Cause, ShouldEqual, CauseNoSession)
		another := r.open("x", "another")
		r.ask(another, "v", write(another+".1"))
		r.pass(2500 * time.Millisecond)
		So(len(r.sent), ShouldEqual, 1)
		r.ask(inside, "still", Op{Act: ActRollback})
		So(r.told["still"].Cause, ShouldBeEmpty)
		So(len(r.sent), ShouldEqual, 2)
	})
}
