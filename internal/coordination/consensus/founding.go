package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/proposal"
)

func (m *Machine) onPeers(peers Peers, now time.Duration) {
	m.peers, m.links, m.zones = peers.Names, peers.Links, peers.Zones
	if len(m.peers) < m.founding.Voters {
		m.many = 0
		return
	}
	if m.many == 0 {
		m.many = now
	}
}

const (
	// patience is how long enough machines have been met before some of them are
	// made voters, and seedPatience the same while not all seeds are met.
	patience     = time.Second
	seedPatience = 3 * time.Second
)

func (m *Machine) founders(now time.Duration) []string {
	if m.founding.Disks > 0 {
		if len(m.peers) != m.founding.Disks {
			return nil
		}
		return slices.Sorted(slices.Values(m.peers))
	}
	if !m.founding.IsFounder || m.founding.Voters == 0 {
		return nil
	}
	var seeded []string
	for _, seed := range m.founding.Seeds {
		name, isMet := m.links[seed]
		if isMet && !slices.Contains(seeded, name) {
			seeded = append(seeded, name)
		}
	}
	if len(seeded) >= m.founding.Voters {
		return slices.Sorted(slices.Values(seeded[:m.founding.Voters]))
	}
	wait := patience
	if len(seeded) < len(m.founding.Seeds) {
		wait = seedPatience
	}
	if m.many == 0 || now-m.many < wait {
		return nil
	}
	return slices.Sorted(slices.Values(m.peers))[:m.founding.Voters]
}

func (m *Machine) mayFound() bool {
	return !m.isUnsound && m.life != 0 && (m.founding.Disks > 0 || m.founding.IsFounder)
}

// seekStanding asks all where things stand, and founds a fleet where none does.
func (m *Machine) seekStanding(now time.Duration) {
	if now-m.asked < m.timing.Form {
		return
	}
	m.asked = now
	m.askAll()
	if m.identity == nil {
		m.found(now)
	}
	if m.identity != nil && m.identity.Voters[0] == m.self {
		m.seekAgreement(now)
	}
}

func (m *Machine) found(now time.Duration) {
	voters := m.founders(now)
	if len(voters) == 0 || voters[0] != m.self || !m.mayFound() {
		return
	}
	m.identity = &Identity{
		Cluster: fmt.Sprintf("%s-%d", m.self, m.wall), Self: m.self, Incarnation: m.incarnation(), Voters: voters,
	}
	m.saveIdentity()
}

// incarnation names this disk: no two that a machine had were blank at the same
// moment.
func (m *Machine) incarnation() uint64 { return uint64(m.life) }

func (m *Machine) seekAgreement(now time.Duration) {
	m.formed[m.self] = Member{Name: m.self, Incarnation: m.identity.Incarnation}
	for _, name := range m.identity.Voters {
		if name != m.self {
			m.send(name, Form{Identity: *m.identity})
		}
	}
	m.settleForm(now)
}

func (m *Machine) onForm(from string, form Form, _ time.Duration) {
	if m.identity == nil && m.mayFound() && slices.Contains(form.Identity.Voters, m.self) {
		m.identity = &Identity{
			Cluster: form.Identity.Cluster, Self: m.self, Incarnation: m.incarnation(), Voters: form.Identity.Voters,
		}
		m.saveIdentity()
	}
	if m.identity != nil && m.identity.Cluster == form.Identity.Cluster {
		m.send(from, FormAck{Cluster: form.Identity.Cluster, Incarnation: m.identity.Incarnation})
	}
}

func (m *Machine) onFormAck(from string, ack FormAck, now time.Duration) {
	if m.identity == nil || m.identity.IsFormed || ack.Cluster != m.identity.Cluster {
		return
	}
	m.formed[from] = Member{Name: from, Incarnation: ack.Incarnation}
	m.settleForm(now)
}

func (m *Machine) settleForm(now time.Duration) {
	if len(m.formed) < len(m.identity.Voters) {
		return
	}
	record := Record{Epoch: 1, Primary: m.identity.Voters[0], Voters: NewVoters(slices.Collect(maps.Values(m.formed))...)}
	if len(m.identity.Voters) > 1 {
		record.Backup = m.identity.Voters[1]
	}
	m.enter(record, now, "fleet formed")
	m.others(func(name string) { m.send(name, Formed{Cluster: m.identity.Cluster, Record: record}) })
}

func (m *Machine) onFormed(_ string, formed Formed, now time.Duration) {
	if m.identity != nil && !m.identity.IsFormed && m.identity.Cluster == formed.Cluster {
		m.enter(formed.Record, now, "fleet formed")
	}
}

func (m *Machine) onStanding(from string, standing Standing, now time.Duration) {
	m.abandon(from, standing)
	if m.identity != nil && m.identity.Cluster != standing.Cluster {
		return
	}
	if m.isFormed() {
		m.adopt(standing.Decided, now, "told standing")
		return
	}
	if m.identity == nil && m.life != 0 {
		m.identity = &Identity{Cluster: standing.Cluster, Self: m.self, Incarnation: m.incarnation()}
		m.ballots.IsHollow = m.sparesWanted() > 0
	}
	if m.identity != nil {
		m.enter(standing.Decided, now, "told standing")
	}
}

// abandon gives up a founding that is under way for a fleet that is formed. Only
// its founder can complete it, so that this is safe for the founder itself, and for
// one that hears of the other fleet from the founder.
func (m *Machine) abandon(from string, standing Standing) {
	if m.identity == nil || m.identity.IsFormed || m.identity.Cluster == standing.Cluster {
		return
	}
	if founder := m.identity.Voters[0]; founder == m.self || founder == from {
		m.identity = nil
		clear(m.formed)
	}
}

// enter takes this machine into a fleet that is formed, by a record of it.
func (m *Machine) enter(record Record, now time.Duration, why string) {
	m.ballots.Decided, m.ballots.Voter, m.ballots.IsPledged = record, proposal.Voter{}, false
	m.identity.IsFormed = true
	m.ballots.IsHollow = m.ballots.IsHollow || (m.sparesWanted() > 0 && !m.IsMember())
	m.saveBallots()
	m.saveIdentity()
	if m.isUnsound {
		m.isUnsound = false
		m.emit(Clean{})
	}
	m.grantTo, m.grantAt, m.heardAt = record.Primary, now, now
	m.started = now
	m.asked = now - m.timing.Form
	m.turned(record, why)
}
