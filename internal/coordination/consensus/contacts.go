package consensus

import (
	"maps"
	"time"
)

// contactLossLeases is the number of leases without a message from a node after which
// contact with that node is considered lost. A node that has lost contact with the
// primary asks all other nodes for their status.
const contactLossLeases = 2

// contacts holds when this node last received messages from other nodes, and when it
// last sent them requests.
type contacts struct {
	// received is when the last message of any kind arrived from each node.
	received map[string]time.Duration
	// primaryAt is when this node last received a RenewLease or Decided of the newest
	// known epoch from the primary of that epoch, or when it received the record of the
	// epoch.
	primaryAt time.Duration
	// statusRequestedAt is when this node last asked all others for their status, or
	// last offered itself to the primary as a standby.
	statusRequestedAt time.Duration
}

func (c contacts) clone() contacts {
	c.received = maps.Clone(c.received)
	return c
}

// requestStatusOnNextTick makes the next tick request the status of the other nodes.
func (m *Machine) requestStatusOnNextTick(now time.Duration) {
	m.contacts.statusRequestedAt = now - m.timing.FormInterval
}

func (m *Machine) isStatusRequestDue(now time.Duration) bool {
	return now-m.contacts.statusRequestedAt >= m.timing.FormInterval
}

// notePrimaryContact records the time at which a message with a record was received, if
// the record is the newest known one and the sender is its primary.
func (m *Machine) notePrimaryContact(from string, record Record, now time.Duration) {
	if m.isFormed() && m.voterState.Decided.IsSame(record) && record.Primary == from {
		m.contacts.primaryAt = now
	}
}

func (m *Machine) hasLostPrimary(now time.Duration) bool {
	return now-m.contacts.primaryAt >= m.leaseDurations(contactLossLeases)
}

// receivesFromQuorum reports whether a majority of the voters, including this node, has
// sent any message recently. Soon after the start of this node it reports true, because
// the voters may not have had the time to send one.
func (m *Machine) receivesFromQuorum(now time.Duration) bool {
	return isMajority(m.Voters(), func(name string) bool {
		return name == m.self || now-max(m.contacts.received[name], m.startedAt) < m.leaseDurations(contactLossLeases)
	})
}
