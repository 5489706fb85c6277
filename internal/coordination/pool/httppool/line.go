package httppool

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/balancer"
	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

// Bind finds what a request meets: the binding in force, what its consumer
// must see, and whether its go was made before. Without a lease it waits.
func (m *Machine) Bind(j *Job, now time.Duration) {
	if j.isTold {
		return
	}
	if !m.serve.IsLeased(now) {
		j.phase = phaseLease
		m.leaseless = append(m.leaseless, j)
		return
	}
	set := m.effective(now)
	binding, isBound := set.Find(j.consumer.binding)
	if !isBound {
		m.finish(j, Result{Outcome: m.unsentOutcome(j), Fault: fmt.Sprintf("no binding %q in sequence %d", j.consumer.binding, set.Sequence), Cause: CauseNoBinding}, now)
		return
	}
	j.database, j.fresh, j.sequence = binding.Database, binding.Freshness, set.Sequence
	held := j.consumer
	if held.pinned != nil && m.baseOf(held.pinned.back).name != j.database {
		held.isLost = true
		m.finish(j, Result{Outcome: OutcomeNot, Fault: "the binding moved to another database; the session's state is closed", IsClosed: true}, now)
		return
	}
	j.mark = held.marks[j.database]
	j.isPinned = held.pinned != nil
	j.isStrict = !j.isRead() || j.fresh == 0 || j.isPinned
	isEnd := j.op.Act == ActCommit || j.op.Act == ActRollback
	if (isEnd && !held.isInside && j.op.Act != ActCommit) || (held.isInside && j.op.Act == ActBegin) {
		m.finish(j, noTurn, now)
		return
	}
	if j.isLasting() {
		m.decided(j, m.goes.Decide(j.op.Go, j, now), now)
		return
	}
	m.emit(Admit{Job: j})
}

var noTurn = Result{Outcome: OutcomeNot, Fault: "no transaction is open, or one is open already", Cause: CauseNoTurn}

func (m *Machine) rebind(now time.Duration) {
	if len(m.leaseless) == 0 {
		return
	}
	if !m.serve.IsLeased(now) {
		m.leaseless = slices.DeleteFunc(m.leaseless, func(j *Job) bool { return j.isTold })
		return
	}
	waiting := m.leaseless
	m.leaseless = nil
	for _, j := range waiting {
		m.Bind(j, now)
	}
}

// Join puts a request in its database's line.
func (m *Machine) Join(j *Job, now time.Duration) {
	if j.isTold {
		m.settleGo(j.op.Go, idempotency.Not, nil, model.Position{}, now)
		return
	}
	one := m.base(j.database)
	waiting := one.lineOf(j)
	if waiting.live >= m.timing.Line {
		m.settleGo(j.op.Go, idempotency.Not, nil, model.Position{}, now)
		m.finish(j, Result{Outcome: OutcomeNot, Fault: "the line is full", Retry: m.backAt(j, now)}, now)
		return
	}
	j.phase = phaseLine
	waiting.add(j)
	m.pump(one, now)
}

func (m *Machine) unline(j *Job) {
	j.phase = phaseEnded
	m.base(j.database).lineOf(j).leave()
}

func (m *Machine) pump(one *base, now time.Duration) {
	if m.serve.IsLeased(now) {
		m.pumpWrites(one, now)
		m.pumpReads(one, now)
	}
}

func (m *Machine) pumpWrites(one *base, now time.Duration) {
	writer := m.serve.Writer(one.name)
	if one.turns.live+one.writes.live == 0 || writer.Phase != model.PhaseOpen {
		return
	}
	target := m.back(writer.Primary)
	if target == nil || target.sight.Info.Birth != writer.Birth {
		return
	}
	for _, waiting := range []*line{&one.turns, &one.writes} {
		for j := waiting.first(); j != nil; j = waiting.first() {
			if !target.window.HasRoom() {
				return
			}
			if !m.take(j, target, writer.Term, now) {
				m.shed(target, j, now)
				m.grow(target, waiting.live, now)
				break
			}
		}
	}
}

func (m *Machine) pumpReads(one *base, now time.Duration) {
	if one.reads.live == 0 {
		return
	}
	misses := 0
	for _, j := range one.reads.jobs {
		if misses > 8 {
			break
		}
		if j.phase != phaseLine {
			continue
		}
		target := m.selectBack(one, j, now)
		if target == nil || !m.take(j, target, m.serve.Writer(one.name).Term, now) {
			misses++
		}
	}
	one.reads.first()
}

func (m *Machine) canGrow(held *back, now time.Duration) bool {
	return held.sessions < m.share(held) && now >= held.restAt && held.leavingAt == 0
}

func (m *Machine) selectBack(one *base, j *Job, now time.Duration) *back {
	var choices []balancer.Choice
	var targets []*back
	for _, held := range m.backs {
		if m.bases[held.database] != one || held.leavingAt != 0 {
			continue
		}
		reading := held.window.Read()
		choices = append(choices, balancer.Choice{
			HasRoom: held.window.HasRoom() && (len(held.idle) > 0 || m.canGrow(held, now)), IsNear: held.sight.Info.Zone == m.place.Zone,
			IsFresh:  m.serve.MayRead(held.sight.Info.Name, j.arrived, j.fresh, j.mark, now),
			Pressure: float64(reading.Open+reading.Ghosts) / max(reading.Window, 1), Cal: reading.Cal,
		})
		targets = append(targets, held)
	}
	best := balancer.Select(choices)
	if best < 0 || len(targets[best].idle) > 0 {
		return at(targets, best)
	}
	m.grow(targets[best], one.reads.live, now)
	for rank, held := range targets {
		choices[rank].HasRoom = choices[rank].HasRoom && len(held.idle) > 0
	}
	return at(targets, balancer.Select(choices))
}

func at(targets []*back, rank int) *back {
	if rank < 0 {
		return nil
	}
	return targets[rank]
}

func (m *Machine) grow(target *back, waiting int, now time.Duration) {
	want := min(waiting, target.window.Room())
	for target.opening < want && m.canGrow(target, now) {
		target.opening++
		target.sessions++
		m.emit(Open{Wire: &Wire{back: target}, Address: target.sight.Info.Address})
	}
}

func (m *Machine) shed(target *back, j *Job, now time.Duration) {
	isShort := target.sessions >= m.share(target) && target.opening == 0 && now-j.arrived > m.timing.Shed
	if !isShort {
		return
	}
	var oldest *consumer
	for _, held := range target.pins {
		least := m.timing.Spare
		if now-j.arrived > m.timing.Spare {
			least = m.timing.Shed
		}
		isIdle := !held.isBusy && !held.isInside && now-held.used > least
		if isIdle && (oldest == nil || held.used < oldest.used) {
			oldest = held
		}
	}
	if oldest != nil {
		m.count("sessions_shed", 1)
		m.loseSession(oldest)
	}
}

func (m *Machine) take(j *Job, target *back, term uint64, now time.Duration) bool {
	held := j.consumer
	wire := held.pinned
	if j.isPinned && (wire == nil || wire.back != target || held.isLost) {
		m.loseSession(held)
		m.unline(j)
		m.settleGo(j.op.Go, idempotency.Not, nil, model.Position{}, now)
		m.finish(j, Result{Outcome: OutcomeNot, Fault: "the session's state was lost with its instance", IsClosed: true}, now)
		return true
	}
	if !j.isPinned {
		if len(target.idle) == 0 || target.leavingAt != 0 {
			return false
		}
		wire = target.idle[len(target.idle)-1]
		target.idle = target.idle[:len(target.idle)-1]
	}
	m.unline(j)
	j.wire, j.back, j.term, j.phase, j.seen = wire, target, term, phaseTaken, target.sight.Position
	target.window.Take()
	target.out = append(target.out, j)
	m.emit(Forward{Job: j})
	m.count("admitted", 1)
	m.count("waited_us", (now - j.arrived).Microseconds())
	return true
}

// Pass sends a request to its instance, unless its node may not any more.
func (m *Machine) Pass(j *Job, now time.Duration) {
	if j.phase != phaseTaken {
		return
	}
	isFenced := !m.serve.IsLeased(now) || m.serve.Writer(j.database).Term != j.term || (j.isStrict && !m.serve.MayWrite(j.database, j.term, now))
	if j.isTold || isFenced || j.wire.isDead {
		m.unsend(j, now)
		return
	}
	j.phase, j.sentAt = phaseOut, now
	m.count("passed_on", 1)
	op := j.op
	if j.isStrict {
		op.Term = j.term
	}
	m.emit(Send{Job: j, Wire: j.wire, Op: op})
}

// NotForwarded tells that a request could not be passed on to its instance.
func (m *Machine) NotForwarded(j *Job, now time.Duration) {
	if j.phase == phaseTaken {
		m.unsend(j, now)
	}
}

func (m *Machine) unsend(j *Job, now time.Duration) {
	m.unout(j)
	j.back.window.Done(flowcontrol.Refused, 0)
	wire := j.wire
	j.wire = nil
	if !j.isPinned {
		m.spare(wire)
	}
	if j.isTold {
		j.phase = phaseEnded
		return
	}
	j.phase = phaseLine
	m.base(j.database).lineOf(j).addFirst(j)
	m.count("fenced_before_sending", 1)
	if j.isPinned && wire.isDead {
		j.consumer.isLost = true
		m.pump(m.base(j.database), now)
	}
}

func (m *Machine) unout(j *Job) {
	is := func(other *Job) bool { return other == j }
	j.back.out = slices.DeleteFunc(j.back.out, is)
}
