package distribution

import (
	"time"

	"tansyseam/internal/state/model"
)

// maxLease returns the longest lease that may be granted beside sets that have yet to
// take effect: a node whose lease lapses before need not be waited for. It is 0 while
// it is not known for how long nodes may still serve by the previous set: a set is
// overdue, or one of an earlier tenure has times that this node's clock cannot judge.
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

// isInherited says whether a set's effective time, or the set itself if it has none
// yet, is of an earlier tenure.
func (m *Machine) isInherited(set model.BindingSet) bool {
	if set.EffectiveAt != 0 {
		return set.ScheduledBy != m.tenure
	}
	return !m.inheritedVersion.IsBefore(m.setVersion(set))
}

// remaining returns what is left at a time of a span that started at another.
func remaining(startedAt int64, span time.Duration, wallNanos int64) time.Duration {
	return max(time.Duration(startedAt-wallNanos)+span, 0)
}
