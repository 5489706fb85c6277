package asyncrepl

import "time"

// Timing is the set of limits that decisions depend on. Lags are in log entries.
type Timing struct {
	// SilenceTimeout is the contact age above which an instance counts as silent.
	SilenceTimeout time.Duration
	// MaxContactAge is the contact age of the chosen replica below which the promote
	// call may be repeated.
	MaxContactAge time.Duration
	// PromoteRetryInterval is the minimum time between promote calls.
	PromoteRetryInterval time.Duration
	// MaxLag is the largest lag behind the primary with which a replica that commits
	// wait for stays eligible.
	MaxLag uint64
	// RejoinLag is the largest lag with which a replica that commits do not wait for
	// becomes eligible.
	RejoinLag uint64
	// MaxCommitWait is the longest time that commits may wait for a replica before
	// the replica counts as behind.
	MaxCommitWait time.Duration
	// SettleDelay is how long the writer role must have been settled before a replica
	// becomes a candidate.
	SettleDelay time.Duration
	// ExclusionPeriod is how long commits do not wait for a replica after it was
	// removed because commits had waited too long for it.
	ExclusionPeriod time.Duration
}

// DefaultTiming returns the limits used in production.
func DefaultTiming() Timing {
	return Timing{
		SilenceTimeout:       1500 * time.Millisecond,
		MaxContactAge:        900 * time.Millisecond,
		PromoteRetryInterval: 1500 * time.Millisecond,
		MaxLag:               400,
		RejoinLag:            60,
		MaxCommitWait:        700 * time.Millisecond,
		SettleDelay:          time.Second,
		ExclusionPeriod:      6 * time.Second,
	}
}
