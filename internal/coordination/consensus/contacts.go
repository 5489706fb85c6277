package consensus

import (
	"maps"
	"time"
)

// contactLossLeases is for how many leases a node receives nothing of another before it
// takes the contact for lost. One that has lost the primary asks all others for their
// status.
const contactLossLeases = 2

// contacts is when this node last heard of others, and last asked them.
type contacts struct {
	// received is when each node last sent any message.
	received map[string]time.Duration
	// primaryAt is when the primary of the newest epoch known last sent a message that
	// names this epoch, or when this node learnt of it.
	primaryAt time.Duration
	// statusRequestedAt is when all others were last asked for their status, or this
	// node last offered itself to the primary.
	statusRequestedAt time.Duration
}

func (c contacts) clone() contacts {
	c.received = maps.Clone(c.received)
	return c
}

// requestStatusOnNextTick has the next tick ask for the status of the others.
func (m *Machine) requestStatusOnNextTick(now time.Duration) {
	m.contacts.statusRequestedAt = now - m.timing.FormInterval
}

func (m *Machine) isStatusRequestDue(now time.Duration) bool {
	return now-m.contacts.statusRequestedAt >= m.timing.FormInterval
}

// notePrimaryContact notes a message of the primary of the newest epoch known.
func (m *Machine) notePrimaryContact(from string, record Record, now time.Duration) {
	if m.isFormed() && m.voterState.Decided == record && record.Primary == from {
		m.contacts.primaryAt = now
	}
}

func (m *Machine) hasLostPrimary(now time.Duration) bool {
	return now-m.contacts.primaryAt >= m.leaseDurations(contactLossLeases)
}

// receivesFromQuorum says whether a majority of the voters, this node among them, has sent
// any message lately, or may not have had the time since this node started.
func (m *Machine) receivesFromQuorum(now time.Duration) bool {
	return isMajority(m.Voters(), func(name string) bool {
		return name == m.self || now-max(m.contacts.received[name], m.startedAt) < m.leaseDurations(contactLossLeases)
	})
}
