package distribution

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// effectiveAtOnce is an effective time that is in the past by any clock, so that a set with
// it takes effect immediately.
const effectiveAtOnce = 1

// NextActivation returns the next write towards the activation of a set, if one is due.
// The write accepts a scheduled change shortly before its time, brings forward effective
// times that lie too far ahead, or assigns an effective time to the pending sets once every
// leased node has applied them.
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
		// Publish lifts the limit on leases once the sets have their effective times. If
		// the write failed, that does not happen, so the limit is lifted here.
		m.grantor.Unfreeze()
	}}, true
}

// buildActivation returns the function that computes the puts of the next activation
// write, or nil if no write is due.
func (m *Machine) buildActivation(wallNanos int64, now time.Duration) func(*store.Table) []store.Put {
	if _, due := rollout.NextScheduled(m.state, wallNanos); due {
		return func(state *store.Table) []store.Put { return rollout.AcceptScheduled(state, wallNanos) }
	}
	if overdue := m.overdueSets(wallNanos); len(overdue) > 0 && m.mayActivate(overdue, now) {
		return func(state *store.Table) []store.Put { return rollout.ReplaceSets(state, overdue) }
	}
	acknowledged, found := m.newestAcknowledgedSet(now)
	if !found {
		return nil
	}
	effectiveAt := wallNanos + int64(m.freezeLeases(now)-now)
	version, tenure := m.setVersion(acknowledged), m.tenure
	return func(state *store.Table) []store.Put {
		return rollout.AssignEffectiveTimes(state, version, effectiveAt, wallNanos, tenure)
	}
}

// newestAcknowledgedSet returns the newest pending set that every leased node has applied.
// A newer set that is still being distributed does not delay it.
func (m *Machine) newestAcknowledgedSet(now time.Duration) (model.BindingSet, bool) {
	for _, set := range slices.Backward(m.snapshot.Sets) {
		if set.EffectiveAt == 0 && m.grantor.AllAcknowledged(m.setVersion(set), now) {
			return set, true
		}
	}
	return model.BindingSet{}, false
}

// freezeLeases limits the end of the leases granted from now on, and returns the earliest
// time at which the pending sets may take effect. Both are the end of the last lease granted
// so far, plus the activation margin, because every lease granted without the effective time
// must have ended by then. The very first set replaces no other and therefore waits only for
// the activation margin.
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

// overdueSets returns the sets whose effective time lies in the future although they should
// have taken effect, with the effective time replaced by effectiveAtOnce. A set is overdue
// if a node has already activated it. It is also overdue if its NotBefore has passed and an
// earlier tenure assigned an effective time that trustsEffectiveTime does not accept, for
// example because that tenure's clock was set wrong.
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

// mayActivate reports whether overdue sets may take effect immediately. They may if a node
// has already activated them, or if no lease of an earlier tenure is left. Under such a
// lease, a node that has not received the change would still serve by the previous set.
func (m *Machine) mayActivate(overdue []model.BindingSet, now time.Duration) bool {
	isInactive := func(set model.BindingSet) bool { return set.Sequence > m.highestActive }
	return !slices.ContainsFunc(overdue, isInactive) || now >= m.grantor.StartedAt()+m.timing.LeaseDuration
}

// trustsEffectiveTime reports whether an effective time assigned by an earlier tenure is
// plausible, which requires that this node's clock is trusted and that the time is less than
// the longest lease plus the activation margin ahead, since effective times are assigned no
// further ahead than that. Every node with a lease past a plausible effective time has
// received that time.
func (m *Machine) trustsEffectiveTime(set model.BindingSet, wallNanos int64) bool {
	return m.clockTrusted && time.Duration(set.EffectiveAt-wallNanos) < m.timing.LeaseDuration+m.timing.ActivationMargin
}
