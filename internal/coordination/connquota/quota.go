// Package connquota divides the connection limit of an instance among the nodes.
// Nodes with the same list of members compute the same quotas without
// communication.
//
// The limit is divided into equal shares, one for each node and one for the control
// primary. If a share has two connections or more, each node gets its share. If it
// has fewer, half of the limit is assigned: for each instance, rendezvous hashing
// selects the nodes that may keep one idle connection. The other half is shared:
// any node may open a connection for a waiting statement, and closes the connection
// when it becomes idle.
package connquota

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/rendezvous"
)

// MinExclusive is the smallest share, in connections, for which a node's quota is
// exclusive. With two connections, one is left while an open transaction holds the
// other.
const MinExclusive = 2

const (
	// retention is how long a node that is no longer live counts as a member.
	retention = time.Minute
	// refreshInterval is the interval at which an unchanged list of live nodes is
	// processed.
	refreshInterval = time.Second
)

// Quota limits the connections that one node may have to one instance.
type Quota struct {
	// MaxIdle limits the idle connections. MaxOpen limits all connections.
	MaxIdle int
	MaxOpen int
}

// IsScarce reports whether connections beyond MaxIdle must be closed when they
// become idle.
func (q Quota) IsScarce() bool { return q.MaxIdle < q.MaxOpen }

// Members holds the nodes that share the limits: all nodes that were live within
// the last minute, so that the quota of a node that restarts stays free. The zero
// value has no members.
type Members struct {
	// lastLive is the time at which each member was last live. names holds the
	// members in sorted order.
	lastLive map[string]time.Duration
	names    []string
	// live is the list of live nodes that was last processed, at updatedAt.
	live      []string
	updatedAt time.Duration
}

// Update sets the names of the live nodes, and reports whether the members changed.
func (m *Members) Update(live []string, now time.Duration) bool {
	if m.lastLive != nil && now-m.updatedAt < refreshInterval && slices.Equal(live, m.live) {
		return false
	}
	if m.lastLive == nil {
		m.lastLive = map[string]time.Duration{}
	}
	m.live = append(m.live[:0], live...)
	m.updatedAt = now
	added := m.addLive(now)
	removed := m.removeExpired(now)
	if !added && !removed {
		return false
	}
	m.names = slices.AppendSeq(m.names[:0], maps.Keys(m.lastLive))
	slices.Sort(m.names)
	return true
}

// addLive records the live nodes as members, and reports whether any of them is new.
func (m *Members) addLive(now time.Duration) (added bool) {
	for _, name := range m.live {
		_, isMember := m.lastLive[name]
		added = added || !isMember
		m.lastLive[name] = now
	}
	return added
}

// removeExpired removes the nodes that were not live within the retention, and
// reports whether there were any.
func (m *Members) removeExpired(now time.Duration) (removed bool) {
	for name, lastLive := range m.lastLive {
		if now-lastLive >= retention {
			delete(m.lastLive, name)
			removed = true
		}
	}
	return removed
}

// Count returns the number of members, but at least 1.
func (m *Members) Count() int { return max(len(m.names), 1) }

// Quota returns the quota of a node at an instance with a connection limit. One
// share is reserved for the control primary. A limit below 2 means that the limit
// is not known yet, and allows one connection.
func (m *Members) Quota(node, instance string, limit int) Quota {
	if limit < MinExclusive {
		return Quota{MaxIdle: 1, MaxOpen: 1}
	}
	if share := limit / (m.Count() + 1); share >= MinExclusive {
		return Quota{MaxIdle: share, MaxOpen: share}
	}
	quota := Quota{MaxOpen: MinExclusive}
	if half := limit / 2; half >= m.Count() || rendezvous.IsSelected(m.names, instance, node, half) {
		quota.MaxIdle = 1
	}
	return quota
}
