package consensus

import (
	"slices"
	"time"
)

// silentVoterLeases is the number of leases for which a voter may be silent before a
// standby replaces it.
const silentVoterLeases = 3

// replaceVoter proposes an epoch in which a standby replaces a voter, and reports
// whether it proposed one. Only one voter is replaced at a time.
func (m *Machine) replaceVoter(now time.Duration) bool {
	replacement, ok := m.nextReplacement(now)
	if !ok {
		return false
	}
	decided := m.voterState.Decided
	backup := decided.Backup
	if backup == replacement.old.Name {
		backup = ""
	}
	record := m.nextRecord(backup, decided.Voters.Replace(replacement.old, replacement.next))
	if !m.hasQuorumWith(record.Voters, replacement.next.Name, now) {
		return false
	}
	m.propose(record, now)
	return true
}

// replacement is a voter and the standby that is to vote in its place.
type replacement struct{ old, next Member }

// nextReplacement returns a voter that has to be replaced and the node that replaces
// it. A node that returned without its disk comes first and replaces itself. Otherwise,
// a standby replaces a voter that is silent or leaving.
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

// needsReplacement reports whether a voter is silent or leaving. A successor keeps its
// vote until another node is the backup, because the only other complete replica is that
// of this node.
func (m *Machine) needsReplacement(name string, now time.Duration) bool {
	if m.voterState.Decided.IsSuccessor(name) {
		return false
	}
	return m.leaving.has(name, now) || m.tracker.silence(name, now) > m.leaseDurations(silentVoterLeases)
}

// pickStandby returns the standby in the zone with the fewest voters, not counting the
// replaced voter. If several standbys qualify, it returns the first by name.
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
