package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

// Where more than one machine may be lost at once, a write is synced by the
// backup and by so many spares, voters that the record does not name, that more
// than half of the voters have it. A spare takes a write on the very state before
// it only, so its stamp tells all that it has.

func (m *Machine) sparesWanted() int {
	if !m.founding.IsPaired {
		return 0
	}
	return max(m.founding.Voters/2-1, 0)
}

func (m *Machine) isSpare(name string) bool {
	decided := m.ballots.Decided
	return m.sparesWanted() > 0 && m.isNamed() && name != decided.Backup && name != m.self && m.isVoter(name)
}

func (m *Machine) eachSpare(each func(string)) {
	m.others(func(name string) {
		if m.isSpare(name) {
			each(name)
		}
	})
}

// fillSpares compares copies with the spares that lack what this primary has.
func (m *Machine) fillSpares(now time.Duration) {
	if m.sparesWanted() == 0 || now-m.sparedAt < m.timing.Reply || !m.hasPrimacy(now) {
		return
	}
	m.sparedAt = now
	m.eachSpare(func(name string) {
		at, isHeard := m.acks[name]
		if isHeard && now-at < m.timing.Primacy && m.spares[name].IsBefore(m.copy.Stamp) && (m.repairing == nil || m.repairing.peer != name) {
			m.show(name)
		}
	})
}

func (m *Machine) spared(name string, stamp store.Stamp, isSynced bool, now time.Duration) {
	if !isSynced {
		delete(m.spares, name)
		return
	}
	if m.spares[name].IsBefore(stamp) {
		m.spares[name] = stamp
	}
	m.settleWrite(now)
}

func (m *Machine) backed(now time.Duration) {
	if m.pending != nil {
		m.pending.isBacked = true
		m.settleWrite(now)
	}
}

// settleWrite ends the write under way once backup and spares have it.
func (m *Machine) settleWrite(now time.Duration) {
	if m.pending == nil || !m.pending.isBacked {
		return
	}
	count := 0
	m.eachSpare(func(name string) {
		if !m.spares[name].IsBefore(m.pending.stamp) {
			count++
		}
	})
	if count >= m.sparesWanted() {
		m.finishWrite(now)
	}
}

// isUnnamed says whether this machine votes and is named by no record, so that it
// is a spare to whoever leads.
func (m *Machine) isUnnamed() bool {
	decided := m.ballots.Decided
	return m.sparesWanted() > 0 && m.IsMember() && decided.Primary != m.self && decided.Backup != m.self
}

// sparePatience is how many spans of primacy a spare leaves to those named.
const sparePatience = 3

// mayStandAsSpare says whether this machine may stand though no record names it.
func (m *Machine) mayStandAsSpare(now time.Duration) bool {
	patience := sparePatience * m.timing.Primacy
	isSilent := now >= m.grantAt+patience && now >= m.started+patience
	return m.isUnnamed() && isSilent && !m.ballots.IsHollow && !m.isStalled()
}

// yieldsTo says whether this machine votes for a spare: only where it has a copy
// itself, which is not ahead of the candidate's. Each acknowledged write was synced
// by more than half of the voters, so that one of more than half has it.
func (m *Machine) yieldsTo(candidate string, stamp store.Stamp, now time.Duration) bool {
	if m.sparesWanted() == 0 || m.ballots.IsHollow || !m.isVoter(candidate) || stamp.IsBefore(m.copy.Stamp) {
		return false
	}
	if m.isUnnamed() && (m.copy.Stamp.IsBefore(stamp) || candidate < m.self) {
		m.waitUntil = max(m.waitUntil, now+m.timing.Primacy)
	}
	return true
}

// isGivenAway says whether this machine has promised its vote to one that may not
// have what the primary would have it sync now.
func (m *Machine) isGivenAway(primary string) bool {
	promised := m.ballots.Voter.Promised.Name
	return m.sparesWanted() > 0 && promised != "" && promised != m.self && promised != primary
}

// fill notes that the copy is whole, where it was lost before.
func (m *Machine) fill() {
	if m.ballots.IsHollow {
		m.ballots.IsHollow = false
		m.saveBallots()
	}
}
