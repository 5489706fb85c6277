package consensus

import (
	"maps"
	"slices"
	"time"
)

// The record of an epoch names the voters that settle the next one, so a change
// of voters is an epoch like any other: a majority of the voters before settles
// it. One voter is replaced at a time, by a standby, a formed machine that does not
// vote, and only by a primary that holds primacy.

const (
	// standbyLife is for how long a standby's offer counts.
	standbyOfferTTL = time.Second
	// leavingLife is for how long a voter's word that it ends counts.
	leavingTTL = time.Second
	// silentSpans is how many spans of primacy a voter may be silent before a
	// standby replaces it.
	replacementLeases = 3
	// unheardSpans is how many spans of primacy a machine hears nothing of the
	// primary before it asks all others where things stand.
	contactLossLeases = 2
)

// standby is a machine's offer to vote.
type standby struct {
	incarnation uint64
	offeredAt   time.Duration
	// epoch is the one by whose record it does not vote.
	epoch uint64
}

// Electorate is what a machine's votes on duties rest on.
type Electorate struct {
	Voters Voters
	// IsMember says whether this machine is one of the voters.
	IncludesSelf bool
	// IsChanging says that this machine has accepted a record with other voters,
	// which may be settled.
	Changing bool
}

// Electorate gives the voters as this machine knows them.
func (m *Machine) Electorate() Electorate {
	return Electorate{Voters: m.voterState.Decided.Voters, IncludesSelf: m.IsMember(), Changing: m.isChanging()}
}

func (m *Machine) isChanging() bool {
	if len(m.voterState.Acceptor.Value) == 0 {
		return false
	}
	var accepted Record
	isRead := decodeRecord(m.voterState.Acceptor.Value, &accepted)
	return !isRead || accepted.Voters != m.voterState.Decided.Voters
}

// IsMember says whether this machine votes, by the record that it knows.
func (m *Machine) IsMember() bool {
	return m.isFormed() && m.voterState.Decided.Voters.Has(Member{Name: m.self, Incarnation: m.identity.Incarnation})
}

// IsStandby says whether the machine knows a fleet and has no vote in it.
func (m *Machine) IsStandby() bool { return m.isFormed() && !m.IsMember() }

func (m *Machine) isVoter(name string) bool {
	_, found := m.voterState.Decided.Voters.Find(name)
	return found
}

// keepInTouch asks for newer records while no primary is heard of, and offers
// this machine to the primary while it has no vote.
func (m *Machine) refreshStatus(now time.Duration) {
	isUnheard := now-m.lastPrimaryContact >= contactLossLeases*m.timing.PrimaryLease
	isDue := now-m.statusRequestedAt >= m.timing.FormInterval && !m.holdsLease(now) && (isUnheard || !m.IsMember())
	if !isDue {
		return
	}
	m.statusRequestedAt = now
	if !m.IsMember() && !m.stopping {
		m.send(m.voterState.Decided.Primary, Join{
			Cluster: m.identity.Cluster, Epoch: m.voterState.Decided.Epoch, Incarnation: m.identity.Incarnation,
		})
	}
	if isUnheard {
		m.requestStatusFromAll()
	}
}

func (m *Machine) requestStatusFromAll() {
	for _, name := range m.peers {
		if name != m.self {
			m.send(name, StatusRequest{})
		}
	}
}

func (m *Machine) onStatusRequest(from string, _ StatusRequest, _ time.Duration) {
	if m.isFormed() {
		m.send(from, Status{Cluster: m.identity.Cluster, Decided: m.voterState.Decided})
	}
}

func (m *Machine) onDecided(from string, told Decided, now time.Duration) {
	m.adopt(told.Record, now, "told")
	if m.isFormed() && m.voterState.Decided == told.Record && told.Record.Primary == from {
		m.lastPrimaryContact = now
	}
}

// onJoin notes an offer, and tells the sender the newest record. An offer counts
// only in the epoch that its sender knows: a machine may have voted, and have been
// replaced, since an older one was sent.
func (m *Machine) onJoin(from string, join Join, now time.Duration) {
	if !m.isFormed() || join.Cluster != m.identity.Cluster {
		return
	}
	m.send(from, Decided{Record: m.voterState.Decided})
	isMember := m.voterState.Decided.Voters.Has(Member{Name: from, Incarnation: join.Incarnation})
	if m.isRecordedPrimary() && !isMember && join.Epoch == m.voterState.Decided.Epoch {
		m.standbys[from] = standby{incarnation: join.Incarnation, offeredAt: now, epoch: join.Epoch}
	}
}

func (m *Machine) onLeave(_ Leave, now time.Duration) {
	m.stopping = true
	m.announceLeaving(now)
}

// tellLeaving tells the primary that this machine is about to end.
func (m *Machine) announceLeaving(now time.Duration) {
	if m.stopping && m.isFormed() && !m.holdsLease(now) && m.voterState.Decided.Primary != m.self {
		m.send(m.voterState.Decided.Primary, Leaving{})
	}
}

// onLeaving notes that a voter ends. It is released at once where no standby could
// vote in its place, and the others are a majority without it.
func (m *Machine) onLeaving(from string, _ Leaving, now time.Duration) {
	m.leavingAnnounced[from] = now
	isIdle := from != m.voterState.Decided.Primary && from != m.voterState.Decided.Backup
	if m.holdsLease(now) && isIdle && !m.hasStandby(now) && m.hasQuorumWithout(from, now) {
		m.send(from, Released{Epoch: m.voterState.Decided.Epoch})
	}
}

// canSpare says whether the voters that answer are a majority without one of them.
func (m *Machine) hasQuorumWithout(name string, now time.Duration) bool {
	names := m.Voters()
	count := 0
	for _, other := range names {
		at, known := m.lastAck[other]
		isThere := other == m.self || (known && now-at < m.timing.PrimaryLease)
		if isThere && other != name && !m.hasAnnouncedLeaving(other, now) {
			count++
		}
	}
	return count > len(names)/2
}

// hasStandby says whether a machine offered to vote lately, in whichever epoch.
func (m *Machine) hasStandby(now time.Duration) bool {
	for name, one := range m.standbys {
		if now-one.offeredAt < standbyOfferTTL && !m.isVoter(name) && !m.hasAnnouncedLeaving(name, now) {
			return true
		}
	}
	return false
}

func (m *Machine) onReleased(from string, released Released, _ time.Duration) {
	if from == m.voterState.Decided.Primary {
		m.releasedEpoch = released.Epoch
	}
}

func (m *Machine) hasAnnouncedLeaving(name string, now time.Duration) bool {
	at, known := m.leavingAnnounced[name]
	return known && now-at < leavingTTL
}

// IsFree says whether this machine may end: it has no vote, or holds no role and was
// released.
func (m *Machine) MayStop() bool {
	decided := m.voterState.Decided
	isIdle := decided.Primary != m.self && decided.Backup != m.self
	return !m.IsMember() || (isIdle && m.releasedEpoch == decided.Epoch)
}

// handOver makes the backup primary, where this primary is about to end.
func (m *Machine) transferPrimary(now time.Duration) bool {
	decided := m.voterState.Decided
	at, known := m.lastAck[decided.Backup]
	isReady := decided.Backup != "" && known && now-at < m.timing.PrimaryLease/2 && !m.hasAnnouncedLeaving(decided.Backup, now)
	if !m.stopping || !isReady {
		return false
	}
	m.propose(Record{Epoch: decided.Epoch + 1, Primary: decided.Backup, Backup: m.self, Voters: decided.Voters}, now)
	return true
}

// changeVoters replaces a voter, where one is to be replaced.
func (m *Machine) replaceVoter(now time.Duration) bool {
	old, next, isDue := m.nextReplacement(now)
	if !isDue {
		return false
	}
	decided := m.voterState.Decided
	record := m.nextRecord(decided.Backup)
	record.Voters = decided.Voters.Replace(old, next)
	if decided.Backup == old.Name {
		record.Backup = ""
	}
	if !m.hasQuorumWith(record.Voters, next.Name, now) {
		return false
	}
	m.propose(record, now)
	return true
}

// replacement gives a voter that is to be replaced and by whom: one that came back
// without its disk by itself, and else one that ends or is silent by a standby.
func (m *Machine) nextReplacement(now time.Duration) (old, next Member, isDue bool) {
	ready := m.readyStandbys(now)
	voters := m.voterState.Decided.Voters
	for _, one := range ready {
		if old, found := voters.Find(one.Name); found {
			return old, one, true
		}
	}
	if len(ready) == 0 {
		return old, next, false
	}
	for _, member := range voters.Members() {
		if member.Name != m.self && m.needsReplacement(member.Name, now) {
			return member, m.pickStandby(ready, member), true
		}
	}
	return old, next, false
}

func (m *Machine) readyStandbys(now time.Duration) []Member {
	var ready []Member
	for _, name := range slices.Sorted(maps.Keys(m.standbys)) {
		one := m.standbys[name]
		if now-one.offeredAt < standbyOfferTTL && one.epoch == m.voterState.Decided.Epoch && !m.hasAnnouncedLeaving(name, now) {
			ready = append(ready, Member{Name: name, Incarnation: one.incarnation})
		}
	}
	return ready
}

// isToBeReplaced says whether a voter is silent, or ends and holds no role.
func (m *Machine) needsReplacement(name string, now time.Duration) bool {
	silence := now - max(m.lastAck[name], m.votersSince)
	isEnding := m.hasAnnouncedLeaving(name, now) && name != m.voterState.Decided.Backup
	return isEnding || silence > replacementLeases*m.timing.PrimaryLease
}

// nearest gives the standby in the zone with the fewest other voters, the first
// by name of several.
func (m *Machine) pickStandby(ready []Member, old Member) Member {
	inZone := map[string]int{}
	for _, member := range m.voterState.Decided.Voters.Members() {
		if member != old {
			inZone[m.zones[member.Name]]++
		}
	}
	return slices.MinFunc(ready, func(a, b Member) int { return inZone[m.zones[a.Name]] - inZone[m.zones[b.Name]] })
}

// canAnswer says whether a majority of some voters, with one that is new, has been
// heard lately.
func (m *Machine) hasQuorumWith(voters Voters, newcomer string, now time.Duration) bool {
	names := voters.Names()
	count := 0
	for _, name := range names {
		at, known := m.lastAck[name]
		if name == m.self || name == newcomer || (known && now-at < m.timing.PrimaryLease) {
			count++
		}
	}
	return count > len(names)/2
}

// successor gives the record of the next epoch with this machine as primary.
func (m *Machine) nextRecord(backup string) Record {
	decided := m.voterState.Decided
	return Record{Epoch: decided.Epoch + 1, Primary: m.self, Backup: backup, Voters: decided.Voters}
}

// forgetReplaced drops what was known of voters that a new record does not have.
func (m *Machine) forgetReplacedVoters(before Voters, now time.Duration) {
	after := m.voterState.Decided.Voters
	if before == after {
		return
	}
	for _, member := range before.Members() {
		if !after.Has(member) {
			delete(m.lastAck, member.Name)
			delete(m.spareVersions, member.Name)
			delete(m.leavingAnnounced, member.Name)
			delete(m.clockOffsets, member.Name)
			delete(m.excludedUntil, member.Name)
		}
	}
	m.votersSince = now
}
