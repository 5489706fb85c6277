package httppool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

// Opened is a consumer that was let in.
type Opened struct {
	Session  string
	Sequence uint64
	// Marks are those given that tell of databases known here.
	Marks map[string]model.Position
}

func refuse(cause string, retry time.Duration, text string, parts ...any) Result {
	return Result{Cause: cause, Retry: retry, Fault: fmt.Sprintf(text, parts...)}
}

// Open lets a consumer in; false gives the refusal.
func (m *Machine) Open(binding, remote string, marks map[string]model.Position, now time.Duration) (Opened, Result, bool) {
	if isReady, why := m.Ready(now); !isReady {
		return Opened{}, refuse(CauseNotReady, 500*time.Millisecond+m.spread(50*time.Millisecond), "not ready: %s", why), false
	}
	if len(m.consumers) >= m.timing.Consumers {
		return Opened{}, refuse(CauseNotReady, time.Second, "this node has as many sessions as it takes"), false
	}
	set := m.effective(now)
	if _, isBound := set.Find(binding); !isBound {
		return Opened{}, refuse(CauseNoBinding, 0, "no binding %q in sequence %d", binding, set.Sequence), false
	}
	m.ids++
	made := &consumer{id: m.goes.Session(m.ids), binding: binding, remote: remote, marks: map[string]model.Position{}, used: now}
	for database, position := range marks {
		if _, isKnown := m.names.Find(database); isKnown {
			made.marks[database] = position
		}
	}
	m.consumers[made.id] = made
	m.roll = append(m.roll, made)
	m.remotes[remote] = append(m.remotes[remote], made)
	m.goes.Open(made.id)
	m.count("consumers_opened", 1)
	return Opened{Session: made.id, Sequence: set.Sequence, Marks: maps.Clone(made.marks)}, Result{}, true
}

func (m *Machine) spread(step time.Duration) time.Duration {
	m.spreads++
	return time.Duration(m.spreads%16) * step
}

// Close lets a consumer go and gives its marks.
func (m *Machine) Close(session string, now time.Duration) (map[string]model.Position, bool) {
	held, isHeld := m.consumers[session]
	if !isHeld {
		return nil, false
	}
	m.shut(held, now)
	return maps.Clone(held.marks), true
}

// Gone tells that a consumer's connection ended.
func (m *Machine) Gone(remote string, now time.Duration) {
	for _, held := range slices.Clone(m.remotes[remote]) {
		m.count("consumers_gone", 1)
		m.shut(held, now)
	}
}

func (m *Machine) shut(held *consumer, now time.Duration) {
	held.isShut = true
	if !held.isBusy {
		m.loseSession(held)
	}
	m.drop(held, now)
}

func (m *Machine) drop(held *consumer, now time.Duration) {
	if m.consumers[held.id] != held {
		return
	}
	m.goes.Close(held.id, now)
	delete(m.consumers, held.id)
	left := slices.DeleteFunc(m.remotes[held.remote], func(one *consumer) bool { return one == held })
	m.remotes[held.remote] = left
	if len(left) == 0 {
		delete(m.remotes, held.remote)
	}
}

func (m *Machine) pin(held *consumer, wire *Wire) {
	held.pinned = wire
	wire.back.pins = append(wire.back.pins, held)
}

func (m *Machine) unpin(held *consumer) {
	home := held.pinned.back
	home.pins = slices.DeleteFunc(home.pins, func(one *consumer) bool { return one == held })
	held.pinned, held.isInside, held.isLost = nil, false, false
}

func (m *Machine) loseSession(held *consumer) {
	if held.pinned == nil {
		return
	}
	wire := held.pinned
	m.unpin(held)
	m.dropWire(wire)
	held.isShut = true
	m.count("sessions_lost", 1)
}

// Enter takes a request from a consumer. Where it is taken, Bind is next;
// false gives the refusal.
func (m *Machine) Enter(session string, op Op, bound time.Duration, token any, now time.Duration) (*Job, Result, bool) {
	held, isHeld := m.consumers[session]
	if !isHeld || held.isShut {
		m.count("sessions_unknown", 1)
		return nil, refuse(CauseNoSession, 0, "no such session here: open one and come back"), false
	}
	if held.isBusy {
		return nil, refuse(CauseBusy, 0, "the session has a request out"), false
	}
	if bound == 0 {
		bound = m.timing.Deadline
	}
	j := &Job{Token: token, op: op, consumer: held, arrived: now, deadline: now + bound, isStrict: true, isInside: held.isInside}
	if m.isLeaving && !held.isInside {
		told := stopping
		told.Outcome = m.unsentOutcome(j)
		m.shut(held, now)
		told.Marks = maps.Clone(held.marks)
		return nil, told, false
	}
	if m.serve.IsLeased(now) {
		set := m.effective(now)
		binding, isBound := set.Find(held.binding)
		if !isBound {
			return nil, refuse(CauseNoBinding, 0, "no binding %q in sequence %d", held.binding, set.Sequence), false
		}
		j.database, j.fresh = binding.Database, binding.Freshness
	}
	held.isBusy, held.used = true, now
	return j, Result{}, true
}

var stopping = Result{Outcome: OutcomeNot, Fault: "this node is stopping: open a session at another", Retry: 50 * time.Millisecond, IsClosed: true}

func (m *Machine) sweep(now time.Duration) {
	if now-m.swept < time.Second {
		return
	}
	m.swept = now
	m.goes.Sweep(now)
	kept := m.roll[:0]
	for _, held := range m.roll {
		isStuck := held.isInside && !held.isBusy && now-held.used > m.timing.Inside
		if isStuck {
			m.count("transactions_abandoned", 1)
			m.loseSession(held)
		}
		isOld := !held.isBusy && now-held.used > m.timing.Idle
		if isOld || (held.isShut && !held.isBusy && now-held.used > time.Minute) {
			m.loseSession(held)
			m.drop(held, now)
		}
		if m.consumers[held.id] == held {
			kept = append(kept, held)
		}
	}
	clear(m.roll[len(kept):])
	m.roll = kept
}

// Leave makes the node unready and ends what waits in line with a word on
// coming back; transactions that are open go on.
func (m *Machine) Leave(now time.Duration) {
	m.isLeaving = true
	for _, j := range m.leaseless {
		m.GiveUp(j, now)
	}
	for _, one := range m.bases {
		for _, waiting := range []*line{&one.turns, &one.writes, &one.reads} {
			for _, j := range slices.Clone(waiting.jobs) {
				if j.phase == phaseLine && !j.consumer.isInside {
					m.unline(j)
					m.settleGo(j.op.Go, idempotency.Not, nil, model.Position{}, now)
					m.finish(j, stopping, now)
				}
			}
		}
	}
}

// Busy counts the consumers with a request out or a transaction open.
func (m *Machine) Busy() int {
	count := 0
	for _, held := range m.roll {
		if m.consumers[held.id] == held && (held.isBusy || held.isInside) {
			count++
		}
	}
	return count
}

// Part shuts every connection that a consumer holds.
func (m *Machine) Part() int {
	for _, held := range m.roll {
		m.loseSession(held)
	}
	return len(m.consumers)
}
