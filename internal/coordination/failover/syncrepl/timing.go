package syncrepl

import "time"

// Timing is the set of limits that decisions depend on.
type Timing struct {
	// MaxContactAge is the largest age of the last contact with which an instance
	// counts as reachable.
	MaxContactAge time.Duration
	// ReplicaRetention is how long a replica without contact is still assumed to
	// hold commits that no other replica has.
	ReplicaRetention time.Duration
	// ReportWarmup is how long reports must have been collected, and TermWarmup is how
	// long a term must have been open, before reports count as evidence against a
	// primary.
	ReportWarmup time.Duration
	TermWarmup   time.Duration
	// RefusalTimeout is how long a primary that refuses connections must have answered
	// no node before it is suspected. OverdueTimeout is the same for a primary whose
	// answers are overdue.
	RefusalTimeout time.Duration
	OverdueTimeout time.Duration
	// UnobservedTimeout is how long nodes must have had no evidence for or against a
	// primary, and SilenceTimeout is how long there must have been no contact with it,
	// before it counts as unobserved.
	UnobservedTimeout time.Duration
	SilenceTimeout    time.Duration
	// ProbeFreshness is the age up to which decisions rely on a probe result.
	ProbeFreshness time.Duration
	// FastProbeInterval is the time between probes of one instance during discovery
	// and promotion. IdleProbeInterval is the time between probes of the primary while
	// a term is open, and the age up to which discovery and the check for a silent
	// primary rely on a probe result.
	FastProbeInterval time.Duration
	IdleProbeInterval time.Duration
	// ReplicaWait is how long a closing term waits for the positions of silent
	// replicas, and for a replica that is not leaving to hold all acknowledged commits.
	ReplicaWait time.Duration
	// OldPrimaryWait is how long a closing term waits for a probe of the old primary.
	OldPrimaryWait time.Duration
	// PromoteRetryInterval is the time after which a promote call is repeated.
	// RetryInterval is the time between probes while a term is closing, and the time
	// after which a call that the platform refused because of its rate limit is
	// repeated.
	PromoteRetryInterval time.Duration
	RetryInterval        time.Duration
	// StepDownInterval is the time between orders to step down.
	StepDownInterval time.Duration
}

// DefaultTiming returns the limits used in production.
func DefaultTiming() Timing {
	return Timing{
		MaxContactAge:        3 * time.Second,
		ReplicaRetention:     time.Minute,
		ReportWarmup:         700 * time.Millisecond,
		TermWarmup:           time.Second,
		RefusalTimeout:       300 * time.Millisecond,
		OverdueTimeout:       600 * time.Millisecond,
		UnobservedTimeout:    2 * time.Second,
		SilenceTimeout:       2500 * time.Millisecond,
		ProbeFreshness:       900 * time.Millisecond,
		FastProbeInterval:    75 * time.Millisecond,
		IdleProbeInterval:    time.Second,
		ReplicaWait:          1200 * time.Millisecond,
		OldPrimaryWait:       100 * time.Millisecond,
		PromoteRetryInterval: 1500 * time.Millisecond,
		RetryInterval:        300 * time.Millisecond,
		StepDownInterval:     500 * time.Millisecond,
	}
}
