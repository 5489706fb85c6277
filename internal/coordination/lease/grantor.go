package lease

import (
	"slices"
	"time"

	"tansyseam/internal/state/store"
)

// Grantor keeps the leases that the control primary has granted, or that an earlier
// primary may have granted.
type Grantor struct {
	timing    Timing
	startedAt time.Duration
	leases    map[string]nodeLease
	// frozenUntil bounds the ends of new leases, 0 for no bound.
	frozenUntil time.Duration
	// lapseCount counts the lapsed leases; no other lapses before nextExpiry.
	lapseCount uint64
	nextExpiry time.Duration
}

type nodeLease struct {
	expiresAt time.Duration
	// acknowledged is the newest version that the node has applied.
	acknowledged store.Version
	// lapsePending says that the lease's lapse has not been counted yet.
	lapsePending bool
}

// NewGrantor returns a grantor without leases of its own. Each of the registered nodes
// may hold one of an earlier primary, for up to a full lease.
func NewGrantor(timing Timing, nodes []string, now time.Duration) *Grantor {
	expiresAt := now + timing.LeaseDuration
	g := &Grantor{timing: timing, startedAt: now, leases: map[string]nodeLease{}, nextExpiry: expiresAt}
	for _, node := range nodes {
		g.leases[node] = nodeLease{expiresAt: expiresAt, lapsePending: true}
	}
	return g
}

// StartedAt returns when the grantor began.
func (g *Grantor) StartedAt() time.Duration { return g.startedAt }

// Acknowledge notes the version that a node has applied.
func (g *Grantor) Acknowledge(node string, version store.Version, now time.Duration) {
	lease, known := g.leases[node]
	if !known {
		lease.expiresAt = now
	}
	if lease.acknowledged.IsBefore(version) {
		lease.acknowledged = version
	}
	g.leases[node] = lease
}

// Release notes that a node holds no lease, and will accept no earlier grant.
func (g *Grantor) Release(node string, now time.Duration) {
	lease, known := g.leases[node]
	if !known {
		return
	}
	lease.expiresAt = min(lease.expiresAt, now)
	g.nextExpiry = min(g.nextExpiry, lease.expiresAt)
	g.leases[node] = lease
}

// Grant returns the duration of a new lease of at most limit, which the node counts
// from when it sent the request. It may be 0.
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

// Remove forgets a node that is no longer registered.
func (g *Grantor) Remove(node string) {
	if g.leases[node].lapsePending {
		g.lapseCount++
	}
	delete(g.leases, node)
}

// LapseCount returns how many leases have lapsed until now. The leases are looked
// through only if one may have lapsed since the last call.
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

// Freeze bars leases past a time, until Unfreeze is called.
func (g *Grantor) Freeze(until time.Duration) { g.frozenUntil = until }

// Unfreeze ends the bar of Freeze.
func (g *Grantor) Unfreeze() { g.frozenUntil = 0 }

// AllAcknowledged says whether every node that may hold a lease has applied a version.
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

// HasLease says whether a node may hold a lease.
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

// LapsedNodes returns the nodes, sorted, whose lease ended longer ago than a duration.
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
