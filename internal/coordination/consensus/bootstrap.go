package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// peerSettleDelay is for how long enough nodes must have been met before some of
	// them are made voters, and seedWaitDelay the same while not all seeds are met.
	peerSettleDelay = time.Second
	seedWaitDelay   = 3 * time.Second
)

// bootstrapVoters names the voters of a new cluster, sorted; there are none before
// enough nodes were met. The first of them forms the cluster.
func (m *Machine) bootstrapVoters(now time.Duration) []string {
	if m.bootstrap.ExactVoters > 0 {
		if len(m.peers.names) != m.bootstrap.ExactVoters {
			return nil
		}
		return m.peers.sorted()
	}
	if !m.bootstrap.MayBootstrap || m.bootstrap.Voters == 0 {
		return nil
	}
	seeds := m.peers.atAddresses(m.bootstrap.Seeds)
	if len(seeds) >= m.bootstrap.Voters {
		return slices.Sorted(slices.Values(seeds[:m.bootstrap.Voters]))
	}
	delay := peerSettleDelay
	if len(seeds) < len(m.bootstrap.Seeds) {
		delay = seedWaitDelay
	}
	if !m.peers.hasEnoughFor(delay, now) {
		return nil
	}
	return m.peers.sorted()[:m.bootstrap.Voters]
}

// mayBootstrap says whether this node may take part in forming a cluster. One whose
// files are damaged has been in a cluster before.
func (m *Machine) mayBootstrap() bool {
	return !m.disk.corrupted && m.processIncarnation != 0 && (m.bootstrap.ExactVoters > 0 || m.bootstrap.MayBootstrap)
}

// discoverCluster asks all others for their status, and forms a cluster where none has one.
func (m *Machine) discoverCluster(now time.Duration) {
	if !m.isStatusRequestDue(now) {
		return
	}
	m.contacts.statusRequestedAt = now
	m.requestStatusFromAll()
	if m.identity == nil {
		m.bootstrapCluster(now)
	}
	if m.identity != nil && m.identity.Voters[0] == m.self {
		m.requestFormation(now)
	}
}

// bootstrapCluster begins to form a cluster, where this node is the one to do so.
func (m *Machine) bootstrapCluster(now time.Duration) {
	voters := m.bootstrapVoters(now)
	if len(voters) == 0 || voters[0] != m.self || !m.mayBootstrap() {
		return
	}
	m.beginFormation(fmt.Sprintf("%s-%d", m.self, m.clock.localNanos), voters)
}

// beginFormation agrees to form a cluster with some voters.
func (m *Machine) beginFormation(cluster string, voters []string) {
	m.identity = &Identity{Cluster: cluster, Self: m.self, Incarnation: m.diskIncarnation(), Voters: voters}
	m.saveIdentity()
}

// diskIncarnation names the disk of this node. It differs from those of earlier disks,
// since only one of them was blank when this run of the program began.
func (m *Machine) diskIncarnation() uint64 { return uint64(m.processIncarnation) }

func (m *Machine) requestFormation(now time.Duration) {
	m.formAcks[m.self] = Member{Name: m.self, Incarnation: m.identity.Incarnation}
	for _, name := range m.identity.Voters {
		if name != m.self {
			m.send(name, FormCluster{Identity: *m.identity})
		}
	}
	m.completeFormation(now)
}

func (m *Machine) onFormCluster(from string, form FormCluster, _ time.Duration) {
	if m.identity == nil && m.mayBootstrap() && slices.Contains(form.Identity.Voters, m.self) {
		m.beginFormation(form.Identity.Cluster, form.Identity.Voters)
	}
	if m.identity != nil && m.identity.Cluster == form.Identity.Cluster {
		m.send(from, FormClusterAck{Cluster: form.Identity.Cluster, Incarnation: m.identity.Incarnation})
	}
}

func (m *Machine) onFormClusterAck(from string, ack FormClusterAck, now time.Duration) {
	if m.identity == nil || m.identity.Formed || ack.Cluster != m.identity.Cluster {
		return
	}
	m.formAcks[from] = Member{Name: from, Incarnation: ack.Incarnation}
	m.completeFormation(now)
}

// completeFormation decides the first record once all voters have agreed.
func (m *Machine) completeFormation(now time.Duration) {
	voters := m.identity.Voters
	if len(m.formAcks) < len(voters) {
		return
	}
	record := Record{Epoch: 1, Primary: voters[0], Voters: NewVoters(slices.Collect(maps.Values(m.formAcks))...)}
	if len(voters) > 1 {
		record.Backup = voters[1]
	}
	m.enterCluster(record, now, reasonClusterFormed)
	m.eachOtherVoter(func(name string) { m.send(name, ClusterFormed{Cluster: m.identity.Cluster, Record: record}) })
}

func (m *Machine) onClusterFormed(_ string, formed ClusterFormed, now time.Duration) {
	if m.identity != nil && !m.identity.Formed && m.identity.Cluster == formed.Cluster {
		m.enterCluster(formed.Record, now, reasonClusterFormed)
	}
}

// abandonFormation gives up forming a cluster in favour of one that is formed. Only
// the first of the voters can complete the formation, so that this is safe for that
// one, and for the others on a message of it.
func (m *Machine) abandonFormation(from string, status Status) {
	if m.identity == nil || m.identity.Formed || m.identity.Cluster == status.Cluster {
		return
	}
	if initiator := m.identity.Voters[0]; initiator == m.self || initiator == from {
		m.identity = nil
		clear(m.formAcks)
	}
}

// enterCluster makes this node part of a cluster that is formed, by a record of it.
func (m *Machine) enterCluster(record Record, now time.Duration, reason string) {
	m.identity.Formed = true
	m.setDecided(record)
	m.saveVoterState()
	m.saveIdentity()
	m.removeCorrupt()
	m.assumeLeaseGranted(now)
	m.startedAt = now
	m.requestStatusOnNextTick(now)
	m.emitEpochChanged(reason)
}
