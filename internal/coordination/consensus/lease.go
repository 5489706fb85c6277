package consensus

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
)

// isolatedRenewLeases is how many leases a primary that does not hear a majority
// leaves between renewals: each binds the voters that receive it for one lease, and
// they could not vote for the backup if renewals were closer.
const isolatedRenewLeases = 3

func (m *Machine) holdsLease(now time.Duration) bool {
	return m.isRecordedPrimary() && now < m.leaseUntil
}

// renewLease asks the voters for the lease where that is due.
func (m *Machine) renewLease(now time.Duration) {
	if now-m.renewedAt < m.renewInterval(now) {
		return
	}
	m.renewedAt = now
	m.adjustClock(now)
	renewal := RenewLease{Record: m.voterState.Decided, SentAt: now, Incarnation: m.processIncarnation}
	m.eachOtherVoter(func(name string) { m.send(name, renewal) })
	m.extendLease(now)
}

func (m *Machine) renewInterval(now time.Duration) time.Duration {
	if m.holdsLease(now) || m.hearsQuorum(now) {
		return m.timing.RenewInterval
	}
	return m.leases(isolatedRenewLeases)
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
		m.grantedTo, m.grantedAt = from, now
	}
	m.send(from, RenewLeaseAck{
		Decided: decided, SentAt: renewal.SentAt, Incarnation: renewal.Incarnation,
		WallNanos: m.clock.local(now), Granted: granted,
	})
}

func (m *Machine) onRenewLeaseAck(from string, ack RenewLeaseAck, now time.Duration) {
	m.adopt(ack.Decided, now, reasonVoterAhead)
	if !m.isRecordedPrimary() || !m.isVoter(from) || !m.isOwnRequest(ack, now) {
		return
	}
	m.tracker.lastAck[from] = now
	m.clock.readPeer(from, ack.WallNanos, ack.SentAt, now)
	if ack.Granted && ack.Decided == m.voterState.Decided {
		m.grantSentAt[from] = max(m.grantSentAt[from], ack.SentAt)
		m.extendLease(now)
		m.startNextWrite(now)
	}
}

// isOwnRequest says whether a reply is to a renewal that this run of the program sent.
// Builds that do not know the field leave Incarnation at 0.
func (m *Machine) isOwnRequest(ack RenewLeaseAck, now time.Duration) bool {
	if ack.SentAt > now || m.processIncarnation == 0 {
		return false
	}
	return ack.Incarnation == 0 || ack.Incarnation == m.processIncarnation
}

// extendLease sets the end of the lease by the latest moment at which a majority of
// the voters was asked for what it has granted.
func (m *Machine) extendLease(now time.Duration) {
	var sentAt []time.Duration
	if !m.voterState.VotedForOther {
		sentAt = append(sentAt, now)
	}
	m.eachOtherVoter(func(name string) {
		if at, known := m.grantSentAt[name]; known {
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
	slices.Sort(sentAt)
	m.leaseUntil = max(m.leaseUntil, sentAt[len(sentAt)-quorum]+usableLease(m.timing.PrimaryLease))
}

// usableLease is the part of a lease that the primary relies on: a tenth is left for
// clocks that run at different rates.
func usableLease(lease time.Duration) time.Duration { return lease * 9 / 10 }
