package membership

import "time"

// WatchersPerNode is how many other nodes watch each node.
const WatchersPerNode = 3

const (
	// suspicionQuorum is how many watchers must suspect a node before it is
	// declared dead, where it has as many.
	suspicionQuorum = 2
	// enoughLiveNodes is the number of live nodes, this one included, from which
	// on the seeds are no longer contacted in each heartbeat interval.
	enoughLiveNodes = 4
	// missingSeedHeartbeats is how many heartbeat intervals pass between two
	// attempts to reach a seed at whose address no live node is known.
	missingSeedHeartbeats = 8
	// missedHeartbeats is after how many heartbeat intervals without contact a
	// watcher asks again before its subscription needs renewal.
	missedHeartbeats = 2
	// subscriptionLifetime is how long a subscription lasts, in subscription
	// intervals.
	subscriptionLifetime = 2
	// suspicionLifetime is how long a suspicion lasts that nothing confirms or
	// refutes, in suspicion timeouts.
	suspicionLifetime = 10
)

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats of a node.
	HeartbeatInterval time.Duration
	// SuspicionTimeout is how long a node may be silent before a watcher
	// suspects it.
	SuspicionTimeout time.Duration
	// DeadRetention is how long a dead node is remembered, and contacted in case
	// it has only been cut off.
	DeadRetention time.Duration
	// GossipPeriod is how long a change is attached to messages.
	GossipPeriod time.Duration
	// DigestInterval is the least time between two comparisons of range digests
	// with the same node.
	DigestInterval time.Duration
	// SubscriptionInterval is the time after which a watcher renews its
	// subscription to a node's heartbeats.
	SubscriptionInterval time.Duration
	// SeedInterval is the time between two contacts with a seed while all seeds
	// are known to be live. It heals a partition of the whole fleet.
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

// heartbeatTolerance is the least time between two heartbeats. It is a little
// less than the interval, so that a tick that comes early is not missed.
func (t Timing) heartbeatTolerance() time.Duration { return t.HeartbeatInterval * 9 / 10 }
