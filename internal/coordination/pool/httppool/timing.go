package httppool

import "time"

// Timing holds the bounds of the pool, in time and in number.
type Timing struct {
	// DefaultDeadline is that of a request that names none.
	DefaultDeadline time.Duration

	// LeaveGrace is how long work may still last at an instance that leaves.
	LeaveGrace time.Duration

	// AbandonedTimeout is the age at which a connection is closed that is busy
	// with a statement no one waits for.
	AbandonedTimeout time.Duration

	// IdleInTransaction is how long a session may be idle inside a transaction,
	// SessionIdleTimeout outside of one.
	IdleInTransaction  time.Duration
	SessionIdleTimeout time.Duration

	// ReclaimAfter is how long a request waits for a connection before one is
	// reclaimed from the session that has been idle longest. That session must
	// have been idle for ReclaimMinIdle, or for ReclaimAfter once the request
	// has waited for ReclaimMinIdle.
	ReclaimAfter   time.Duration
	ReclaimMinIdle time.Duration

	// BackoffMin and BackoffMax bound the pause after a connection was refused.
	BackoffMin time.Duration
	BackoffMax time.Duration

	// MaxQueue bounds each queue, MaxSessions the sessions of the node, and
	// MaxLookups the requests for a status in flight at one other node.
	MaxQueue    int
	MaxSessions int
	MaxLookups  int
}

// DefaultTiming returns the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		DefaultDeadline:    5 * time.Second,
		LeaveGrace:         5 * time.Second,
		AbandonedTimeout:   10 * time.Second,
		IdleInTransaction:  10 * time.Second,
		SessionIdleTimeout: 30 * time.Minute,
		ReclaimAfter:       200 * time.Millisecond,
		ReclaimMinIdle:     800 * time.Millisecond,
		BackoffMin:         100 * time.Millisecond,
		BackoffMax:         time.Second,
		MaxQueue:           4096,
		MaxSessions:        20000,
		MaxLookups:         64,
	}
}
