package idempotency

import "time"

// requestRecord is the status of a request id with the tokens of the waiting retries.
type requestRecord struct {
	Status
	updatedAt time.Duration
	waiters   []any
}

// sessionRecord is the state of a session. It distinguishes request ids that were never
// seen from those whose record was pruned: numbers up to highestPruned may have had a
// record.
type sessionRecord struct {
	highestPruned uint64
	closed        bool
	closedAt      time.Duration
}

// isUnseen reports whether a request id without a record has certainly never been seen:
// its session is registered, and no record with its number or a higher one was pruned.
func isUnseen(sessions map[string]*sessionRecord, requestID string) bool {
	sessionID, number, _ := parseRequestID(requestID)
	session, found := sessions[sessionID]
	return found && number > session.highestPruned
}

func (m *Machine) insert(requestID, state, owner string, now time.Duration) {
	m.records[requestID] = &requestRecord{Status: Status{State: state, Owner: owner}, updatedAt: now}
	m.recordOrder = append(m.recordOrder, requestID)
	m.prune(now)
}

// prune deletes the oldest records while there are more than MaxRecords, or the oldest
// one has expired.
func (m *Machine) prune(now time.Duration) {
	for len(m.recordOrder) > m.timing.MaxRecords || (len(m.recordOrder) > 0 && m.isExpired(m.recordOrder[0], now)) {
		oldest := m.recordOrder[0]
		m.recordOrder = m.recordOrder[1:]
		delete(m.records, oldest)
		sessionID, number, _ := parseRequestID(oldest)
		if session, found := m.sessions[sessionID]; found {
			session.highestPruned = max(session.highestPruned, number)
		}
	}
}

func (m *Machine) isExpired(requestID string, now time.Duration) bool {
	record, found := m.records[requestID]
	return !found || (record.State != StateInFlight && now-record.updatedAt > m.timing.Retention)
}
