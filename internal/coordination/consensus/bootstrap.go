package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// peerSettleDelay is the minimum time between the discovery of enough nodes and the
	// choice of the voters among them.
	peerSettleDelay = time.Second
	// seedWaitDelay replaces peerSettleDelay while not all seeds have been discovered.
	seedWaitDelay = 3 * time.Second
)

// bootstrapVoters returns the names of the voters of a new cluster, sorted. It returns
// none before enough nodes have been discovered. The first voter forms the cluster.
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

// mayBootstrap reports whether this node may take part in forming a cluster. A node
// with damaged files may not, because it has been in a cluster before.
func (m *Machine) mayBootstrap() bool {
	return !m.disk.corrupted && m.processIncarnation != 0 && (m.bootstrap.ExactVoters > 0 || m.bootstrap.MayBootstrap)
}

// discoverCluster asks all other nodes for their status. Until a cluster is found, it
// also starts to form one, or continues to, if this node is the initiator.
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

// bootstrapCluster starts to form a cluster if this node is the first of the chosen
// voters.
func (m *Machine) bootstrapCluster(now time.Duration) {
	voters := m.bootstrapVoters(now)
	if len(voters) == 0 || voters[0] != m.self || !m.mayBootstrap() {
		return
	}
	m.beginFormation(fmt.Sprintf("%s-%d", m.self, m.clock.localNanos), voters)
}

// beginFormation records that this node agrees to form a cluster with the given voters.
func (m *Machine) beginFormation(cluster string, voters []string) {
	m.identity = &Identity{Cluster: cluster, Self: m.self, Incarnation: m.diskIncarnation(), Voters: voters}
	m.saveIdentity()
}

// diskIncarnation returns the incarnation of a disk that has no identity yet. It differs
// from those of the node's other disks, because it identifies this run of the program,
// and only one disk was blank when the run began.
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

// abandonFormation gives up forming a cluster in favour of a cluster that is already
// formed. Only the first voter can complete a formation. The first voter itself can
// therefore give up safely. Another voter can do so when the first voter reports that
// it is in a different cluster.
func (m *Machine) abandonFormation(from string, status Status) {
	if m.identity == nil || m.identity.Formed || m.identity.Cluster == status.Cluster {
		return
	}
	if initiator := m.identity.Voters[0]; initiator == m.self || initiator == from {
		m.identity = nil
		clear(m.formAcks)
	}
}

// enterCluster makes this node part of a formed cluster, starting from a record of that
// cluster.
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
