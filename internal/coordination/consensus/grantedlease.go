package consensus

import "time"

// grantedLease is the last lease that a voter granted, or is taken to have granted. A
// primary may rely on it until PrimaryLease has passed, so that the voter votes for no
// other candidate before.
type grantedLease struct {
	// primary is the primary, empty where none was granted.
	primary   string
	grantedAt time.Duration
}

// blocksUntil gives the moment before which the voter must not vote for a candidate, or
// 0 where the lease does not keep it from that.
func (l grantedLease) blocksUntil(candidate string, span time.Duration) time.Duration {
	if l.primary == "" || l.primary == candidate {
		return 0
	}
	return l.grantedAt + span
}

func (m *Machine) onRenewLease(from string, renewal RenewLease, now time.Duration) {
	m.adopt(renewal.Record, now, reasonLeaseRenewal)
	m.notePrimaryContact(from, renewal.Record, now)
	if !m.IsMember() {
		return
	}
	decided := m.voterState.Decided
	granted := decided == renewal.Record && decided.Primary == from && !m.voterState.VotedForOther
	if granted {
		m.granted = grantedLease{primary: from, grantedAt: now}
	}
	m.send(from, RenewLeaseAck{
		Decided: decided, SentAt: renewal.SentAt, Incarnation: renewal.Incarnation,
		WallNanos: m.clock.local(now), Granted: granted,
	})
}

// assumeLeaseGranted treats the primary of the newest record as one that this node has just
// granted the lease.
func (m *Machine) assumeLeaseGranted(now time.Duration) {
	m.granted = grantedLease{primary: m.voterState.Decided.Primary, grantedAt: now}
	m.contacts.primaryAt = now
}

// voteBlockedFor says for how long this node must not vote for a candidate: a lease that
// it granted to another or holds itself may still be relied on, or one that it granted
// before its restart.
func (m *Machine) voteBlockedFor(candidate string, now time.Duration) time.Duration {
	until := m.granted.blocksUntil(candidate, m.timing.PrimaryLease)
	if m.isRecordedPrimary() {
		until = max(until, m.lease.until)
	}
	if candidate != m.voterState.Decided.Primary {
		until = max(until, m.startedAt+m.timing.PrimaryLease)
	}
	return max(until-now, 0)
}

// hasGrantedNoLeaseFor says whether this node has granted no lease for a span, nor may
// have before it started.
func (m *Machine) hasGrantedNoLeaseFor(span time.Duration, now time.Duration) bool {
	return now >= m.granted.grantedAt+span && now >= m.startedAt+span
}
