package httppool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
)

func (m *Machine) dropWire(wire *Wire) {
	if wire.isOver {
		return
	}
	wire.isOver = true
	wire.back.sessions--
	m.emit(Shut{Wire: wire})
}

func (m *Machine) shutIdle(held *back) {
	for _, wire := range held.idle {
		m.dropWire(wire)
	}
	held.idle = nil
}

// Opened takes a connection that was to be opened; isOpen is false where the
// instance could not be reached, and reply then says nothing.
func (m *Machine) Opened(wire *Wire, reply Reply, isOpen bool, now time.Duration) {
	held := wire.back
	held.opening--
	isSame := reply.Birth == held.sight.Info.Birth
	if isOpen && !isSame {
		m.count("sessions_to_reborn", 1)
	}
	one := m.baseOf(held)
	if !isOpen || !isSame || reply.IsRefused || reply.IsFailed {
		m.dropWire(wire)
		m.count("sessions_refused", 1)
		held.rest = min(max(2*held.rest, m.timing.RestFirst), m.timing.RestMost)
		held.restAt = now + held.rest
		m.pump(one, now)
		return
	}
	m.count("sessions_opened", 1)
	held.sight.Answered, held.rest = now, 0
	wire.birth, wire.term = reply.Birth, m.serve.Writer(one.name).Term
	m.spare(wire)
	m.pump(one, now)
}

func (m *Machine) spare(wire *Wire) {
	held := wire.back
	writer := m.serve.Writer(m.baseOf(held).name)
	isPrimary := writer.Primary == held.sight.Info.Name
	isStale := isPrimary && (writer.Phase != model.PhaseOpen || wire.term != writer.Term)
	isReborn := wire.birth != held.sight.Info.Birth
	if wire.isOver {
		return
	}
	if wire.isDead || held.leavingAt != 0 || isStale || isReborn || held.sessions > m.share(held) {
		m.dropWire(wire)
		return
	}
	held.idle = append(held.idle, wire)
}

// Lost tells that a connection has ended. Where a statement is out on it,
// Answered tells the rest.
func (m *Machine) Lost(wire *Wire, now time.Duration) {
	wire.isDead = true
	held := wire.back
	rank := slices.Index(held.idle, wire)
	if rank >= 0 {
		held.idle = slices.Delete(held.idle, rank, rank+1)
		m.dropWire(wire)
	}
	for _, owner := range held.pins {
		if owner.pinned == wire {
			if !owner.isBusy {
				m.loseSession(owner)
			}
			return
		}
	}
}

// Answered takes the end of a request that was sent: its answer, or that
// the connection broke or made no sense.
func (m *Machine) Answered(j *Job, reply Reply, isBroken bool, now time.Duration) {
	one := m.base(j.database)
	if isBroken {
		m.onBroken(j, now)
		m.pump(one, now)
		return
	}
	j.back.sight.Answered = now
	m.score(j, reply, now)
	m.keepWire(j, reply)
	if j.phase == phaseOut {
		m.settleReply(j, one, reply, now)
	}
	m.pump(one, now)
}

func (m *Machine) layGhost(j *Job) bool {
	rank := slices.Index(j.back.ghosts, j)
	if rank >= 0 {
		j.back.ghosts = slices.Delete(j.back.ghosts, rank, rank+1)
		j.back.window.Lay()
	}
	return rank >= 0
}

func (m *Machine) score(j *Job, reply Reply, now time.Duration) {
	if j.isGhost {
		m.layGhost(j)
		return
	}
	outcome := flowcontrol.Answered
	if reply.IsRefused {
		outcome = flowcontrol.Refused
	}
	m.unout(j)
	j.back.window.Done(outcome, now-j.sentAt)
}

func (m *Machine) keepWire(j *Job, reply Reply) {
	wire, owner := j.wire, j.consumer
	if owner.pinned == wire {
		owner.isInside = reply.IsInside
		if owner.isLost || owner.isShut {
			m.loseSession(owner)
			return
		}
		if reply.IsClean {
			m.unpin(owner)
			m.spare(wire)
		}
		return
	}
	if reply.IsClean {
		m.spare(wire)
		return
	}
	isState := j.op.Act == ActBegin || j.op.Act == ActSet || j.op.Act == ActPrepare
	if isState && !j.isTold && !owner.isShut && owner.pinned == nil && !wire.isOver {
		m.pin(owner, wire)
		owner.isInside = reply.IsInside
		return
	}
	m.dropWire(wire)
	m.count("sessions_closed_unclean", 1)
}

func (m *Machine) onBroken(j *Job, now time.Duration) {
	m.count("sessions_broken", 1)
	if !m.layGhost(j) && slices.Contains(j.back.out, j) {
		m.unout(j)
		j.back.window.Done(flowcontrol.Lost, now-j.sentAt)
	}
	if j.consumer.pinned == j.wire {
		m.loseSession(j.consumer)
	}
	m.dropWire(j.wire)
	if j.phase != phaseOut {
		return
	}
	j.phase = phaseEnded
	if j.isLasting() {
		m.settleGo(j.op.Go, idempotency.Unknown, nil, model.Position{}, now)
		m.finish(j, Result{Outcome: OutcomeUnknown, Fault: "the instance's session ended before its answer came", Retry: time.Second}, now)
		return
	}
	m.finish(j, Result{Outcome: OutcomeNot, Fault: "the instance's session ended before its answer came", Retry: 200 * time.Millisecond}, now)
}

func (m *Machine) settleReply(j *Job, one *base, reply Reply, now time.Duration) {
	j.phase = phaseEnded
	name := j.back.sight.Info.Name
	if reply.IsRefused || reply.IsFailed {
		m.settleGo(j.op.Go, idempotency.Not, nil, model.Position{}, now)
		told := Result{Outcome: OutcomeNot, Fault: reply.Error, Cause: CauseFailed, Instance: name}
		if reply.IsRefused {
			told.Cause, told.Retry = "", 200*time.Millisecond
		}
		m.finish(j, told, now)
		return
	}
	if j.op.Act == ActCommit || (j.op.Act == ActRun && j.op.IsWrite && !reply.IsInside) {
		j.phase, j.ranAt, j.position, j.rows = phaseConfirm, now, reply.Position, reply.Rows
		one.confirms = append(one.confirms, j)
		m.settleConfirms(one, now)
		return
	}
	if j.isRead() && reply.Position.IsBefore(j.seen) {
		m.count("reads_gone_back", 1)
		m.finish(j, Result{Outcome: OutcomeNot, Fault: "the instance went back behind where it stood", Retry: 50 * time.Millisecond}, now)
		return
	}
	told := Result{Outcome: OutcomeDone, Rows: reply.Rows, Instance: name, Position: reply.Position}
	if j.isRead() {
		told.Outcome = OutcomeRead
	}
	m.finish(j, told, now)
}

func (m *Machine) settleConfirms(one *base, now time.Duration) {
	if len(one.confirms) == 0 {
		return
	}
	var kept []*Job
	for _, j := range one.confirms {
		verdict := m.serve.Judge(j.database, j.term, j.position, now)
		if verdict == routing.VerdictNone {
			kept = append(kept, j)
			continue
		}
		if verdict == routing.VerdictKept {
			m.count("confirm_us", (now - j.ranAt).Microseconds())
			j.consumer.marks[j.database] = j.consumer.marks[j.database].Later(j.position)
		}
		j.phase = phaseEnded
		m.settleGo(j.op.Go, verdict, j.rows, j.position, now)
		m.finish(j, map[string]Result{
			routing.VerdictKept:    {Outcome: OutcomeKept, Rows: j.rows, Position: j.position, Instance: j.back.sight.Info.Name},
			routing.VerdictUnknown: {Outcome: OutcomeUnknown, Fault: "it ran on a primary that has since lost the writer role", Retry: time.Second},
		}[verdict], now)
	}
	one.confirms = kept
}

func (m *Machine) abandon(j *Job, now time.Duration) {
	if !j.isGhost {
		j.isGhost = true
		j.back.window.Abandon(now - j.sentAt)
		m.unout(j)
		j.back.ghosts = append(j.back.ghosts, j)
	}
	told := Result{Outcome: OutcomeNot, Fault: "no answer from the instance in time", Retry: time.Second}
	if j.isLasting() {
		told = Result{Outcome: OutcomeUnknown, Fault: "passed on, but no answer from the instance in time", Retry: time.Second}
		m.settleGo(j.op.Go, idempotency.Unknown, nil, model.Position{}, now)
	}
	if j.consumer.pinned == j.wire {
		j.consumer.isLost = true
		told.IsClosed = true
	}
	j.phase = phaseEnded
	m.finish(j, told, now)
}

func (m *Machine) abandonAll(held *back, now time.Duration) {
	for _, j := range slices.Clone(held.out) {
		if j.phase == phaseOut {
			m.abandon(j, now)
			m.dropWire(j.wire)
		}
	}
}

func (m *Machine) onWriterMoved(moved routing.Moved, now time.Duration) {
	m.count("writer_moves", 1)
	old := m.back(moved.Before.Primary)
	isFenced := moved.Before.Phase == model.PhaseOpen && old != nil && (moved.After.Phase != model.PhaseOpen || moved.After.Primary != moved.Before.Primary)
	if !isFenced {
		return
	}
	m.shutIdle(old)
	m.abandonAll(old, now)
	for _, held := range slices.Clone(old.pins) {
		held.isLost = true
		if !held.isBusy {
			m.loseSession(held)
		}
	}
}

func (m *Machine) reap(held *back, now time.Duration) {
	for _, j := range slices.Clone(held.ghosts) {
		if now-j.sentAt > m.timing.Reap {
			m.layGhost(j)
			if j.consumer.pinned == j.wire {
				m.loseSession(j.consumer)
			}
			m.dropWire(j.wire)
		}
	}
	if held.leavingAt == 0 || now-held.leavingAt <= m.timing.Grace {
		return
	}
	m.abandonAll(held, now)
	for _, owner := range slices.Clone(held.pins) {
		if !owner.isBusy {
			m.loseSession(owner)
		}
	}
}
