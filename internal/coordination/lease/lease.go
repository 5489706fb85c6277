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
	Full time.Duration
	// Drift is the part of a lease, in hundredths, that a node gives up for
	// clocks that run apart.
	Drift time.Duration
	// Margin is added before a common moment.
	Margin time.Duration
	// Wait is the longest that an ask waits for news.
	Wait time.Duration
	// InForce is within how long of its taking a set is in force everywhere.
	InForce time.Duration
}

// Patience is how long after a set was taken, or was due, nodes may still
// be leased to serve under the one before. After that they hold.
func (t Timing) Patience() time.Duration { return t.InForce - 300*time.Millisecond }

// Reach is how far past its taking leases may go while a set has no moment: a
// node that is silent has lapsed by then, and the moment comes after the others'.
func (t Timing) Reach() time.Duration { return t.InForce - 600*time.Millisecond }

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{Full: 1600 * time.Millisecond, Drift: 3, Margin: 60 * time.Millisecond, Wait: 250 * time.Millisecond, InForce: 3 * time.Second}
}

type holding struct {
	until time.Duration
	acked store.Stamp
	// isCounted says that its lapse was not yet counted.
	isCounted bool
}

// Desk is what the control primary has given out.
type Desk struct {
	timing Timing
	began  time.Duration
	nodes  map[string]holding
	frozen time.Duration
	// lapses counts the leases seen to lapse; none lapses before soonest.
	lapses  uint64
	soonest time.Duration
}

// NewDesk starts with no lease of its own given out. Each node on record may
// hold one of an earlier primary's, for up to a full lease.
func NewDesk(timing Timing, nodes []string, now time.Duration) *Desk {
	d := &Desk{timing: timing, began: now, nodes: map[string]holding{}, soonest: now + timing.Full}
	for _, node := range nodes {
		d.nodes[node] = holding{until: now + timing.Full, isCounted: true}
	}
	return d
}

// OnAsk notes what a node has taken up.
func (d *Desk) OnAsk(node string, acked store.Stamp, now time.Duration) {
	held, isMet := d.nodes[node]
	if !isMet {
		held.until = now
	}
	if held.acked.IsBefore(acked) {
		held.acked = acked
	}
	d.nodes[node] = held
}

// OnBare notes that a node holds no lease now, nor will by an earlier grant.
func (d *Desk) OnBare(node string, now time.Duration) {
	if held, isMet := d.nodes[node]; isMet {
		held.until = min(held.until, now)
		d.soonest = min(d.soonest, held.until)
		d.nodes[node] = held
	}
}

// Grant gives the lease that goes with an answer, counted by the node from
// when it sent the ask.
func (d *Desk) Grant(node string, most, now time.Duration) time.Duration {
	held := d.nodes[node]
	length := min(d.timing.Full, most)
	if d.frozen != 0 {
		length = max(min(length, d.frozen-now), 0)
	}
	held.until = max(held.until, now+length)
	if held.until > now {
		held.isCounted = true
		d.soonest = min(d.soonest, held.until)
	}
	d.nodes[node] = held
	return length
}

// Lapses counts the leases that were seen to lapse up to now. The nodes are
// looked through only when one may have.
func (d *Desk) Lapses(now time.Duration) uint64 {
	if now < d.soonest {
		return d.lapses
	}
	d.soonest = now + d.timing.Full
	for name, held := range d.nodes {
		if held.until > now {
			d.soonest = min(d.soonest, held.until)
			continue
		}
		if held.isCounted {
			held.isCounted = false
			d.nodes[name] = held
			d.lapses++
		}
	}
	return d.lapses
}

// Freeze bars leases past a moment until the moment is safely recorded.
func (d *Desk) Freeze(until time.Duration) { d.frozen = until }

// Thaw ends a freeze.
func (d *Desk) Thaw() { d.frozen = 0 }

// Settled says whether every node that may hold a lease has taken up a stamp.
func (d *Desk) Settled(stamp store.Stamp, now time.Duration) bool {
	for _, held := range d.nodes {
		if held.until > now && held.acked.IsBefore(stamp) {
			return false
		}
	}
	return true
}

// Latest gives the end of the last lease given out.
func (d *Desk) Latest(now time.Duration) time.Duration {
	latest := now
	for _, held := range d.nodes {
		latest = max(latest, held.until)
	}
	return latest
}

// IsHeld says whether a node may hold a lease.
func (d *Desk) IsHeld(node string, now time.Duration) bool { return d.nodes[node].until > now }

// Held lists the nodes that may hold a lease, with what each has taken up.
func (d *Desk) Held(now time.Duration) map[string]store.Stamp {
	nodes := map[string]store.Stamp{}
	for name, held := range d.nodes {
		if held.until > now {
			nodes[name] = held.acked
		}
	}
	return nodes
}

// Lapsed names the nodes that have held no lease for a span.
func (d *Desk) Lapsed(now, span time.Duration) []string {
	var names []string
	for name, held := range d.nodes {
		if held.until+span < now {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Forget drops a node that is no longer on record.
func (d *Desk) Forget(node string) {
	if d.nodes[node].isCounted {
		d.lapses++
	}
	delete(d.nodes, node)
}

// Began gives when this primary took the desk.
func (d *Desk) Began() time.Duration { return d.began }

// Holder is a node's own lease and its reckoning of the primary's clock.
type Holder struct {
	timing  Timing
	until   time.Duration
	epoch   uint64
	offset  int64
	offsets int
	doubt   time.Duration
	readAt  time.Duration
	cutAt   time.Duration
}

// NewHolder starts without a lease.
func NewHolder(timing Timing) *Holder { return &Holder{timing: timing} }

// Grant is what came with an answer.
type Grant struct {
	Epoch   uint64
	Primary string
	Length  time.Duration
	// Wall is the primary's clock when it answered, and Held how long it had
	// kept the ask until then.
	Wall int64
	Held time.Duration
}

const wander = 2

// MostDoubt is how far the reckoning of the primary's clock may be out for a
// node to serve by it.
const MostDoubt = 80 * time.Millisecond

// Doubt bounds how far the reckoning may be out.
func (h *Holder) Doubt(now time.Duration) time.Duration {
	if h.offsets == 0 {
		return time.Hour
	}
	return h.doubt + (now-h.readAt)*wander/100
}

// OnGrant takes a lease counted from when its ask was sent. Grants of an
// epoch older than one seen are nothing, and so is one that leaves the
// primary's clock in too much doubt: the answer says when it was written,
// give or take half its trip.
func (h *Holder) OnGrant(grant Grant, sent, now time.Duration) bool {
	if grant.Epoch < h.epoch || sent < h.cutAt {
		return false
	}
	doubt := max(now-sent-grant.Held, 0) / 2
	if grant.Epoch > h.epoch || doubt <= h.Doubt(now) {
		h.offset, h.doubt, h.readAt = grant.Wall+int64(doubt)-int64(now), doubt, now
		h.offsets++
	}
	h.epoch = grant.Epoch
	if h.Doubt(now) > MostDoubt {
		return false
	}
	h.until = max(h.until, sent+grant.Length-grant.Length*h.timing.Drift/100)
	return true
}

// Bare says whether no lease is held now; grants for asks sent before are then
// nothing from now on, so that the node may say so.
func (h *Holder) Bare(now time.Duration) bool {
	if h.IsHeld(now) {
		return false
	}
	h.cutAt = max(h.cutAt, now)
	return true
}

// IsHeld says whether the node may serve at this moment.
func (h *Holder) IsHeld(now time.Duration) bool { return now < h.until }

// Left gives what remains of the lease.
func (h *Holder) Left(now time.Duration) time.Duration { return max(h.until-now, 0) }

// Wall reckons the primary's clock.
func (h *Holder) Wall(now time.Duration) int64 { return h.offset + int64(now) }

// Epoch gives the highest epoch that granted.
func (h *Holder) Epoch() uint64 { return h.epoch }
