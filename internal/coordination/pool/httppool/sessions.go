package httppool

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	// closedSessionRetention is the time for which a closed session is kept after
	// its last request.
	closedSessionRetention = time.Minute

	// expiryInterval is the minimum time between two searches for expired sessions.
	expiryInterval = time.Second

	notReadyJitter = 50 * time.Millisecond
)

// clientSession is a client's session. While the session has state at an instance
// (an open transaction, settings or prepared statements), it is pinned to the
// connection that holds the state, and no other session uses that connection.
type clientSession struct {
	id            string
	binding       string
	remoteAddress string
	minPositions  map[string]model.Position
	lastUsed      time.Duration

	pinnedConn    *Conn
	inTransaction bool
	// stateLost is true if the state at pinnedConn can no longer be used.
	stateLost bool

	// busy is true while a request of the session has not been answered yet.
	busy   bool
	closed bool
}

func (s *clientSession) pin(conn *Conn) {
	s.pinnedConn = conn
	conn.instance.pinnedSessions = append(conn.instance.pinnedSessions, s)
}

func (s *clientSession) unpin() {
	instance := s.pinnedConn.instance
	instance.pinnedSessions = slices.DeleteFunc(instance.pinnedSessions, func(other *clientSession) bool { return other == s })
	s.pinnedConn, s.inTransaction, s.stateLost = nil, false, false
}

// isPinnedOutside reports whether the session is pinned to a connection to an
// instance of another database.
func (s *clientSession) isPinnedOutside(database string) bool {
	return s.pinnedConn != nil && s.pinnedConn.instance.database.name != database
}

func (s *clientSession) raiseMinPosition(database string, position model.Position) {
	s.minPositions[database] = s.minPositions[database].Max(position)
}

func (s *clientSession) idleLongerThan(limit, now time.Duration) bool {
	return !s.busy && now-s.lastUsed > limit
}

// OpenedSession describes a session that was opened.
type OpenedSession struct {
	ID              string
	BindingSequence uint64
	// MinPositions holds the positions that the client passed to OpenSession,
	// without those of databases for which this node has no entry.
	MinPositions map[string]model.Position
}

// OpenSession opens a session for the client connected from remoteAddress. The
// session ends when that connection ends. minPositions holds the positions, by
// database, from the client's earlier sessions. If opened is false, result contains
// the reason.
func (m *Machine) OpenSession(binding, remoteAddress string, minPositions map[string]model.Position, now time.Duration) (session OpenedSession, result Result, opened bool) {
	if ready, reason := m.Ready(now); !ready {
		return OpenedSession{}, rejection(ErrNotReady, retryAfterNotReady+m.jitter(notReadyJitter), "not ready: "+reason), false
	}
	if len(m.sessions) >= m.timing.MaxSessions {
		return OpenedSession{}, rejection(ErrNotReady, retryAfterDefault, "this node has as many sessions as it takes"), false
	}
	set := m.EffectiveSet(now)
	if _, found := set.Binding(binding); !found {
		return OpenedSession{}, rejection(ErrNoBinding, 0, noBindingText(binding, set.Sequence)), false
	}
	added := m.addSession(binding, remoteAddress, now)
	for database, position := range minPositions {
		if m.databases.Get(database) != nil {
			added.minPositions[database] = position
		}
	}
	m.Count("consumers_opened", 1)
	return OpenedSession{ID: added.id, BindingSequence: set.Sequence, MinPositions: maps.Clone(added.minPositions)}, Result{}, true
}

func (m *Machine) addSession(binding, remoteAddress string, now time.Duration) *clientSession {
	m.lastSessionNumber++
	session := &clientSession{
		id:            m.requestLog.SessionID(m.lastSessionNumber),
		binding:       binding,
		remoteAddress: remoteAddress,
		minPositions:  map[string]model.Position{},
		lastUsed:      now,
	}
	m.sessions[session.id] = session
	m.sessionOrder = append(m.sessionOrder, session)
	m.sessionsByAddress[remoteAddress] = append(m.sessionsByAddress[remoteAddress], session)
	m.requestLog.OpenSession(session.id)
	return session
}

// CloseSession closes a session and returns its minimum positions, which the client
// passes to its next session. It returns false if there is no such session.
func (m *Machine) CloseSession(sessionID string, now time.Duration) (map[string]model.Position, bool) {
	session, found := m.sessions[sessionID]
	if !found {
		return nil, false
	}
	m.endSession(session, now)
	return maps.Clone(session.minPositions), true
}

// ClientLost closes the sessions of a client whose connection has ended.
func (m *Machine) ClientLost(remoteAddress string, now time.Duration) {
	for _, session := range slices.Clone(m.sessionsByAddress[remoteAddress]) {
		m.Count("consumers_gone", 1)
		m.endSession(session, now)
	}
}

// SessionCount returns the number of open sessions.
func (m *Machine) SessionCount() int { return len(m.sessions) }

func (m *Machine) endSession(session *clientSession, now time.Duration) {
	session.closed = true
	if !session.busy {
		m.discardPinned(session)
	}
	m.removeSession(session, now)
}

func (m *Machine) removeSession(session *clientSession, now time.Duration) {
	if !m.isOpen(session) {
		return
	}
	m.requestLog.CloseSession(session.id, now)
	delete(m.sessions, session.id)
	remaining := slices.DeleteFunc(m.sessionsByAddress[session.remoteAddress], func(other *clientSession) bool { return other == session })
	m.sessionsByAddress[session.remoteAddress] = remaining
	if len(remaining) == 0 {
		delete(m.sessionsByAddress, session.remoteAddress)
	}
}

func (m *Machine) isOpen(session *clientSession) bool { return m.sessions[session.id] == session }

// discardPinned closes the connection to which a session is pinned, if any. It also
// closes the session, since the session's state is lost.
func (m *Machine) discardPinned(session *clientSession) {
	if session.pinnedConn == nil {
		return
	}
	conn := session.pinnedConn
	session.unpin()
	m.closeConn(conn)
	session.closed = true
	m.Count("sessions_lost", 1)
}

// expireSessions ends the sessions that have been idle for too long.
func (m *Machine) expireSessions(now time.Duration) {
	if now-m.lastExpiry < expiryInterval {
		return
	}
	m.lastExpiry = now
	m.requestLog.ExpireSessions(now)
	open := m.sessionOrder[:0]
	for _, session := range m.sessionOrder {
		m.expireSession(session, now)
		if m.isOpen(session) {
			open = append(open, session)
		}
	}
	clear(m.sessionOrder[len(open):])
	m.sessionOrder = open
}

func (m *Machine) expireSession(session *clientSession, now time.Duration) {
	if session.inTransaction && session.idleLongerThan(m.timing.IdleInTransaction, now) {
		m.Count("transactions_abandoned", 1)
		m.discardPinned(session)
	}
	expired := session.idleLongerThan(m.timing.SessionIdleTimeout, now)
	if expired || (session.closed && session.idleLongerThan(closedSessionRetention, now)) {
		m.discardPinned(session)
		m.removeSession(session, now)
	}
}
