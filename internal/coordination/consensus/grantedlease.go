package consensus

import "time"

// grantedLease is the last lease that a voter granted, or is assumed to have granted.
// The primary may rely on it until PrimaryLease has passed, so the voter votes for no
// other candidate before then.
type grantedLease struct {
	// primary is the node that the lease was granted to, or empty if none was granted.
	primary   string
	grantedAt time.Duration
}

// blocksUntil returns the time before which the voter must not vote for a candidate, or
// 0 if the lease does not block that vote.
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
	granted := decided.IsSame(renewal.Record) && decided.Primary == from && !m.voterState.VotedForOther
	if granted {
		m.granted = grantedLease{primary: from, grantedAt: now}
	}
	m.send(from, RenewLeaseAck{
		Decided: decided, SentAt: renewal.SentAt, Incarnation: renewal.Incarnation,
		WallNanos: m.clock.local(now), Granted: granted,
	})
}

// assumeLeaseGranted treats the lease as just granted by this node to the primary of
// the newest known record.
func (m *Machine) assumeLeaseGranted(now time.Duration) {
	m.granted = grantedLease{primary: m.voterState.Decided.Primary, grantedAt: now}
	m.contacts.primaryAt = now
}

// voteBlockedFor returns how long this node must not vote for a candidate. Another node
// may still rely on a lease that this node granted, possibly before a restart, or this
// node may still hold the lease itself.
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

// hasGrantedNoLeaseFor reports whether this node has granted no lease for the given
// span. It is false if the node started less than the span ago, because the node may
// have granted a lease before its start.
func (m *Machine) hasGrantedNoLeaseFor(span time.Duration, now time.Duration) bool {
	return now >= m.granted.grantedAt+span && now >= m.startedAt+span
}
