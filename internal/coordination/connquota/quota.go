// Package connquota says how many connections a node may have at an instance
// whose cap all nodes share. Nodes that know the same names come to the same
// rights without a word between them.
//
// Where the cap gives each node two or more, each has that share. Where it
// gives less, half of the cap is kept: rendezvous hashing names, for each
// instance, the nodes that may keep one connection at rest there. The other
// half is spare: any node opens what a statement waits for, and gives it back
// once it rests.
package connquota

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/rendezvous"
)

// Plenty is the share from which a node has connections of its own only: one
// that rests inside a transaction then leaves it another.
const MinExclusive = 2

// Share is what one node may have at one instance: Kept connections at rest,
// Most in all.
type Quota struct {
	MaxIdle int
	MaxOpen int
}

// IsScarce says whether connections over the kept ones are given back.
func (s Quota) IsScarce() bool { return s.MaxIdle < s.MaxOpen }

// Names are the nodes that share: those that lived in the last minute, so that
// one that comes back finds its rights free. The zero value knows none.
type Members struct {
	lastSeen  map[string]time.Duration
	names     []string
	live      []string
	updatedAt time.Duration
}

const (
	retention = time.Minute
	// looked is how often the same names are gone through again.
	refreshInterval = time.Second
)

// Note takes the names of the nodes that live now, and says whether those that
// share have changed.
func (m *Members) Update(live []string, now time.Duration) bool {
	if m.lastSeen != nil && now-m.updatedAt < refreshInterval && slices.Equal(live, m.live) {
		return false
	}
	if m.lastSeen == nil {
		m.lastSeen = map[string]time.Duration{}
	}
	m.live, m.updatedAt = append(m.live[:0], live...), now
	changed := false
	for _, name := range live {
		_, known := m.lastSeen[name]
		changed = changed || !known
		m.lastSeen[name] = now
	}
	for name, at := range m.lastSeen {
		if now-at >= retention {
			delete(m.lastSeen, name)
			changed = true
		}
	}
	if changed {
		m.names = m.names[:0]
		for name := range m.lastSeen {
			m.names = append(m.names, name)
		}
		slices.Sort(m.names)
	}
	return changed
}

// Count is how many nodes share, one at least.
func (m *Members) Count() int { return max(len(m.names), 1) }

// Of gives the share of a node at an instance with a cap; one connection is
// left to the control primary. A cap below two is not known yet.
func (m *Members) Quota(node, instance string, connections int) Quota {
	if connections < MinExclusive {
		return Quota{MaxIdle: 1, MaxOpen: 1}
	}
	if own := connections / (m.Count() + 1); own >= MinExclusive {
		return Quota{MaxIdle: own, MaxOpen: own}
	}
	quota := Quota{MaxOpen: MinExclusive}
	if half := connections / 2; half >= m.Count() || rendezvous.IsSelected(m.names, instance, node, half) {
		quota.MaxIdle = 1
	}
	return quota
}
