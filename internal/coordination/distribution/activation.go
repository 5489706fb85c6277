package distribution

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// effectiveAtOnce is an effective time that has passed by any clock.
const effectiveAtOnce = 1

// NextActivation returns the next write that brings a set closer to its effect, if one
// is due: a scheduled change is accepted shortly before its time, an effective time
// that lies too far ahead is brought forward, and a set that every leased node has
// applied gets its effective time.
func (m *Machine) NextActivation(wallNanos int64, now time.Duration) (Write, bool) {
	if m.activating {
		return Write{}, false
	}
	m.ensureTenure(wallNanos)
	build := m.buildActivation(wallNanos, now)
	if build == nil {
		return Write{}, false
	}
	m.activating = true
	return Write{Build: build, Done: func() {
		m.activating = false
		// The write may have failed, and then no new snapshot ends the bar.
		m.grantor.Unfreeze()
	}}, true
}

// buildActivation returns nil if nothing is due.
func (m *Machine) buildActivation(wallNanos int64, now time.Duration) func(*store.Table) []store.Put {
	if _, due := rollout.NextScheduled(m.state, wallNanos); due {
		return func(state *store.Table) []store.Put { return rollout.AcceptScheduled(state, wallNanos) }
	}
	if overdue := m.overdueSets(wallNanos); len(overdue) > 0 && m.mayActivate(overdue, now) {
		return func(state *store.Table) []store.Put { return rollout.ReplaceSets(state, overdue) }
	}
	if !m.snapshot.HasPendingSet() || !m.grantor.AllAcknowledged(m.setVersion(m.snapshot.NewestSet()), now) {
		return nil
	}
	effectiveAt := wallNanos + int64(m.freezeLeases(now)-now)
	snapshotVersion, tenure := m.snapshot.Version, m.tenure
	return func(state *store.Table) []store.Put {
		return rollout.AssignEffectiveTimes(state, snapshotVersion, effectiveAt, wallNanos, tenure)
	}
}

// freezeLeases bounds the leases by the earliest time at which the pending sets may
// take effect, and returns it: after the last lease that was granted without knowing
// it, except for the very first set, which replaces no other.
func (m *Machine) freezeLeases(now time.Duration) time.Duration {
	earliest := m.grantor.LatestExpiry(now) + m.timing.ActivationMargin
	m.grantor.Freeze(earliest)
	if m.snapshot.Sets[0].EffectiveAt == 0 {
		return now + m.timing.ActivationMargin
	}
	return earliest
}

func (m *Machine) setVersion(set model.BindingSet) store.Version {
	return m.state.Records[model.BindingSetKey(set.Sequence)].Version
}

// overdueSets returns, with an effective time that has passed, the sets whose own lies
// ahead although it should not: a node has activated the set already, or an earlier
// tenure assigned the time by a clock that was set wrong.
func (m *Machine) overdueSets(wallNanos int64) []model.BindingSet {
	var overdue []model.BindingSet
	for _, set := range m.snapshot.Sets {
		if set.EffectiveAt <= wallNanos {
			continue
		}
		isImplausible := set.ScheduledBy != m.tenure && wallNanos >= set.NotBefore && !m.trustsEffectiveTime(set, wallNanos)
		if set.Sequence <= m.highestActive || isImplausible {
			set.EffectiveAt = effectiveAtOnce
			overdue = append(overdue, set)
		}
	}
	return overdue
}

// mayActivate says whether overdue sets may take effect at once: a node has activated
// them already, or no lease of an earlier tenure is left, under which a node that has
// not got the change would serve by the previous set.
func (m *Machine) mayActivate(overdue []model.BindingSet, now time.Duration) bool {
	isInactive := func(set model.BindingSet) bool { return set.Sequence > m.highestActive }
	return !slices.ContainsFunc(overdue, isInactive) || now >= m.grantor.StartedAt()+m.timing.LeaseDuration
}

// trustsEffectiveTime says whether an effective time assigned by an earlier tenure is
// plausible: it is not further ahead than times are assigned, and then every node with
// a lease past it knows it.
func (m *Machine) trustsEffectiveTime(set model.BindingSet, wallNanos int64) bool {
	return m.clockTrusted && time.Duration(set.EffectiveAt-wallNanos) < m.timing.LeaseDuration+m.timing.ActivationMargin
}
