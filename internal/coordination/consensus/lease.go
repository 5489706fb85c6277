package consensus

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
)

// isolatedRenewLeases is the number of leases between two renewals by a primary that
// receives no messages from a majority. Each renewal keeps the voters that receive it
// from voting for another candidate for one lease. With shorter intervals they could
// not vote for the backup.
const isolatedRenewLeases = 3

// heldLease is the lease of the primary as granted by a majority of the voters.
type heldLease struct {
	// renewedAt is when the voters were last asked to renew the lease.
	renewedAt time.Duration
	// grantSentAt holds, for each other voter, when the last renewal that it granted in
	// this epoch was sent.
	grantSentAt map[string]time.Duration
	// until is the end of the lease. No other node can become primary before then: more
	// than half of the voters have granted a renewal that was sent at most the usable
	// span of a lease before until, and each of them votes for no other candidate for a
	// whole lease, which is longer. This node may be one of them. It votes for no other
	// candidate before until.
	until time.Duration
}

func (l heldLease) clone() heldLease {
	l.grantSentAt = maps.Clone(l.grantSentAt)
	return l
}

// noteGrant records that a voter has granted the renewal sent at sentAt.
func (l *heldLease) noteGrant(voter string, sentAt time.Duration) {
	l.grantSentAt[voter] = max(l.grantSentAt[voter], sentAt)
}

// extend moves the end of the lease, given the times at which the granted renewals were
// sent. The lease is counted from the quorum-th latest of these times, because a quorum
// of the renewals was sent at that time or later.
func (l *heldLease) extend(sentAt []time.Duration, quorum int, span time.Duration) {
	slices.Sort(sentAt)
	l.until = max(l.until, sentAt[len(sentAt)-quorum]+proposal.UsableSpan(span))
}

func (m *Machine) holdsLease(now time.Duration) bool {
	return m.isRecordedPrimary() && now < m.lease.until
}

// renewLease asks the voters to renew the lease if a renewal is due.
func (m *Machine) renewLease(now time.Duration) {
	if now-m.lease.renewedAt < m.renewInterval(now) {
		return
	}
	m.lease.renewedAt = now
	m.adjustClock(now)
	renewal := RenewLease{Record: m.voterState.Decided, SentAt: now, Incarnation: m.processIncarnation}
	m.eachOtherVoter(func(name string) { m.send(name, renewal) })
	m.extendLease(now)
}

func (m *Machine) renewInterval(now time.Duration) time.Duration {
	if m.holdsLease(now) || m.receivesFromQuorum(now) {
		return m.timing.RenewInterval
	}
	return m.leaseDurations(isolatedRenewLeases)
}

func (m *Machine) onRenewLeaseAck(from string, ack RenewLeaseAck, now time.Duration) {
	m.adopt(ack.Decided, now, reasonVoterAhead)
	if !m.isRecordedPrimary() || !m.isVoter(from) || !m.isOwnRequest(ack, now) {
		return
	}
	m.tracker.lastAck[from] = now
	m.clock.readPeer(from, ack.WallNanos, ack.SentAt, now)
	if ack.Granted && ack.Decided.IsSame(m.voterState.Decided) {
		m.lease.noteGrant(from, ack.SentAt)
		m.extendLease(now)
		m.startNextWrite(now)
	}
}

// isOwnRequest reports whether a reply answers a renewal sent by this run of the
// program. Builds that do not support the Incarnation field leave it at 0.
func (m *Machine) isOwnRequest(ack RenewLeaseAck, now time.Duration) bool {
	if ack.SentAt > now || m.processIncarnation == 0 {
		return false
	}
	return ack.Incarnation == 0 || ack.Incarnation == m.processIncarnation
}

// extendLease extends the lease if a majority of the voters has granted it. This node
// counts as one of them, unless it has voted for another candidate.
func (m *Machine) extendLease(now time.Duration) {
	var sentAt []time.Duration
	if !m.voterState.VotedForOther {
		sentAt = append(sentAt, now)
	}
	m.eachOtherVoter(func(name string) {
		if at, ok := m.lease.grantSentAt[name]; ok {
			sentAt = append(sentAt, at)
		}
	})
	quorum := proposal.Majority(len(m.Voters()))
	if len(sentAt) < quorum {
		return
	}
	if !m.holdsLease(now) {
		m.adjustClock(now)
	}
	m.lease.extend(sentAt, quorum, m.timing.PrimaryLease)
}
