// Package connquota divides the connection limit of an instance among the nodes.
// Nodes that know the same members agree on the quotas without communication.
//
// Where the limit allows each node two connections or more, each gets an equal
// share. Where it allows less, half of the limit is assigned: for each instance,
// rendezvous hashing selects the nodes that may keep one idle connection. The
// other half is shared: any node opens a connection that a statement waits for,
// and closes it once it is idle.
package connquota

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/rendezvous"
)

// MinExclusive is the smallest share, in connections, that makes a quota
// exclusive: while one connection is held by an open transaction, another is left.
const MinExclusive = 2

const (
	// retention is how long a node that is not live any more counts as a member.
	retention = time.Minute
	// refreshInterval is how often an unchanged list of live nodes is processed.
	refreshInterval = time.Second
)

// Quota is how many connections one node may have at one instance.
type Quota struct {
	// MaxIdle limits the idle connections, MaxOpen all connections.
	MaxIdle int
	MaxOpen int
}

// IsScarce says whether connections beyond MaxIdle are closed once they are idle.
func (q Quota) IsScarce() bool { return q.MaxIdle < q.MaxOpen }

// Members are the nodes that share the limits: all that were live in the last
// minute, so that a node that restarts finds its quota free. The zero value has
// no members.
type Members struct {
	// lastLive is when each member was last live, and names are the members, sorted.
	lastLive map[string]time.Duration
	names    []string
	// live is the list that was processed last, at updatedAt.
	live      []string
	updatedAt time.Duration
}

// Update takes the names of the live nodes, and says whether the members changed.
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

// addLive notes the live nodes, and says whether one of them is new.
func (m *Members) addLive(now time.Duration) (added bool) {
	for _, name := range m.live {
		_, known := m.lastLive[name]
		added = added || !known
		m.lastLive[name] = now
	}
	return added
}

// removeExpired removes the nodes that were not live within the retention, and says
// whether there were any.
func (m *Members) removeExpired(now time.Duration) (removed bool) {
	for name, at := range m.lastLive {
		if now-at >= retention {
			delete(m.lastLive, name)
			removed = true
		}
	}
	return removed
}

// Count returns the number of members, at least one.
func (m *Members) Count() int { return max(len(m.names), 1) }

// Quota returns the quota of a node at an instance with a connection limit. One
// share is reserved for the control primary. A limit below two means that it is
// not known yet, and allows one connection.
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
