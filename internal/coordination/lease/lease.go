// Package lease bounds how long a data-plane node may serve on the news that
// it has: the primary's side is a Desk, the node's side a Holder.
package lease

import (
	"slices"
	"time"

	"tansyseam/internal/state/store"
)

// Timing holds the bounds of leases.
type Timing struct {
	LeaseDuration time.Duration
	// Drift is the part of a lease, in hundredths, that a node gives up for
	// clocks that run apart.
	DriftPercent time.Duration
	// Margin is added before a common moment.
	ActivationMargin time.Duration
	// Wait is the longest that an ask waits for news.
	PollTimeout time.Duration
	// InForce is within how long of its taking a set is in force everywhere.
	ActivationDeadline time.Duration
}

// Patience is how long after a set was taken, or was due, nodes may still
// be leased to serve under the one before. After that they hold.
func (t Timing) PreviousSetLimit() time.Duration { return t.ActivationDeadline - 300*time.Millisecond }

// Reach is how far past its taking leases may go while a set has no moment: a
// node that is silent has lapsed by then, and the moment comes after the others'.
func (t Timing) PendingSetLimit() time.Duration { return t.ActivationDeadline - 600*time.Millisecond }

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{LeaseDuration: 1600 * time.Millisecond, DriftPercent: 3, ActivationMargin: 60 * time.Millisecond, PollTimeout: 250 * time.Millisecond, ActivationDeadline: 3 * time.Second}
}

type nodeLease struct {
	expiresAt    time.Duration
	acknowledged store.Version
	// isCounted says that its lapse was not yet counted.
	lapsePending bool
}

// Desk is what the control primary has given out.
type Grantor struct {
	timing      Timing
	startedAt   time.Duration
	leases      map[string]nodeLease
	frozenUntil time.Duration
	// lapses counts the leases seen to lapse; none lapses before soonest.
	lapseCount uint64
	nextExpiry time.Duration
}

// NewDesk starts with no lease of its own given out. Each node on record may
// hold one of an earlier primary's, for up to a full lease.
func NewGrantor(timing Timing, nodes []string, now time.Duration) *Grantor {
	g := &Grantor{timing: timing, startedAt: now, leases: map[string]nodeLease{}, nextExpiry: now + timing.LeaseDuration}
	for _, node := range nodes {
		g.leases[node] = nodeLease{expiresAt: now + timing.LeaseDuration, lapsePending: true}
	}
	return g
}

// OnAsk notes what a node has taken up.
func (g *Grantor) Acknowledge(node string, acknowledged store.Version, now time.Duration) {
	entry, known := g.leases[node]
	if !known {
		entry.expiresAt = now
	}
	if entry.acknowledged.IsBefore(acknowledged) {
		entry.acknowledged = acknowledged
	}
	g.leases[node] = entry
}

// OnBare notes that a node holds no lease now, nor will by an earlier grant.
func (g *Grantor) Release(node string, now time.Duration) {
	if entry, known := g.leases[node]; known {
		entry.expiresAt = min(entry.expiresAt, now)
		g.nextExpiry = min(g.nextExpiry, entry.expiresAt)
		g.leases[node] = entry
	}
}

// Grant gives the lease that goes with an answer, counted by the node from
// when it sent the ask.
func (g *Grantor) Grant(node string, limit, now time.Duration) time.Duration {
	entry := g.leases[node]
	duration := min(g.timing.LeaseDuration, limit)
	if g.frozenUntil != 0 {
		duration = max(min(duration, g.frozenUntil-now), 0)
	}
	entry.expiresAt = max(entry.expiresAt, now+duration)
	if entry.expiresAt > now {
		entry.lapsePending = true
		g.nextExpiry = min(g.nextExpiry, entry.expiresAt)
	}
	g.leases[node] = entry
	return duration
}

// Lapses counts the leases that were seen to lapse up to now. The nodes are
// looked through only when one may have.
func (g *Grantor) LapseCount(now time.Duration) uint64 {
	if now < g.nextExpiry {
		return g.lapseCount
	}
	g.nextExpiry = now + g.timing.LeaseDuration
	for name, entry := range g.leases {
		if entry.expiresAt > now {
			g.nextExpiry = min(g.nextExpiry, entry.expiresAt)
			continue
		}
		if entry.lapsePending {
			entry.lapsePending = false
			g.leases[name] = entry
			g.lapseCount++
		}
	}
	return g.lapseCount
}

// Freeze bars leases past a moment until the moment is safely recorded.
func (g *Grantor) Freeze(expiresAt time.Duration) { g.frozenUntil = expiresAt }

// Thaw ends a freeze.
func (g *Grantor) Unfreeze() { g.frozenUntil = 0 }

// Settled says whether every node that may hold a lease has taken up a stamp.
func (g *Grantor) AllAcknowledged(version store.Version, now time.Duration) bool {
	for _, entry := range g.leases {
		if entry.expiresAt > now && entry.acknowledged.IsBefore(version) {
			return false
		}
	}
	return true
}

// Latest gives the end of the last lease given out.
func (g *Grantor) LatestExpiry(now time.Duration) time.Duration {
	latest := now
	for _, entry := range g.leases {
		latest = max(latest, entry.expiresAt)
	}
	return latest
}

// IsHeld says whether a node may hold a lease.
func (g *Grantor) HasLease(node string, now time.Duration) bool {
	return g.leases[node].expiresAt > now
}

// Held lists the nodes that may hold a lease, with what each has taken up.
func (g *Grantor) LeasedNodes(now time.Duration) map[string]store.Version {
	nodes := map[string]store.Version{}
	for name, entry := range g.leases {
		if entry.expiresAt > now {
			nodes[name] = entry.acknowledged
		}
	}
	return nodes
}

// Lapsed names the nodes that have held no lease for a span.
func (g *Grantor) LapsedNodes(now, duration time.Duration) []string {
	var names []string
	for name, entry := range g.leases {
		if entry.expiresAt+duration < now {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Forget drops a node that is no longer on record.
func (g *Grantor) Remove(node string) {
	if g.leases[node].lapsePending {
		g.lapseCount++
	}
	delete(g.leases, node)
}

// Began gives when this primary took the desk.
func (g *Grantor) StartedAt() time.Duration { return g.startedAt }

// Holder is a node's own lease and its reckoning of the primary's clock.
type Lease struct {
	timing        Timing
	expiresAt     time.Duration
	epoch         uint64
	clockOffset   int64
	clockReadings int
	clockError    time.Duration
	clockReadAt   time.Duration
	ignoredBefore time.Duration
}

// NewHolder starts without a lease.
func NewLease(timing Timing) *Lease { return &Lease{timing: timing} }

// Grant is what came with an answer.
type Grant struct {
	Epoch    uint64
	Primary  string
	Duration time.Duration
	// Wall is the primary's clock when it answered, and Held how long it had
	// kept the ask until then.
	PrimaryTime int64
	QueuedFor   time.Duration
}

const clockDriftPercent = 2

// MostDoubt is how far the reckoning of the primary's clock may be out for a
// node to serve by it.
const MaxClockError = 80 * time.Millisecond

// Doubt bounds how far the reckoning may be out.
func (l *Lease) ClockError(now time.Duration) time.Duration {
	if l.clockReadings == 0 {
		return time.Hour
	}
	return l.clockError + (now-l.clockReadAt)*clockDriftPercent/100
}

// OnGrant takes a lease counted from when its ask was sent. Grants of an
// epoch older than one seen are nothing, and so is one that leaves the
// primary's clock in too much doubt: the answer says when it was written,
// give or take half its trip.
func (l *Lease) Accept(grant Grant, sentAt, now time.Duration) bool {
	if grant.Epoch < l.epoch || sentAt < l.ignoredBefore {
		return false
	}
	clockError := max(now-sentAt-grant.QueuedFor, 0) / 2
	if grant.Epoch > l.epoch || clockError <= l.ClockError(now) {
		l.clockOffset, l.clockError, l.clockReadAt = grant.PrimaryTime+int64(clockError)-int64(now), clockError, now
		l.clockReadings++
	}
	l.epoch = grant.Epoch
	if l.ClockError(now) > MaxClockError {
		return false
	}
	l.expiresAt = max(l.expiresAt, sentAt+grant.Duration-grant.Duration*l.timing.DriftPercent/100)
	return true
}

// Bare says whether no lease is held now; grants for asks sent before are then
// nothing from now on, so that the node may say so.
func (l *Lease) ConfirmExpired(now time.Duration) bool {
	if l.IsValid(now) {
		return false
	}
	l.ignoredBefore = max(l.ignoredBefore, now)
	return true
}

// IsHeld says whether the node may serve at this moment.
func (l *Lease) IsValid(now time.Duration) bool { return now < l.expiresAt }

// Left gives what remains of the lease.
func (l *Lease) Remaining(now time.Duration) time.Duration { return max(l.expiresAt-now, 0) }

// Wall reckons the primary's clock.
func (l *Lease) PrimaryTime(now time.Duration) int64 { return l.clockOffset + int64(now) }

// Epoch gives the highest epoch that granted.
func (l *Lease) Epoch() uint64 { return l.epoch }
