package consensus

import (
	"time"

	"tansyseam/internal/coordination/proposal"
)

// isMajority reports whether more than half of the given voters meet a condition.
func isMajority(voters []string, condition func(name string) bool) bool {
	count := 0
	for _, name := range voters {
		if condition(name) {
			count++
		}
	}
	return count >= proposal.Majority(len(voters))
}

// respondsWithinLease reports whether a voter has replied to a renewal within the last
// PrimaryLease.
func (m *Machine) respondsWithinLease(name string, now time.Duration) bool {
	return m.tracker.acknowledgedWithin(m.timing.PrimaryLease, name, now)
}

// hasRespondingVoter reports whether any other voter responds.
func (m *Machine) hasRespondingVoter(now time.Duration) bool {
	found := false
	m.eachOtherVoter(func(name string) { found = found || m.respondsWithinLease(name, now) })
	return found
}

// hasQuorumWithout reports whether the responding voters are a majority when neither
// the excluded voter nor any leaving voter is counted.
func (m *Machine) hasQuorumWithout(excluded string, now time.Duration) bool {
	return isMajority(m.Voters(), func(name string) bool {
		responds := name == m.self || m.respondsWithinLease(name, now)
		return responds && name != excluded && !m.leaving.has(name, now)
	})
}

// hasQuorumWith reports whether a majority of the given voters responds. The new voter
// counts as responding.
func (m *Machine) hasQuorumWith(voters Voters, newVoter string, now time.Duration) bool {
	return isMajority(voters.Names(), func(name string) bool {
		return name == m.self || name == newVoter || m.respondsWithinLease(name, now)
	})
}

// leaseDurations returns the duration of the given number of leases.
func (m *Machine) leaseDurations(count int) time.Duration {
	return time.Duration(count) * m.timing.PrimaryLease
}
