package consensus

import (
	"maps"
	"slices"
	"time"
)

// standbyOfferTTL is for how long a standby's offer counts.
const standbyOfferTTL = time.Second

// standby is a node's offer to vote.
type standby struct {
	incarnation uint64
	offeredAt   time.Duration
	// epoch is the one by whose record the node is no voter.
	epoch uint64
}

func (s standby) isCurrent(now time.Duration) bool { return now-s.offeredAt < standbyOfferTTL }

// onJoin notes an offer, and sends the newest record. An offer counts only in the
// epoch that its sender knows: a node may have become a voter, and have been replaced,
// since an older one was sent.
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

// hasStandby says whether a node offered to vote lately, in whichever epoch.
func (m *Machine) hasStandby(now time.Duration) bool {
	for name, offer := range m.standbys {
		if offer.isCurrent(now) && !m.isVoter(name) && !m.leaving.has(name, now) {
			return true
		}
	}
	return false
}

// readyStandbys lists the standbys whose offers count now, in order of names.
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
