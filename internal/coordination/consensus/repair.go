package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

// repair is the repair of the replica of a voter that is to become the backup.
type repair struct {
	peer   string
	sentAt time.Duration
}

// repairState is the state of the primary's repairs of other voters' replicas.
type repairState struct {
	// active is the repair of the voter that is to become the backup, or nil. It is
	// replaced as a whole and never changed in place.
	active *repair
	// spareDigestsSentAt is when digests were last sent to the spares that lack writes.
	spareDigestsSentAt time.Duration
}

// isRepairing reports whether the replica of the given voter is being repaired to make
// the voter the backup.
func (s *repairState) isRepairing(peer string) bool { return s.active != nil && s.active.peer == peer }

// repairNextBackup repairs the replica of a voter that is to become the backup, if
// there is no backup or the backup is leaving. A voter that failed recently is tried
// only if the backup is leaving and no other voter is available.
func (m *Machine) repairNextBackup(now time.Duration) {
	backup := m.voterState.Decided.Backup
	isLeaving := m.leaving.has(backup, now)
	if (backup != "" && !isLeaving) || !m.holdsLease(now) {
		return
	}
	if m.repairs.active != nil && now-m.repairs.active.sentAt < m.timing.ReplyTimeout {
		return
	}
	if m.repairs.active != nil {
		m.tracker.exclude(m.repairs.active.peer, now+m.timing.PrimaryLease)
		m.repairs.active = nil
	}
	peer := m.latestResponder(now, func(name string) bool { return !m.tracker.isExcluded(name, now) })
	if peer == "" && isLeaving {
		peer = m.latestResponder(now, func(string) bool { return true })
	}
	if peer != "" {
		m.startRepair(peer, now)
	}
}

// latestResponder returns the voter with the latest reply among those that may become
// the backup, or "" if there is none.
func (m *Machine) latestResponder(now time.Duration, isAllowed func(name string) bool) string {
	latest := ""
	m.eachOtherVoter(func(name string) {
		at, found := m.tracker.lastAck[name]
		isCandidate := name != m.voterState.Decided.Backup && !m.leaving.has(name, now) && isAllowed(name)
		if !found || now-at > m.timing.PrimaryLease || !isCandidate {
			return
		}
		if latest == "" || m.tracker.lastAck[latest] < at {
			latest = name
		}
	})
	return latest
}

func (m *Machine) startRepair(peer string, now time.Duration) {
	m.repairs.active = &repair{peer: peer, sentAt: now}
	m.sendDigests(peer)
}

func (m *Machine) sendDigests(peer string) {
	m.send(peer, RepairDigests{Record: m.voterState.Decided, Version: m.replica.version(), Digests: m.replica.table.Digests()})
}

func (m *Machine) onRepairDigests(from string, digests RepairDigests, now time.Duration) {
	m.adopt(digests.Record, now, reasonRepair)
	if !m.followsPrimary(from, digests.Record) {
		return
	}
	ranges := store.DifferingRanges(m.replica.table.Digests(), digests.Digests)
	if len(ranges) == 0 && m.replica.version() == digests.Version {
		m.noteReplicaComplete()
		m.send(from, RepairDone{Version: digests.Version})
		return
	}
	m.send(from, RepairRequest{Version: digests.Version, Ranges: ranges})
}

func (m *Machine) onRepairRequest(from string, request RepairRequest, now time.Duration) {
	isActive := m.repairs.isRepairing(from)
	if !isActive && !m.isSpare(from) {
		return
	}
	if request.Version != m.replica.version() {
		if isActive {
			m.startRepair(from, now)
		}
		return
	}
	m.send(from, RepairRanges{
		Record: m.voterState.Decided, Version: m.replica.version(),
		Ranges: request.Ranges, Records: m.replica.table.RecordsInRanges(request.Ranges),
	})
}

func (m *Machine) onRepairRanges(from string, repaired RepairRanges, _ time.Duration) {
	if !m.followsPrimary(from, repaired.Record) {
		return
	}
	m.replica.replaceRanges(repaired.Version, repaired.Ranges, repaired.Records)
	m.saveTable()
	m.noteReplicaComplete()
	m.send(from, RepairDone{Version: repaired.Version})
}

// noteReplicaComplete records that the replica is complete, if it was incomplete
// before.
func (m *Machine) noteReplicaComplete() {
	if m.voterState.ReplicaIncomplete {
		m.voterState.ReplicaIncomplete = false
		m.saveVoterState()
	}
}

func (m *Machine) onRepairDone(from string, done RepairDone, now time.Duration) {
	if m.isSpare(from) {
		m.noteSpareVersion(from, done.Version, true, now)
	}
	if !m.repairs.isRepairing(from) || !m.isRecordedPrimary() {
		return
	}
	if done.Version != m.replica.version() || (m.writes.pending != nil && !m.awaitsBackup()) {
		m.startRepair(from, now)
		return
	}
	m.repairs.active = nil
	if !m.proposals.isUnderWay() {
		m.propose(m.nextRecord(from, m.voterState.Decided.Voters), now)
	}
}
