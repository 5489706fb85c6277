package consensus

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxClockSlewNanos is the largest single adjustment of the cluster clock while this
	// node holds the lease.
	maxClockSlewNanos = int64(time.Millisecond)
	// maxClockRoundTrip is the round trip from which on another node's clock reading is
	// ignored. Two nodes' clocks agree if they differ by less than this.
	maxClockRoundTrip = 200 * time.Millisecond
	// clockReadingTTL is how long a voter's clock reading is used after the voter's
	// last reply.
	clockReadingTTL = 5 * time.Second
)

// clusterClock estimates the wall clock that a majority of the voters agrees on. The
// estimate is an offset in nanoseconds from this node's monotonic clock.
type clusterClock struct {
	// localNanos is this node's wall clock as read at readAt, or 0 before the first
	// reading.
	localNanos int64
	readAt     time.Duration
	// peerOffsets are the offsets of the other voters' wall clocks from this node's
	// monotonic clock, by voter name.
	peerOffsets map[string]int64

	offset    int64
	confirmed bool
}

func (c clusterClock) clone() clusterClock {
	c.peerOffsets = maps.Clone(c.peerOffsets)
	return c
}

// readLocal records a reading of this node's wall clock.
func (c *clusterClock) readLocal(wallNanos int64, now time.Duration) {
	c.localNanos, c.readAt = wallNanos, now
}

// local returns this node's current wall clock, or 0 before the first reading.
func (c *clusterClock) local(now time.Duration) int64 {
	if c.localNanos == 0 {
		return 0
	}
	return c.localNanos + int64(now-c.readAt)
}

// readPeer records a voter's clock reading from the reply to a request sent at sentAt.
// It assumes that the reading was taken in the middle of the round trip.
func (c *clusterClock) readPeer(name string, wallNanos int64, sentAt, now time.Duration) {
	roundTrip := now - sentAt
	if wallNanos != 0 && roundTrip < maxClockRoundTrip {
		c.peerOffsets[name] = wallNanos - int64(sentAt+roundTrip/2)
	}
}

// adjust moves the estimate to the median of the clocks of this node and of the voters
// that have replied recently. While inUse is true, each call moves the estimate by at
// most maxClockSlewNanos, so that what nodes have derived from earlier readings of the
// cluster clock stays nearly correct.
func (c *clusterClock) adjust(lastReply map[string]time.Duration, inUse bool, now time.Duration) {
	offsets := []int64{c.localNanos - int64(c.readAt)}
	for name, offset := range c.peerOffsets {
		if now-lastReply[name] < clockReadingTTL {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	median := offsets[(len(offsets)-1)/2]
	if inUse {
		c.offset += max(min(median-c.offset, maxClockSlewNanos), -maxClockSlewNanos)
		return
	}
	c.offset = median
	twoAgree := len(offsets) == 2 && offsets[1]-offsets[0] < int64(maxClockRoundTrip)
	c.confirmed = len(offsets) > 2 || twoAgree
}

// WallNanos returns the wall clock that a majority of the voters agrees on, in
// nanoseconds since 1970. It is the median of the voters' clocks, so a single wrong
// clock has no effect. While the lease is held, it is adjusted in small steps only.
func (m *Machine) WallNanos(now time.Duration) int64 { return m.clock.offset + int64(now) }

// IsClockConfirmed reports whether the cluster clock was derived from at least three
// nodes, or from two nodes whose clocks agree.
func (m *Machine) IsClockConfirmed() bool { return m.clock.confirmed }

func (m *Machine) adjustClock(now time.Duration) {
	m.clock.adjust(m.tracker.lastAck, m.holdsLease(now), now)
}
