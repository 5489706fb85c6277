package distribution

import (
	"time"

	"tansyseam/internal/state/model"
)

// maxLease returns the longest lease that may be granted while sets have yet to take
// effect. It is limited so that leases end in time for the activation deadline, since a
// set need not wait for a node whose lease has lapsed. It is 0 while it is unknown for how
// long nodes may still serve by the previous set. This is the case if a set is overdue, or
// if a set inherited from an earlier tenure has yet to take effect and this control node's
// clock is not trusted, so that the set's times cannot be compared with it.
func (m *Machine) maxLease(wallNanos int64) time.Duration {
	if len(m.overdueSets(wallNanos)) > 0 {
		return 0
	}
	longest := m.timing.LeaseDuration
	for _, set := range m.snapshot.Sets {
		isPending := set.EffectiveAt == 0
		isUpcoming := set.EffectiveAt > wallNanos
		if !isPending && !isUpcoming {
			continue
		}
		if !m.clockTrusted && m.isInherited(set) {
			return 0
		}
		longest = min(longest, remaining(max(set.AcceptedAt, set.NotBefore), m.timing.PreviousSetLimit(), wallNanos))
		if isPending {
			longest = min(longest, remaining(set.AcceptedAt, m.timing.PendingSetLimit(), wallNanos))
		}
	}
	return longest
}

// isInherited reports whether a set's effective time was assigned by an earlier tenure or,
// for a set without an effective time, whether the set was written by an earlier tenure.
func (m *Machine) isInherited(set model.BindingSet) bool {
	if set.EffectiveAt != 0 {
		return set.ScheduledBy != m.tenure
	}
	return !m.inheritedVersion.IsBefore(m.setVersion(set))
}

// remaining returns the part that is left at wallNanos of a span that began at startedAt,
// and at least 0.
func remaining(startedAt int64, span time.Duration, wallNanos int64) time.Duration {
	return max(time.Duration(startedAt-wallNanos)+span, 0)
}
