package consensus

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxClockSlewNanos is by how much the cluster clock is moved at once while it is
	// in use.
	maxClockSlewNanos = int64(time.Millisecond)
	// maxClockRoundTrip is the longest round trip after which another node's reading
	// is used, and the difference below which two nodes' clocks agree.
	maxClockRoundTrip = 200 * time.Millisecond
	// clockReadingTTL is for how long a voter's reading is used after its last reply.
	clockReadingTTL = 5 * time.Second
)

// clusterClock estimates the wall clock that a majority of the voters agrees on, as an
// offset in nanoseconds from this node's monotonic clock.
type clusterClock struct {
	// localNanos is this node's wall clock, 0 before it was read, and readAt when.
	localNanos int64
	readAt     time.Duration
	// peerOffsets are those of other voters, by name.
	peerOffsets map[string]int64

	offset    int64
	confirmed bool
}

func (c clusterClock) clone() clusterClock {
	c.peerOffsets = maps.Clone(c.peerOffsets)
	return c
}

// readLocal takes a reading of this node's wall clock.
func (c *clusterClock) readLocal(wallNanos int64, now time.Duration) {
	c.localNanos, c.readAt = wallNanos, now
}

// local gives this node's wall clock now, or 0 where it was not read yet.
func (c *clusterClock) local(now time.Duration) int64 {
	if c.localNanos == 0 {
		return 0
	}
	return c.localNanos + int64(now-c.readAt)
}

// readPeer takes a voter's reading from the reply to a request that was sent at a
// moment; it is taken for the middle of the round trip.
func (c *clusterClock) readPeer(name string, wallNanos int64, sentAt, now time.Duration) {
	roundTrip := now - sentAt
	if wallNanos != 0 && roundTrip < maxClockRoundTrip {
		c.peerOffsets[name] = wallNanos - int64(sentAt+roundTrip/2)
	}
}

// adjust moves the estimate to the median of this node and the voters that replied
// lately. While inUse, it moves by steps of maxClockSlewNanos only, so that what
// nodes have computed by it stays close.
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

// WallNanos gives the wall clock that a majority of the voters agrees on, in
// nanoseconds since 1970. It is the median of theirs, so that a single wrong clock has
// no effect; while the lease is held it moves by small steps only.
func (m *Machine) WallNanos(now time.Duration) int64 { return m.clock.offset + int64(now) }

// IsClockConfirmed says whether the cluster's clock was taken from three nodes or
// more, or from two that agree.
func (m *Machine) IsClockConfirmed() bool { return m.clock.confirmed }

func (m *Machine) adjustClock(now time.Duration) {
	m.clock.adjust(m.tracker.lastAck, m.holdsLease(now), now)
}
