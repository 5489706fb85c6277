package lease

import "time"

const (
	// silentNodeMargin is the part of the activation deadline that is left for
	// distributing the effective time once the last lease has lapsed.
	silentNodeMargin = 600 * time.Millisecond
	// previousSetMargin is the part of the activation deadline in which no node may
	// serve by the previous set any more.
	previousSetMargin = 300 * time.Millisecond
)

// Timing holds the durations that leases and the activation of binding sets rest on.
type Timing struct {
	// LeaseDuration is the longest lease.
	LeaseDuration time.Duration
	// DriftPercent is the part of a lease that a node gives up for clocks that run
	// apart.
	DriftPercent int
	// ActivationMargin is how long after the last lease that was granted without it an
	// effective time lies.
	ActivationMargin time.Duration
	// PollTimeout is the longest that a request waits for an update.
	PollTimeout time.Duration
	// ActivationDeadline is how long after it was accepted, at the latest, a set is in
	// effect on all nodes.
	ActivationDeadline time.Duration
}

// PreviousSetLimit is how long after a set was accepted, or was to take effect, leases
// to serve by the previous one may last. From then on nodes without the set wait.
func (t Timing) PreviousSetLimit() time.Duration { return t.ActivationDeadline - previousSetMargin }

// PendingSetLimit is how long after a set was accepted leases may last while it has no
// effective time. A node that is silent has no lease from then on, so that the set can
// get its effective time.
func (t Timing) PendingSetLimit() time.Duration { return t.ActivationDeadline - silentNodeMargin }

// DefaultTiming returns the durations used unless the configuration sets others.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration:      1600 * time.Millisecond,
		DriftPercent:       3,
		ActivationMargin:   60 * time.Millisecond,
		PollTimeout:        250 * time.Millisecond,
		ActivationDeadline: 3 * time.Second,
	}
}
