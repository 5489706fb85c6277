package consensus

import (
	"time"

	"tansyseam/internal/coordination/proposal"
)

// isMajority says whether more than half of some voters meet a condition.
func isMajority(voters []string, meets func(name string) bool) bool {
	count := 0
	for _, name := range voters {
		if meets(name) {
			count++
		}
	}
	return count >= proposal.Majority(len(voters))
}

// respondsToLease says whether a voter has replied within the span of a lease.
func (m *Machine) respondsToLease(name string, now time.Duration) bool {
	return m.tracker.acknowledgedWithin(m.timing.PrimaryLease, name, now)
}

// hasResponder says whether any other voter responds.
func (m *Machine) hasResponder(now time.Duration) bool {
	found := false
	m.eachOtherVoter(func(name string) { found = found || m.respondsToLease(name, now) })
	return found
}

// hasQuorumWithout says whether the voters that respond are a majority without one.
func (m *Machine) hasQuorumWithout(leaving string, now time.Duration) bool {
	return isMajority(m.Voters(), func(name string) bool {
		responds := name == m.self || m.respondsToLease(name, now)
		return responds && name != leaving && !m.leaving.has(name, now)
	})
}

// hasQuorumWith says whether a majority of some voters, with one that is new, responds.
func (m *Machine) hasQuorumWith(voters Voters, newcomer string, now time.Duration) bool {
	return isMajority(voters.Names(), func(name string) bool {
		return name == m.self || name == newcomer || m.respondsToLease(name, now)
	})
}

// leases gives a span as a number of leases.
func (m *Machine) leases(count int) time.Duration {
	return time.Duration(count) * m.timing.PrimaryLease
}
