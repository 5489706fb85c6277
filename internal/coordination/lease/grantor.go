package lease

import (
	"slices"
	"time"

	"tansyseam/internal/state/store"
)

// Grantor tracks the leases that the control primary has granted and those that an
// earlier primary may have granted.
type Grantor struct {
	timing    Timing
	startedAt time.Duration
	leases    map[string]nodeLease
	// frozenUntil is the latest time at which a new lease may end, or 0 for no limit.
	frozenUntil time.Duration
	// lapseCount is the number of lapsed leases counted so far. No other lease lapses
	// before nextExpiry.
	lapseCount uint64
	nextExpiry time.Duration
}

type nodeLease struct {
	expiresAt time.Duration
	// acknowledged is the newest version that the node has applied.
	acknowledged store.Version
	// lapsePending is true if the lapse of the lease has not been counted yet.
	lapsePending bool
}

// NewGrantor returns a grantor that has granted no leases. It assumes that each of the
// registered nodes holds a lease from an earlier primary, for one full lease duration.
func NewGrantor(timing Timing, nodes []string, now time.Duration) *Grantor {
	expiresAt := now + timing.LeaseDuration
	g := &Grantor{timing: timing, startedAt: now, leases: map[string]nodeLease{}, nextExpiry: expiresAt}
	for _, node := range nodes {
		g.leases[node] = nodeLease{expiresAt: expiresAt, lapsePending: true}
	}
	return g
}

// StartedAt returns when the grantor was created.
func (g *Grantor) StartedAt() time.Duration { return g.startedAt }

// Acknowledge records the version that a node has applied.
func (g *Grantor) Acknowledge(node string, version store.Version, now time.Duration) {
	lease, found := g.leases[node]
	if !found {
		lease.expiresAt = now
	}
	if lease.acknowledged.IsBefore(version) {
		lease.acknowledged = version
	}
	g.leases[node] = lease
}

// Release records that a node holds no lease and will accept no earlier grant.
func (g *Grantor) Release(node string, now time.Duration) {
	lease, found := g.leases[node]
	if !found {
		return
	}
	lease.expiresAt = min(lease.expiresAt, now)
	g.nextExpiry = min(g.nextExpiry, lease.expiresAt)
	g.leases[node] = lease
}

// Grant grants a new lease of at most limit to a node and returns its duration, which
// may be 0. The node counts the duration from when it sent the request.
func (g *Grantor) Grant(node string, limit, now time.Duration) time.Duration {
	duration := min(g.timing.LeaseDuration, limit)
	if g.frozenUntil != 0 {
		duration = max(min(duration, g.frozenUntil-now), 0)
	}
	lease := g.leases[node]
	lease.expiresAt = max(lease.expiresAt, now+duration)
	if lease.expiresAt > now {
		lease.lapsePending = true
		g.nextExpiry = min(g.nextExpiry, lease.expiresAt)
	}
	g.leases[node] = lease
	return duration
}

// Remove removes a node that is no longer registered. If it was granted a lease that has
// not been counted as lapsed, that lease is counted now, even if it has not ended.
func (g *Grantor) Remove(node string) {
	if g.leases[node].lapsePending {
		g.lapseCount++
	}
	delete(g.leases, node)
}

// LapseCount returns how many leases have lapsed by now. It scans the leases only if
// one may have lapsed since the last call.
func (g *Grantor) LapseCount(now time.Duration) uint64 {
	if now < g.nextExpiry {
		return g.lapseCount
	}
	g.nextExpiry = now + g.timing.LeaseDuration
	for node, lease := range g.leases {
		if lease.expiresAt > now {
			g.nextExpiry = min(g.nextExpiry, lease.expiresAt)
			continue
		}
		if lease.lapsePending {
			lease.lapsePending = false
			g.leases[node] = lease
			g.lapseCount++
		}
	}
	return g.lapseCount
}

// Freeze prevents Grant from granting leases that end after until. It stays in force
// until Unfreeze is called.
func (g *Grantor) Freeze(until time.Duration) { g.frozenUntil = until }

// Unfreeze removes the limit set by Freeze.
func (g *Grantor) Unfreeze() { g.frozenUntil = 0 }

// AllAcknowledged reports whether every node that may hold a lease has applied at least
// version.
func (g *Grantor) AllAcknowledged(version store.Version, now time.Duration) bool {
	for _, lease := range g.leases {
		if lease.expiresAt > now && lease.acknowledged.IsBefore(version) {
			return false
		}
	}
	return true
}

// LatestExpiry returns when the last lease ends, or now if there is none.
func (g *Grantor) LatestExpiry(now time.Duration) time.Duration {
	latest := now
	for _, lease := range g.leases {
		latest = max(latest, lease.expiresAt)
	}
	return latest
}

// HasLease reports whether a node may hold a lease.
func (g *Grantor) HasLease(node string, now time.Duration) bool {
	return g.leases[node].expiresAt > now
}

// LeasedNodes returns the nodes that may hold a lease, with the newest version that
// each has applied.
func (g *Grantor) LeasedNodes(now time.Duration) map[string]store.Version {
	nodes := map[string]store.Version{}
	for node, lease := range g.leases {
		if lease.expiresAt > now {
			nodes[node] = lease.acknowledged
		}
	}
	return nodes
}

// LapsedNodes returns, sorted, the nodes whose lease ended more than duration ago.
func (g *Grantor) LapsedNodes(now, duration time.Duration) []string {
	var nodes []string
	for node, lease := range g.leases {
		if lease.expiresAt+duration < now {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}
