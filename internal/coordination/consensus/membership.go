package consensus

import (
	"maps"
	"slices"
	"time"
)

const (
	// standbyOfferTTL is for how long a standby's offer counts.
	standbyOfferTTL = time.Second
	// silentVoterLeases is for how many leases a voter may be silent before a standby
	// replaces it.
	silentVoterLeases = 3
)

// standby is a node's offer to vote.
type standby struct {
	incarnation uint64
	offeredAt   time.Duration
	// epoch is the one by whose record the node is no voter.
	epoch uint64
}

func (s standby) isCurrent(now time.Duration) bool { return now-s.offeredAt < standbyOfferTTL }

// Electorate is what this node's votes on singleton roles depend on.
type Electorate struct {
	// Voters are those of the newest record known.
	Voters Voters
	// IncludesSelf says whether this node is one of them.
	IncludesSelf bool
	// Changing says that this node has accepted a record with other voters, which may
	// be decided.
	Changing bool
}

// Electorate gives the voters as this node knows them.
func (m *Machine) Electorate() Electorate {
	return Electorate{Voters: m.voterState.Decided.Voters, IncludesSelf: m.IsMember(), Changing: m.isElectorateChanging()}
}

func (m *Machine) isElectorateChanging() bool {
	if len(m.voterState.Acceptor.Value) == 0 {
		return false
	}
	accepted, err := decodeRecord(m.voterState.Acceptor.Value)
	return err != nil || accepted.Voters != m.voterState.Decided.Voters
}

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

// replaceVoter proposes an epoch in which a standby is voter in another's place, and
// says whether it did. One voter is replaced at a time.
func (m *Machine) replaceVoter(now time.Duration) bool {
	replacement, ok := m.nextReplacement(now)
	if !ok {
		return false
	}
	decided := m.voterState.Decided
	record := m.nextRecord(decided.Backup)
	record.Voters = decided.Voters.Replace(replacement.old, replacement.next)
	if decided.Backup == replacement.old.Name {
		record.Backup = ""
	}
	if !m.hasQuorumWith(record.Voters, replacement.next.Name, now) {
		return false
	}
	m.propose(record, now)
	return true
}

// replacement is a voter and the standby that is to vote in its place.
type replacement struct{ old, next Member }

// nextReplacement gives a voter that is to be replaced: first a node that came back
// without its disk, by itself, and else one that is silent or leaves, by a standby.
func (m *Machine) nextReplacement(now time.Duration) (replacement, bool) {
	ready := m.readyStandbys(now)
	voters := m.voterState.Decided.Voters
	for _, standby := range ready {
		if old, found := voters.Find(standby.Name); found {
			return replacement{old: old, next: standby}, true
		}
	}
	if len(ready) == 0 {
		return replacement{}, false
	}
	for _, member := range voters.Members() {
		if member.Name != m.self && m.needsReplacement(member.Name, now) {
			return replacement{old: member, next: m.pickStandby(ready, member)}, true
		}
	}
	return replacement{}, false
}

// needsReplacement says whether a voter is silent, or leaves and is not the backup.
func (m *Machine) needsReplacement(name string, now time.Duration) bool {
	isLeaving := m.leaving.has(name, now) && name != m.voterState.Decided.Backup
	return isLeaving || m.tracker.silence(name, now) > m.leases(silentVoterLeases)
}

// pickStandby gives the standby in the zone with the fewest voters besides the one that
// is replaced, the first by name of several.
func (m *Machine) pickStandby(ready []Member, replaced Member) Member {
	votersInZone := map[string]int{}
	for _, member := range m.voterState.Decided.Voters.Members() {
		if member != replaced {
			votersInZone[m.peers.zones[member.Name]]++
		}
	}
	return slices.MinFunc(ready, func(a, b Member) int {
		return votersInZone[m.peers.zones[a.Name]] - votersInZone[m.peers.zones[b.Name]]
	})
}
