package syncrepl

import "time"

// Timing holds the limits that decisions depend on.
type Timing struct {
	// MaxContactAge is how recent the last contact with an instance must be for
	// it to count as present.
	MaxContactAge time.Duration
	// ReplicaRetention is how long a replica without contact still counts as one
	// that may hold commits that no other has.
	ReplicaRetention time.Duration
	// ReportWarmup is how long reports must have been collected, and TermWarmup
	// how long a term must have been open, before reports tell against a primary.
	ReportWarmup time.Duration
	TermWarmup   time.Duration
	// RefusalTimeout and OverdueTimeout are how long no node may have had an
	// answer of a primary that refuses connections, or is late with answers.
	RefusalTimeout time.Duration
	OverdueTimeout time.Duration
	// UnobservedTimeout is how long no node may have had any evidence of a
	// primary, and SilenceTimeout how long it may have announced nothing.
	UnobservedTimeout time.Duration
	SilenceTimeout    time.Duration
	// ProbeFreshness is the age up to which the result of a probe is relied on.
	ProbeFreshness time.Duration
	// FastProbeInterval is the time between probes of one instance during a
	// promotion, IdleProbeInterval that while a term is open.
	FastProbeInterval time.Duration
	IdleProbeInterval time.Duration
	// ReplicaWait is how long to wait for the positions of silent replicas.
	ReplicaWait time.Duration
	// OldPrimaryWait is how long to wait for a probe of the old primary.
	OldPrimaryWait time.Duration
	// PromoteRetryInterval is the time between promote calls, RetryInterval that
	// between probes while a term is closing, and until a call is repeated that
	// the platform refused for its rate.
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
