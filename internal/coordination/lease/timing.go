package lease

import "time"

const (
	// silentNodeMargin is the part of the activation deadline that is left for
	// distributing the effective time once the last lease has lapsed.
	silentNodeMargin = 600 * time.Millisecond
	// previousSetMargin is the last part of the activation deadline, in which no node may
	// serve with the previous set any more.
	previousSetMargin = 300 * time.Millisecond
)

// Timing holds the durations used for leases and for the activation of binding sets.
type Timing struct {
	// LeaseDuration is the longest lease.
	LeaseDuration time.Duration
	// DriftPercent is the percentage of a lease that a node gives up, because its clock
	// and the primary's may run at different rates.
	DriftPercent int
	// ActivationMargin is how far an effective time lies after the end of the last lease
	// that was granted without knowledge of that effective time.
	ActivationMargin time.Duration
	// PollTimeout is the longest time that a request waits for an update.
	PollTimeout time.Duration
	// ActivationDeadline is the longest time from the acceptance of a set until the set
	// is in effect on all nodes.
	ActivationDeadline time.Duration
}

// PreviousSetLimit returns how long leases to serve with the previous set may last,
// counted from when the new set was accepted or, if later, was due to take effect.
// After that, nodes that do not have the new set wait.
func (t Timing) PreviousSetLimit() time.Duration { return t.ActivationDeadline - previousSetMargin }

// PendingSetLimit returns how long leases may last after a set was accepted, while the
// set has no effective time. After that, a silent node has no lease, so that the set can
// be assigned its effective time.
func (t Timing) PendingSetLimit() time.Duration { return t.ActivationDeadline - silentNodeMargin }

// DefaultTiming returns the durations that are used unless the configuration sets others.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration:      1600 * time.Millisecond,
		DriftPercent:       3,
		ActivationMargin:   60 * time.Millisecond,
		PollTimeout:        250 * time.Millisecond,
		ActivationDeadline: 3 * time.Second,
	}
}
