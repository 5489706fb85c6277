package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/lineproto"
)

func (p *Pool) closeIdle(held *backend, now time.Duration) {
	for _, conn := range slices.Clone(held.idle) {
		p.closeConn(conn, now)
	}
}

// recycle makes a connection idle, unless it should not go on.
func (p *Pool) release(conn *Conn, now time.Duration) {
	held := conn.backend
	if conn.state == connClosed {
		return
	}
	conn.state, conn.attempt = connIdle, nil
	if (held.drainingSince != 0 && !p.isPrimary(held)) || held.info.Stopped || len(held.conns) > held.quota.MaxOpen {
		p.closeConn(conn, now)
		return
	}
	conn.changed, conn.idleSince = false, now
	held.idle = append(held.idle, conn)
}

func (p *Pool) releaseInState(conn *Conn, state byte, now time.Duration) {
	if state != lineproto.StateIdle {
		p.closeConn(conn, now)
		return
	}
	p.release(conn, now)
}

// shut closes a connection of ours.
func (p *Pool) closeConn(conn *Conn, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	p.removeConn(conn)
	p.emit(Disconnect{Conn: conn})
	if l := conn.attempt; l != nil {
		conn.attempt = nil
		conn.backend.window.Release(flowcontrol.Lost, p.normalizedLatency(l.request, now-l.sentAt))
	}
}

func (p *Pool) removeConn(conn *Conn) {
	held := conn.backend
	if conn.state == connOpening {
		held.opening--
	}
	conn.state = connClosed
	same := func(other *Conn) bool { return other == conn }
	held.conns = slices.DeleteFunc(held.conns, same)
	held.idle = slices.DeleteFunc(held.idle, same)
}

// Lost tells that a connection has ended by itself, or makes no sense.
func (p *Pool) ConnectionLost(conn *Conn, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	held := conn.backend
	isOpening := conn.state == connOpening
	if isOpening {
		held.refusals++
		p.count("connections_refused", 1)
		p.backOff(held, now)
	}
	p.removeConn(conn)
	p.emit(Disconnect{Conn: conn})
	l := conn.attempt
	conn.attempt = nil
	if l != nil {
		held.window.Release(flowcontrol.Lost, p.normalizedLatency(l.request, now-l.sentAt))
		held.health.Observe(true, now)
	}
	owner := conn.owner
	conn.owner = nil
	if l != nil && !l.abandoned && l.request.phase == phaseInFlight {
		p.count("statements_cut", 1)
		p.onAttemptLost(l, now)
	} else if owner != nil && owner.transaction != nil && owner.transaction.conn == conn {
		owner.transaction.conn = nil
		p.loseTransaction(owner, now)
	}
	if !isOpening {
		held.backoffUntil = max(held.backoffUntil, now)
	}
	p.dispatch(p.databaseOf(held), now)
}

func (p *Pool) onAttemptLost(l *attempt, now time.Duration) {
	request := l.request
	if request.mayPersist() && l.statementSent {
		if request.transaction != nil {
			request.transaction.conn = nil
		}
		p.respondUnknown(request, "the instance's connection ended before its answer came", now)
		return
	}
	if request.transaction != nil && !l.statementSent {
		request.transaction.conn = nil
		p.requeue(request, now)
		return
	}
	if request.transaction != nil {
		request.transaction.conn, request.transaction.lost = nil, true
		p.abortTransaction(request, now)
		return
	}
	if l.hasOtherAttempt() {
		l.abandoned = true
		return
	}
	request.avoid = l.conn.backend
	p.requeue(request, now)
}

// hasTwin says whether the statement is out at another instance too.
func (l *attempt) hasOtherAttempt() bool {
	return slices.ContainsFunc(l.request.attempts, func(other *attempt) bool {
		return other != l && !other.abandoned && other.conn.state == connBusy
	})
}

// expire ends what its bound has passed for: statements and openings.
func (p *Pool) expireRequests(now time.Duration) {
	for _, request := range slices.Clone(p.awaitingLease) {
		if request.phase == phaseAwaitingLease && now >= min(request.arrivedAt+p.config.UnavailableWait, p.queueDeadline(request)) {
			p.timeOut(request, now)
		}
	}
	for _, one := range p.databases {
		for _, list := range []*[]*Request{&one.transactionQueue, &one.primaryQueue, &one.readQueue, &one.inFlight, &one.unconfirmed} {
			for _, request := range slices.Clone(*list) {
				isAway := request.phase == phaseQueued && now >= request.arrivedAt+p.config.UnavailableWait && p.isTargetUnavailable(one, request, now)
				isLong := request.phase == phaseQueued && now >= p.queueDeadline(request)
				if request.phase != phaseEnded && (now >= request.deadline || isAway || isLong) {
					p.timeOut(request, now)
				}
			}
		}
		if one.writerClosedAt != 0 && now-one.writerClosedAt >= p.config.ClosingGrace {
			for _, request := range p.strandedCommits(one) {
				p.abortStranded(request, now)
			}
		}
	}
}

// cut ends a commit that is out at a primary that is one no more.
func (p *Pool) abortStranded(request *Request, now time.Duration) {
	for _, held := range request.attempts {
		if held.conn.state == connBusy && held.conn.attempt == held {
			held.abandoned = true
			held.conn.owner = nil
			p.closeConn(held.conn, now)
		}
	}
	if request.transaction != nil {
		request.transaction.conn = nil
	}
	p.respondUnknown(request, "its primary lost the writer role before it answered", now)
}

// patience is until when a statement may wait in line: what is given up on is
// told so while its client has time for another try. A transaction that has
// begun waits to the end, since its work would be lost.
func (p *Pool) queueDeadline(request *Request) time.Duration {
	if request.transaction != nil && request.transaction.conn != nil {
		return request.deadline
	}
	return request.arrivedAt + time.Duration(float64(request.deadline-request.arrivedAt)*p.config.QueueFraction)
}

// isAway says whether what a statement in line waits for is not there at all:
// the lease, or the writer role.
func (p *Pool) isTargetUnavailable(one *databaseState, request *Request, now time.Duration) bool {
	_, _, open := p.writer(one)
	return !p.routing.HasLease(now) || (request.primaryOnly && !open)
}

var timeoutHandlers map[phase]func(*Pool, *Request, time.Duration)

func init() {
	timeoutHandlers = map[phase]func(*Pool, *Request, time.Duration){
		phaseAwaitingLease: (*Pool).timeOutQueued,
		phaseQueued:        (*Pool).timeOutQueued,
		phaseInFlight:      (*Pool).timeOutInFlight,
		phaseUnconfirmed: func(p *Pool, request *Request, now time.Duration) {
			p.respondUnknown(request, "it ran, but the lease to say so did not come in time", now)
		},
	}
}

func (p *Pool) timeOut(request *Request, now time.Duration) {
	p.count("timeouts", 1)
	timeoutHandlers[request.phase](p, request, now)
}

func (p *Pool) timeOutQueued(request *Request, now time.Duration) {
	code := lineproto.CodeBusy
	if request.transaction != nil && request.transaction.conn != nil {
		code = lineproto.CodeAborted
	}
	p.reject(request, code, "no room in time; come back in 200 ms", now)
}

func (p *Pool) timeOutInFlight(request *Request, now time.Duration) {
	if request.mayPersist() && request.isSent() {
		for _, held := range request.attempts {
			p.abandon(held, now)
		}
		if request.transaction != nil {
			request.transaction.conn = nil
		}
		p.respondUnknown(request, "no answer from the instance in time", now)
		return
	}
	for _, held := range request.attempts {
		p.abandon(held, now)
	}
	if request.transaction != nil {
		request.transaction.conn, request.transaction.lost = nil, true
		p.abortTransaction(request, now)
		return
	}
	p.reject(request, lineproto.CodeTimeout, "no answer from the instance in time", now)
}

// abandon closes the connection of a statement that nobody waits for.
func (p *Pool) abandon(held *attempt, now time.Duration) {
	held.abandoned = true
	if held.conn.state == connBusy && held.conn.attempt == held {
		held.conn.owner = nil
		p.closeConn(held.conn, now)
	}
}

// tend looks after an instance's connections.
func (p *Pool) maintainConns(held *backend, now time.Duration) {
	for _, conn := range slices.Clone(held.conns) {
		isStuck := conn.state == connOpening && now-conn.openedAt > p.config.OpenTimeout
		isDead := conn.state == connBusy && conn.attempt != nil && conn.attempt.abandoned && now-conn.attempt.sentAt > p.config.AbandonedTimeout
		if isStuck {
			p.ConnectionLost(conn, now)
		}
		if isDead {
			p.closeConn(conn, now)
		}
	}
	p.closeSurplusConns(held, now)
	if !p.isDrainOver(held, now) {
		return
	}
	p.closeIdle(held, now)
	for _, conn := range slices.Clone(held.conns) {
		if conn.owner != nil {
			p.loseTransaction(conn.owner, now)
		}
	}
}

// giveBack closes what rests over the node's rights.
func (p *Pool) closeSurplusConns(held *backend, now time.Duration) {
	if !held.quota.IsScarce() {
		return
	}
	for _, conn := range slices.Clone(held.idle) {
		if len(held.conns) > held.quota.MaxIdle && now-conn.idleSince >= p.config.SurplusIdle {
			p.count("connections_given_back", 1)
			p.closeConn(conn, now)
		}
	}
}

// isSpent says whether an instance has been leaving for so long that nothing
// more is sent there.
func (p *Pool) isDrainOver(held *backend, now time.Duration) bool {
	return held.drainingSince != 0 && now-held.drainingSince >= p.config.DrainWindow
}

// IsOver says whether the machine has given the connection up.
func (c *Conn) IsClosed() bool { return c.state == connClosed }
