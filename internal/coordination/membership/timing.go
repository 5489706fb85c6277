package membership

import "time"

// WatchersPerNode is the number of other nodes that watch each node.
const WatchersPerNode = 3

const (
	// suspicionQuorum is the number of watchers that must suspect a node before it
	// is declared dead. A node with fewer watchers needs the suspicion of each.
	suspicionQuorum = 2
	// minLiveNodes is the number of live nodes, this one included, below which all
	// seeds are contacted in each heartbeat interval.
	minLiveNodes = 4
	// missingSeedHeartbeats is the number of heartbeat intervals between two
	// attempts to reach the seeds while no live node is known at the address of one
	// of them.
	missingSeedHeartbeats = 8
	// missedHeartbeats is the number of heartbeat intervals without contact after
	// which a watcher subscribes again, before its subscription needs renewal.
	missedHeartbeats = 2
	// subscriptionLifetime is how long a subscription lasts, in subscription
	// intervals.
	subscriptionLifetime = 2
	// suspicionLifetime is how long a suspicion lasts if it is neither confirmed nor
	// refuted, in suspicion timeouts.
	suspicionLifetime = 10
)

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats of a node.
	HeartbeatInterval time.Duration
	// SuspicionTimeout is how long a node may be silent before a watcher
	// suspects it.
	SuspicionTimeout time.Duration
	// DeadRetention is how long the entry of a dead node is kept. Until then the
	// node is contacted, in case it was only partitioned from this one.
	DeadRetention time.Duration
	// GossipPeriod is how long a change is attached to messages.
	GossipPeriod time.Duration
	// DigestInterval is the minimum time between two comparisons of range digests
	// with the same node.
	DigestInterval time.Duration
	// SubscriptionInterval is the time after which a watcher renews its
	// subscription to a node's heartbeats.
	SubscriptionInterval time.Duration
	// SeedInterval is the time between two contacts with a seed while all seeds
	// are live. These contacts heal a partition of the whole fleet.
	SeedInterval time.Duration
}

// DefaultTiming returns the timing that the programs use.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:    350 * time.Millisecond,
		SuspicionTimeout:     1500 * time.Millisecond,
		DeadRetention:        90 * time.Second,
		GossipPeriod:         1500 * time.Millisecond,
		DigestInterval:       500 * time.Millisecond,
		SubscriptionInterval: 2800 * time.Millisecond,
		SeedInterval:         22 * time.Second,
	}
}

// minHeartbeatInterval returns the minimum time between two heartbeats. It is a
// little shorter than HeartbeatInterval, so that a tick that comes early is not
// skipped.
func (t Timing) minHeartbeatInterval() time.Duration { return t.HeartbeatInterval * 9 / 10 }
