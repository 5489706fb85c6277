package httppool

import "time"

// Timing holds the time limits and other bounds of the pool.
type Timing struct {
	// DefaultDeadline is the time limit of a request that does not specify one.
	DefaultDeadline time.Duration

	// LeaveGrace is how long requests may still run at an instance that is leaving.
	LeaveGrace time.Duration

	// AbandonedTimeout is the time after sending at which the connection of an
	// abandoned request is closed.
	AbandonedTimeout time.Duration

	// IdleInTransaction is how long a session may be idle inside a transaction.
	// SessionIdleTimeout is how long a session may be idle outside of one.
	IdleInTransaction  time.Duration
	SessionIdleTimeout time.Duration

	// ReclaimAfter is how long a request waits for a connection before a connection
	// is reclaimed from the session that has been idle longest. That session must
	// have been idle for ReclaimMinIdle. Once the request has waited for
	// ReclaimMinIdle, an idle time of ReclaimAfter is enough.
	ReclaimAfter   time.Duration
	ReclaimMinIdle time.Duration

	// BackoffMin and BackoffMax bound the delay after an attempt to open a
	// connection has failed.
	BackoffMin time.Duration
	BackoffMax time.Duration

	// MaxQueue limits the requests in each queue, MaxSessions the sessions of the
	// node, and MaxLookups the status requests in flight at one other node.
	MaxQueue    int
	MaxSessions int
	MaxLookups  int
}

// DefaultTiming returns the project's default bounds.
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
