package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/lineproto"
)

func (m *Machine) shutIdle(held *back, now time.Duration) {
	for _, conn := range slices.Clone(held.idle) {
		m.shut(conn, now)
	}
}

// recycle makes a connection idle, unless it should not go on.
func (m *Machine) recycle(conn *Conn, now time.Duration) {
	held := conn.back
	if conn.state == connOver {
		return
	}
	conn.state, conn.leg = connIdle, nil
	if (held.leavingAt != 0 && !m.isHead(held)) || held.info.IsGone || len(held.conns) > held.share.Most {
		m.shut(conn, now)
		return
	}
	conn.isSet, conn.rested = false, now
	held.idle = append(held.idle, conn)
}

func (m *Machine) recycleState(conn *Conn, state byte, now time.Duration) {
	if state != lineproto.StateIdle {
		m.shut(conn, now)
		return
	}
	m.recycle(conn, now)
}

// shut closes a connection of ours.
func (m *Machine) shut(conn *Conn, now time.Duration) {
	if conn.state == connOver {
		return
	}
	m.drop(conn)
	m.emit(Shut{Conn: conn})
	if l := conn.leg; l != nil {
		conn.leg = nil
		conn.back.window.Done(flowcontrol.Lost, m.sized(l.job, now-l.sentAt))
	}
}

func (m *Machine) drop(conn *Conn) {
	held := conn.back
	if conn.state == connOpening {
		held.opening--
	}
	conn.state = connOver
	same := func(other *Conn) bool { return other == conn }
	held.conns = slices.DeleteFunc(held.conns, same)
	held.idle = slices.DeleteFunc(held.idle, same)
}

// Lost tells that a connection has ended by itself, or makes no sense.
func (m *Machine) Lost(conn *Conn, now time.Duration) {
	if conn.state == connOver {
		return
	}
	held := conn.back
	isOpening := conn.state == connOpening
	if isOpening {
		held.refused++
		m.count("connections_refused", 1)
		m.rest(held, now)
	}
	m.drop(conn)
	m.emit(Shut{Conn: conn})
	l := conn.leg
	conn.leg = nil
	if l != nil {
		held.window.Done(flowcontrol.Lost, m.sized(l.job, now-l.sentAt))
		held.grade.Note(true, now)
	}
	owner := conn.owner
	conn.owner = nil
	if l != nil && !l.isDropped && l.job.phase == phaseOut {
		m.count("statements_cut", 1)
		m.onCut(l, now)
	} else if owner != nil && owner.turn != nil && owner.turn.conn == conn {
		owner.turn.conn = nil
		m.loseTurn(owner, now)
	}
	if !isOpening {
		held.restAt = max(held.restAt, now)
	}
	m.pump(m.baseOf(held), now)
}

func (m *Machine) onCut(l *leg, now time.Duration) {
	j := l.job
	if j.mayLast() && l.isBegun {
		if j.turn != nil {
			j.turn.conn = nil
		}
		m.unsure(j, "the instance's connection ended before its answer came", now)
		return
	}
	if j.turn != nil && !l.isBegun {
		j.turn.conn = nil
		m.again(j, now)
		return
	}
	if j.turn != nil {
		j.turn.conn, j.turn.isLost = nil, true
		m.abortTurn(j, now)
		return
	}
	if l.hasTwin() {
		l.isDropped = true
		return
	}
	j.avoid = l.conn.back
	m.again(j, now)
}

// hasTwin says whether the statement is out at another instance too.
func (l *leg) hasTwin() bool {
	return slices.ContainsFunc(l.job.legs, func(other *leg) bool {
		return other != l && !other.isDropped && other.conn.state == connBusy
	})
}

// expire ends what its bound has passed for: statements and openings.
func (m *Machine) expire(now time.Duration) {
	for _, j := range slices.Clone(m.leaseless) {
		if j.phase == phaseLease && now >= min(j.arrived+m.timing.Away, m.patience(j)) {
			m.late(j, now)
		}
	}
	for _, one := range m.bases {
		for _, list := range []*[]*Job{&one.turns, &one.writes, &one.reads, &one.out, &one.confirms} {
			for _, j := range slices.Clone(*list) {
				isAway := j.phase == phaseLine && now >= j.arrived+m.timing.Away && m.isAway(one, j, now)
				isLong := j.phase == phaseLine && now >= m.patience(j)
				if j.phase != phaseEnded && (now >= j.deadline || isAway || isLong) {
					m.late(j, now)
				}
			}
		}
		if one.closedAt != 0 && now-one.closedAt >= m.timing.Settle {
			for _, j := range m.stranded(one) {
				m.cut(j, now)
			}
		}
	}
}

// cut ends a commit that is out at a primary that is one no more.
func (m *Machine) cut(j *Job, now time.Duration) {
	for _, held := range j.legs {
		if held.conn.state == connBusy && held.conn.leg == held {
			held.isDropped = true
			held.conn.owner = nil
			m.shut(held.conn, now)
		}
	}
	if j.turn != nil {
		j.turn.conn = nil
	}
	m.unsure(j, "its primary lost the writer role before it answered", now)
}

// patience is until when a statement may wait in line: what is given up on is
// told so while its client has time for another try. A transaction that has
// begun waits to the end, since its work would be lost.
func (m *Machine) patience(j *Job) time.Duration {
	if j.turn != nil && j.turn.conn != nil {
		return j.deadline
	}
	return j.arrived + time.Duration(float64(j.deadline-j.arrived)*m.timing.Patience)
}

// isAway says whether what a statement in line waits for is not there at all:
// the lease, or the writer role.
func (m *Machine) isAway(one *base, j *Job, now time.Duration) bool {
	_, _, isOpen := m.writer(one)
	return !m.serve.IsLeased(now) || (j.isStrict && !isOpen)
}

var lates map[phase]func(*Machine, *Job, time.Duration)

func init() {
	lates = map[phase]func(*Machine, *Job, time.Duration){
		phaseLease: (*Machine).lateInLine,
		phaseLine:  (*Machine).lateInLine,
		phaseOut:   (*Machine).lateOut,
		phaseConfirm: func(m *Machine, j *Job, now time.Duration) {
			m.unsure(j, "it ran, but the lease to say so did not come in time", now)
		},
	}
}

func (m *Machine) late(j *Job, now time.Duration) {
	m.count("timeouts", 1)
	lates[j.phase](m, j, now)
}

func (m *Machine) lateInLine(j *Job, now time.Duration) {
	code := lineproto.CodeBusy
	if j.turn != nil && j.turn.conn != nil {
		code = lineproto.CodeAborted
	}
	m.refuse(j, code, "no room in time; come back in 200 ms", now)
}

func (m *Machine) lateOut(j *Job, now time.Duration) {
	if j.mayLast() && j.isSent() {
		for _, held := range j.legs {
			m.abandon(held, now)
		}
		if j.turn != nil {
			j.turn.conn = nil
		}
		m.unsure(j, "no answer from the instance in time", now)
		return
	}
	for _, held := range j.legs {
		m.abandon(held, now)
	}
	if j.turn != nil {
		j.turn.conn, j.turn.isLost = nil, true
		m.abortTurn(j, now)
		return
	}
	m.refuse(j, lineproto.CodeTimeout, "no answer from the instance in time", now)
}

// abandon closes the connection of a statement that nobody waits for.
func (m *Machine) abandon(held *leg, now time.Duration) {
	held.isDropped = true
	if held.conn.state == connBusy && held.conn.leg == held {
		held.conn.owner = nil
		m.shut(held.conn, now)
	}
}

// tend looks after an instance's connections.
func (m *Machine) tend(held *back, now time.Duration) {
	for _, conn := range slices.Clone(held.conns) {
		isStuck := conn.state == connOpening && now-conn.opened > m.timing.Open
		isDead := conn.state == connBusy && conn.leg != nil && conn.leg.isDropped && now-conn.leg.sentAt > m.timing.Reap
		if isStuck {
			m.Lost(conn, now)
		}
		if isDead {
			m.shut(conn, now)
		}
	}
	m.giveBack(held, now)
	if !m.isSpent(held, now) {
		return
	}
	m.shutIdle(held, now)
	for _, conn := range slices.Clone(held.conns) {
		if conn.owner != nil {
			m.loseTurn(conn.owner, now)
		}
	}
}

// giveBack closes what rests over the node's rights.
func (m *Machine) giveBack(held *back, now time.Duration) {
	if !held.share.IsScarce() {
		return
	}
	for _, conn := range slices.Clone(held.idle) {
		if len(held.conns) > held.share.Kept && now-conn.rested >= m.timing.Spare {
			m.count("connections_given_back", 1)
			m.shut(conn, now)
		}
	}
}

// isSpent says whether an instance has been leaving for so long that nothing
// more is sent there.
func (m *Machine) isSpent(held *back, now time.Duration) bool {
	return held.leavingAt != 0 && now-held.leavingAt >= m.timing.Leaving
}

// IsOver says whether the machine has given the connection up.
func (c *Conn) IsOver() bool { return c.state == connOver }
