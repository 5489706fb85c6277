package consensus

import (
	"time"

	"tansyseam/internal/coordination/proposal"
)

// isMajority says whether more than half of some voters meet a condition.
func isMajority(voters []string, condition func(name string) bool) bool {
	count := 0
	for _, name := range voters {
		if condition(name) {
			count++
		}
	}
	return count >= proposal.Majority(len(voters))
}

// respondsWithinLease says whether a voter has replied within the span of a lease.
func (m *Machine) respondsWithinLease(name string, now time.Duration) bool {
	return m.tracker.acknowledgedWithin(m.timing.PrimaryLease, name, now)
}

// hasRespondingVoter says whether any other voter responds.
func (m *Machine) hasRespondingVoter(now time.Duration) bool {
	found := false
	m.eachOtherVoter(func(name string) { found = found || m.respondsWithinLease(name, now) })
	return found
}

// hasQuorumWithout says whether the voters that respond are a majority without one.
func (m *Machine) hasQuorumWithout(excluded string, now time.Duration) bool {
	return isMajority(m.Voters(), func(name string) bool {
		responds := name == m.self || m.respondsWithinLease(name, now)
		return responds && name != excluded && !m.leaving.has(name, now)
	})
}

// hasQuorumWith says whether a majority of some voters, with one that is new, responds.
func (m *Machine) hasQuorumWith(voters Voters, newVoter string, now time.Duration) bool {
	return isMajority(voters.Names(), func(name string) bool {
		return name == m.self || name == newVoter || m.respondsWithinLease(name, now)
	})
}

// leaseDurations gives a span as a number of leaseDurations.
func (m *Machine) leaseDurations(count int) time.Duration {
	return time.Duration(count) * m.timing.PrimaryLease
}
