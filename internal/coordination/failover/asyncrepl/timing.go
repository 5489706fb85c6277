package asyncrepl

import "time"

// Timing holds the limits that decisions depend on. Lags are in log entries.
type Timing struct {
	// SilenceTimeout is the contact age past which an instance counts as silent.
	SilenceTimeout time.Duration
	// MaxContactAge is how recent an observation of a promoting replica must be
	// for the promote call to be repeated.
	MaxContactAge time.Duration
	// PromoteRetryInterval is the time between promote calls.
	PromoteRetryInterval time.Duration
	// MaxLag is how far a replica may be behind the primary and stay eligible.
	MaxLag uint64
	// RejoinLag is how near a replica must be for commits to wait for it again.
	RejoinLag uint64
	// MaxCommitWait is how long a commit may wait for a replica.
	MaxCommitWait time.Duration
	// SettleDelay is how long all nodes must have known the writer role before a
	// replica becomes a candidate.
	SettleDelay time.Duration
	// ExclusionPeriod is how long commits do not wait again for a replica that
	// was removed for its lag.
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
