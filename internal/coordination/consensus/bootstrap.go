package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
)

func (m *Machine) onPeers(peers Peers, now time.Duration) {
	m.peers, m.peersByAddress, m.zones = peers.Names, peers.ByAddress, peers.Zones
	if len(m.peers) < m.bootstrap.Voters {
		m.enoughPeersSince = 0
		return
	}
	if m.enoughPeersSince == 0 {
		m.enoughPeersSince = now
	}
}

const (
	// patience is how long enough machines have been met before some of them are
	// made voters, and seedPatience the same while not all seeds are met.
	peerSettleDelay = time.Second
	seedWaitDelay   = 3 * time.Second
)

func (m *Machine) bootstrapVoters(now time.Duration) []string {
	if m.bootstrap.ExactVoters > 0 {
		if len(m.peers) != m.bootstrap.ExactVoters {
			return nil
		}
		return slices.Sorted(slices.Values(m.peers))
	}
	if !m.bootstrap.MayBootstrap || m.bootstrap.Voters == 0 {
		return nil
	}
	var seeded []string
	for _, seed := range m.bootstrap.Seeds {
		name, isMet := m.peersByAddress[seed]
		if isMet && !slices.Contains(seeded, name) {
			seeded = append(seeded, name)
		}
	}
	if len(seeded) >= m.bootstrap.Voters {
		return slices.Sorted(slices.Values(seeded[:m.bootstrap.Voters]))
	}
	wait := peerSettleDelay
	if len(seeded) < len(m.bootstrap.Seeds) {
		wait = seedWaitDelay
	}
	if m.enoughPeersSince == 0 || now-m.enoughPeersSince < wait {
		return nil
	}
	return slices.Sorted(slices.Values(m.peers))[:m.bootstrap.Voters]
}

func (m *Machine) mayBootstrap() bool {
	return !m.corrupted && m.processIncarnation != 0 && (m.bootstrap.ExactVoters > 0 || m.bootstrap.MayBootstrap)
}

// seekStanding asks all where things stand, and founds a fleet where none does.
func (m *Machine) seekCluster(now time.Duration) {
	if now-m.statusRequestedAt < m.timing.FormInterval {
		return
	}
	m.statusRequestedAt = now
	m.requestStatusFromAll()
	if m.identity == nil {
		m.bootstrapCluster(now)
	}
	if m.identity != nil && m.identity.Voters[0] == m.self {
		m.requestFormation(now)
	}
}

func (m *Machine) bootstrapCluster(now time.Duration) {
	voters := m.bootstrapVoters(now)
	if len(voters) == 0 || voters[0] != m.self || !m.mayBootstrap() {
		return
	}
	m.identity = &Identity{
		Cluster: fmt.Sprintf("%s-%d", m.self, m.localWallNanos), Self: m.self, Incarnation: m.diskIncarnation(), Voters: voters,
	}
	m.saveIdentity()
}

// incarnation names this disk: no two that a machine had were blank at the same
// moment.
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
		m.identity = &Identity{
			Cluster: form.Identity.Cluster, Self: m.self, Incarnation: m.diskIncarnation(), Voters: form.Identity.Voters,
		}
		m.saveIdentity()
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

func (m *Machine) completeFormation(now time.Duration) {
	if len(m.formAcks) < len(m.identity.Voters) {
		return
	}
	record := Record{Epoch: 1, Primary: m.identity.Voters[0], Voters: NewVoters(slices.Collect(maps.Values(m.formAcks))...)}
	if len(m.identity.Voters) > 1 {
		record.Backup = m.identity.Voters[1]
	}
	m.enterCluster(record, now, "fleet formed")
	m.eachOtherVoter(func(name string) { m.send(name, ClusterFormed{Cluster: m.identity.Cluster, Record: record}) })
}

func (m *Machine) onClusterFormed(_ string, formed ClusterFormed, now time.Duration) {
	if m.identity != nil && !m.identity.Formed && m.identity.Cluster == formed.Cluster {
		m.enterCluster(formed.Record, now, "fleet formed")
	}
}

func (m *Machine) onStatus(from string, standing Status, now time.Duration) {
	m.abandonFormation(from, standing)
	if m.identity != nil && m.identity.Cluster != standing.Cluster {
		return
	}
	if m.isFormed() {
		m.adopt(standing.Decided, now, "told standing")
		return
	}
	if m.identity == nil && m.processIncarnation != 0 {
		m.identity = &Identity{Cluster: standing.Cluster, Self: m.self, Incarnation: m.diskIncarnation()}
		m.voterState.ReplicaIncomplete = m.requiredSpares() > 0
	}
	if m.identity != nil {
		m.enterCluster(standing.Decided, now, "told standing")
	}
}

// abandon gives up a founding that is under way for a fleet that is formed. Only
// its founder can complete it, so that this is safe for the founder itself, and for
// one that hears of the other fleet from the founder.
func (m *Machine) abandonFormation(from string, standing Status) {
	if m.identity == nil || m.identity.Formed || m.identity.Cluster == standing.Cluster {
		return
	}
	if founder := m.identity.Voters[0]; founder == m.self || founder == from {
		m.identity = nil
		clear(m.formAcks)
	}
}

// enter takes this machine into a fleet that is formed, by a record of it.
func (m *Machine) enterCluster(record Record, now time.Duration, why string) {
	m.voterState.Decided, m.voterState.Acceptor, m.voterState.VotedForOther = record, proposal.Acceptor{}, false
	m.identity.Formed = true
	m.voterState.ReplicaIncomplete = m.voterState.ReplicaIncomplete || (m.requiredSpares() > 0 && !m.IsMember())
	m.saveVoterState()
	m.saveIdentity()
	if m.corrupted {
		m.corrupted = false
		m.emit(RemoveCorrupt{})
	}
	m.grantedTo, m.grantedAt, m.lastPrimaryContact = record.Primary, now, now
	m.startedAt = now
	m.statusRequestedAt = now - m.timing.FormInterval
	m.emitEpochChanged(record, why)
}
