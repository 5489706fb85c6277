package consensus

import (
	"maps"
	"slices"
	"time"
)

// standbyOfferTTL is how long a standby's offer stays valid.
const standbyOfferTTL = time.Second

// standby is a node's offer to become a voter.
type standby struct {
	incarnation uint64
	offeredAt   time.Duration
	// epoch is the epoch of the record according to which the node is not a voter.
	epoch uint64
}

func (s standby) isCurrent(now time.Duration) bool { return now-s.offeredAt < standbyOfferTTL }

// onJoin replies with the newest known record and records the offer. An offer is valid
// only in the epoch that it names. The sender of an older offer may since have become a
// voter and been replaced.
func (m *Machine) onJoin(from string, join Join, now time.Duration) {
	if !m.isFormed() || join.Cluster != m.identity.Cluster {
		return
	}
	decided := m.voterState.Decided
	m.send(from, Decided{Record: decided})
	isMember := decided.Voters.Has(Member{Name: from, Incarnation: join.Incarnation})
	if m.isRecordedPrimary() && !isMember && join.Epoch == decided.Epoch {
		m.standbys[from] = standby{incarnation: join.Incarnation, offeredAt: now, epoch: join.Epoch}
	}
}

// hasStandby reports whether a node has recently offered to become a voter, in any
// epoch.
func (m *Machine) hasStandby(now time.Duration) bool {
	for name, offer := range m.standbys {
		if offer.isCurrent(now) && !m.isVoter(name) && !m.leaving.has(name, now) {
			return true
		}
	}
	return false
}

// readyStandbys returns the standbys whose offers are valid now, sorted by name.
func (m *Machine) readyStandbys(now time.Duration) []Member {
	var ready []Member
	for _, name := range slices.Sorted(maps.Keys(m.standbys)) {
		offer := m.standbys[name]
		isOfEpoch := offer.epoch == m.voterState.Decided.Epoch
		if offer.isCurrent(now) && isOfEpoch && !m.leaving.has(name, now) {
			ready = append(ready, Member{Name: name, Incarnation: offer.incarnation})
		}
	}
	return ready
}
