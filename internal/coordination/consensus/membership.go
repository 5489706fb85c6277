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
	standbyLife = time.Second
	// leavingLife is for how long a voter's word that it ends counts.
	leavingLife = time.Second
	// silentSpans is how many spans of primacy a voter may be silent before a
	// standby replaces it.
	silentSpans = 3
	// unheardSpans is how many spans of primacy a machine hears nothing of the
	// primary before it asks all others where things stand.
	unheardSpans = 2
)

// standby is a machine's offer to vote.
type standby struct {
	incarnation uint64
	at          time.Duration
	// epoch is the one by whose record it does not vote.
	epoch uint64
}

// Electorate is what a machine's votes on duties rest on.
type Electorate struct {
	Voters Voters
	// IsMember says whether this machine is one of the voters.
	IsMember bool
	// IsChanging says that this machine has accepted a record with other voters,
	// which may be settled.
	IsChanging bool
}

// Electorate gives the voters as this machine knows them.
func (m *Machine) Electorate() Electorate {
	return Electorate{Voters: m.ballots.Decided.Voters, IsMember: m.IsMember(), IsChanging: m.isChanging()}
}

func (m *Machine) isChanging() bool {
	if len(m.ballots.Voter.Value) == 0 {
		return false
	}
	var accepted Record
	isRead := decodeRecord(m.ballots.Voter.Value, &accepted)
	return !isRead || accepted.Voters != m.ballots.Decided.Voters
}

// IsMember says whether this machine votes, by the record that it knows.
func (m *Machine) IsMember() bool {
	return m.isFormed() && m.ballots.Decided.Voters.Has(Member{Name: m.self, Incarnation: m.identity.Incarnation})
}

// IsStandby says whether the machine knows a fleet and has no vote in it.
func (m *Machine) IsStandby() bool { return m.isFormed() && !m.IsMember() }

func (m *Machine) isVoter(name string) bool {
	_, isIn := m.ballots.Decided.Voters.Find(name)
	return isIn
}

// keepInTouch asks for newer records while no primary is heard of, and offers
// this machine to the primary while it has no vote.
func (m *Machine) keepInTouch(now time.Duration) {
	isUnheard := now-m.heardAt >= unheardSpans*m.timing.Primacy
	isDue := now-m.asked >= m.timing.Form && !m.hasPrimacy(now) && (isUnheard || !m.IsMember())
	if !isDue {
		return
	}
	m.asked = now
	if !m.IsMember() && !m.isLeaving {
		m.send(m.ballots.Decided.Primary, Join{
			Cluster: m.identity.Cluster, Epoch: m.ballots.Decided.Epoch, Incarnation: m.identity.Incarnation,
		})
	}
	if isUnheard {
		m.askAll()
	}
}

func (m *Machine) askAll() {
	for _, name := range m.peers {
		if name != m.self {
			m.send(name, AskStanding{})
		}
	}
}

func (m *Machine) onAskStanding(from string, _ AskStanding, _ time.Duration) {
	if m.isFormed() {
		m.send(from, Standing{Cluster: m.identity.Cluster, Decided: m.ballots.Decided})
	}
}

func (m *Machine) onDecided(from string, told Decided, now time.Duration) {
	m.adopt(told.Record, now, "told")
	if m.isFormed() && m.ballots.Decided == told.Record && told.Record.Primary == from {
		m.heardAt = now
	}
}

// onJoin notes an offer, and tells the sender the newest record. An offer counts
// only in the epoch that its sender knows: a machine may have voted, and have been
// replaced, since an older one was sent.
func (m *Machine) onJoin(from string, join Join, now time.Duration) {
	if !m.isFormed() || join.Cluster != m.identity.Cluster {
		return
	}
	m.send(from, Decided{Record: m.ballots.Decided})
	isMember := m.ballots.Decided.Voters.Has(Member{Name: from, Incarnation: join.Incarnation})
	if m.isNamed() && !isMember && join.Epoch == m.ballots.Decided.Epoch {
		m.standbys[from] = standby{incarnation: join.Incarnation, at: now, epoch: join.Epoch}
	}
}

func (m *Machine) onLeave(_ Leave, now time.Duration) {
	m.isLeaving = true
	m.tellLeaving(now)
}

// tellLeaving tells the primary that this machine is about to end.
func (m *Machine) tellLeaving(now time.Duration) {
	if m.isLeaving && m.isFormed() && !m.hasPrimacy(now) && m.ballots.Decided.Primary != m.self {
		m.send(m.ballots.Decided.Primary, Leaving{})
	}
}

// onLeaving notes that a voter ends. It is released at once where no standby could
// vote in its place, and the others are a majority without it.
func (m *Machine) onLeaving(from string, _ Leaving, now time.Duration) {
	m.leaving[from] = now
	isIdle := from != m.ballots.Decided.Primary && from != m.ballots.Decided.Backup
	if m.hasPrimacy(now) && isIdle && !m.hasStandby(now) && m.canSpare(from, now) {
		m.send(from, Released{Epoch: m.ballots.Decided.Epoch})
	}
}

// canSpare says whether the voters that answer are a majority without one of them.
func (m *Machine) canSpare(name string, now time.Duration) bool {
	names := m.Voters()
	count := 0
	for _, other := range names {
		at, isHeard := m.acks[other]
		isThere := other == m.self || (isHeard && now-at < m.timing.Primacy)
		if isThere && other != name && !m.isLeavingNow(other, now) {
			count++
		}
	}
	return count > len(names)/2
}

// hasStandby says whether a machine offered to vote lately, in whichever epoch.
func (m *Machine) hasStandby(now time.Duration) bool {
	for name, one := range m.standbys {
		if now-one.at < standbyLife && !m.isVoter(name) && !m.isLeavingNow(name, now) {
			return true
		}
	}
	return false
}

func (m *Machine) onReleased(from string, released Released, _ time.Duration) {
	if from == m.ballots.Decided.Primary {
		m.releasedIn = released.Epoch
	}
}

func (m *Machine) isLeavingNow(name string, now time.Duration) bool {
	at, isTold := m.leaving[name]
	return isTold && now-at < leavingLife
}

// IsFree says whether this machine may end: it has no vote, or holds no role and was
// released.
func (m *Machine) IsFree() bool {
	decided := m.ballots.Decided
	isIdle := decided.Primary != m.self && decided.Backup != m.self
	return !m.IsMember() || (isIdle && m.releasedIn == decided.Epoch)
}

// handOver makes the backup primary, where this primary is about to end.
func (m *Machine) handOver(now time.Duration) bool {
	decided := m.ballots.Decided
	at, isHeard := m.acks[decided.Backup]
	isReady := decided.Backup != "" && isHeard && now-at < m.timing.Primacy/2 && !m.isLeavingNow(decided.Backup, now)
	if !m.isLeaving || !isReady {
		return false
	}
	m.propose(Record{Epoch: decided.Epoch + 1, Primary: decided.Backup, Backup: m.self, Voters: decided.Voters}, now)
	return true
}

// changeVoters replaces a voter, where one is to be replaced.
func (m *Machine) changeVoters(now time.Duration) bool {
	old, next, isDue := m.replacement(now)
	if !isDue {
		return false
	}
	decided := m.ballots.Decided
	record := m.successor(decided.Backup)
	record.Voters = decided.Voters.Replace(old, next)
	if decided.Backup == old.Name {
		record.Backup = ""
	}
	if !m.canAnswer(record.Voters, next.Name, now) {
		return false
	}
	m.propose(record, now)
	return true
}

// replacement gives a voter that is to be replaced and by whom: one that came back
// without its disk by itself, and else one that ends or is silent by a standby.
func (m *Machine) replacement(now time.Duration) (old, next Member, isDue bool) {
	ready := m.readyStandbys(now)
	voters := m.ballots.Decided.Voters
	for _, one := range ready {
		if old, isIn := voters.Find(one.Name); isIn {
			return old, one, true
		}
	}
	if len(ready) == 0 {
		return old, next, false
	}
	for _, member := range voters.Members() {
		if member.Name != m.self && m.isToBeReplaced(member.Name, now) {
			return member, m.nearest(ready, member), true
		}
	}
	return old, next, false
}

func (m *Machine) readyStandbys(now time.Duration) []Member {
	var ready []Member
	for _, name := range slices.Sorted(maps.Keys(m.standbys)) {
		one := m.standbys[name]
		if now-one.at < standbyLife && one.epoch == m.ballots.Decided.Epoch && !m.isLeavingNow(name, now) {
			ready = append(ready, Member{Name: name, Incarnation: one.incarnation})
		}
	}
	return ready
}

// isToBeReplaced says whether a voter is silent, or ends and holds no role.
func (m *Machine) isToBeReplaced(name string, now time.Duration) bool {
	silence := now - max(m.acks[name], m.votersAt)
	isEnding := m.isLeavingNow(name, now) && name != m.ballots.Decided.Backup
	return isEnding || silence > silentSpans*m.timing.Primacy
}

// nearest gives the standby in the zone with the fewest other voters, the first
// by name of several.
func (m *Machine) nearest(ready []Member, old Member) Member {
	inZone := map[string]int{}
	for _, member := range m.ballots.Decided.Voters.Members() {
		if member != old {
			inZone[m.zones[member.Name]]++
		}
	}
	return slices.MinFunc(ready, func(a, b Member) int { return inZone[m.zones[a.Name]] - inZone[m.zones[b.Name]] })
}

// canAnswer says whether a majority of some voters, with one that is new, has been
// heard lately.
func (m *Machine) canAnswer(voters Voters, newcomer string, now time.Duration) bool {
	names := voters.Names()
	count := 0
	for _, name := range names {
		at, isHeard := m.acks[name]
		if name == m.self || name == newcomer || (isHeard && now-at < m.timing.Primacy) {
			count++
		}
	}
	return count > len(names)/2
}

// successor gives the record of the next epoch with this machine as primary.
func (m *Machine) successor(backup string) Record {
	decided := m.ballots.Decided
	return Record{Epoch: decided.Epoch + 1, Primary: m.self, Backup: backup, Voters: decided.Voters}
}

// forgetReplaced drops what was known of voters that a new record does not have.
func (m *Machine) forgetReplaced(before Voters, now time.Duration) {
	after := m.ballots.Decided.Voters
	if before == after {
		return
	}
	for _, member := range before.Members() {
		if !after.Has(member) {
			delete(m.acks, member.Name)
			delete(m.spares, member.Name)
			delete(m.leaving, member.Name)
			delete(m.walls, member.Name)
			delete(m.shunned, member.Name)
		}
	}
	m.votersAt = now
}
