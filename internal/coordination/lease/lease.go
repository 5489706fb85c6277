package lease

import "time"

// MaxClockError is how far a node's estimate of the primary's time may be off for the
// node to serve by it.
const MaxClockError = 80 * time.Millisecond

const (
	// clockDriftPercent bounds how far two clocks run apart.
	clockDriftPercent = 2
	// unknownClockError stands for the error of a time that was never read.
	unknownClockError = time.Hour
)

// Lease is a node's own lease, with its estimate of the primary's time.
type Lease struct {
	timing    Timing
	expiresAt time.Duration
	// epoch is the highest one that granted.
	epoch uint64
	clock primaryClock
	// ignoredBefore is when the node said that it holds no lease: grants for requests
	// sent before are ignored.
	ignoredBefore time.Duration
}

// primaryClock is the best reading of the primary's time.
type primaryClock struct {
	known bool
	// offset is the primary's Unix time less this node's time, in nanoseconds.
	offset int64
	// maxError bounds the error of offset at readAt, when it was read.
	maxError time.Duration
	readAt   time.Duration
}

// maxErrorAt bounds the error of the estimate now, which grows as the clocks run apart.
func (c primaryClock) maxErrorAt(now time.Duration) time.Duration {
	if !c.known {
		return unknownClockError
	}
	return c.maxError + (now-c.readAt)*clockDriftPercent/100
}

// Grant is what an answer of the primary says.
type Grant struct {
	Epoch uint64
	// Duration counts from when the request was sent.
	Duration time.Duration
	// PrimaryTime is the primary's Unix time, in nanoseconds, of the answer.
	PrimaryTime int64
	// QueuedFor is how long the request waited at the primary.
	QueuedFor time.Duration
}

// NewLease returns a node's lease before the first grant.
func NewLease(timing Timing) *Lease { return &Lease{timing: timing} }

// Accept handles the grant for a request sent at a time. It returns false, and does not
// extend the lease, if the grant is of an older epoch than an earlier one, if the
// node has meanwhile said that it holds no lease, or if the primary's time is not known
// well enough.
func (l *Lease) Accept(grant Grant, sentAt, now time.Duration) bool {
	if grant.Epoch < l.epoch || sentAt < l.ignoredBefore {
		return false
	}
	l.readClock(grant, sentAt, now)
	l.epoch = grant.Epoch
	if l.ClockError(now) > MaxClockError {
		return false
	}
	driftAllowance := grant.Duration * time.Duration(l.timing.DriftPercent) / 100
	l.expiresAt = max(l.expiresAt, sentAt+grant.Duration-driftAllowance)
	return true
}

// readClock takes the primary's time from a grant, if it is of a new epoch or better
// than what is known. The answer was written within the time of the round trip, so that
// half of that bounds the error.
func (l *Lease) readClock(grant Grant, sentAt, now time.Duration) {
	roundTrip := max(now-sentAt-grant.QueuedFor, 0)
	maxError := roundTrip / 2
	if grant.Epoch <= l.epoch && maxError > l.ClockError(now) {
		return
	}
	l.clock = primaryClock{known: true, offset: grant.PrimaryTime + int64(maxError) - int64(now), maxError: maxError, readAt: now}
}

// ConfirmExpired returns true if the lease has ended. Grants for requests sent before
// are then ignored, so that the node may report that it holds no lease.
func (l *Lease) ConfirmExpired(now time.Duration) bool {
	if l.IsValid(now) {
		return false
	}
	l.ignoredBefore = max(l.ignoredBefore, now)
	return true
}

// IsValid says whether the node may serve.
func (l *Lease) IsValid(now time.Duration) bool { return now < l.expiresAt }

// Remaining returns how long the lease still lasts.
func (l *Lease) Remaining(now time.Duration) time.Duration { return max(l.expiresAt-now, 0) }

// ClockError bounds the error of PrimaryTime.
func (l *Lease) ClockError(now time.Duration) time.Duration { return l.clock.maxErrorAt(now) }

// PrimaryTime estimates the primary's Unix time in nanoseconds.
func (l *Lease) PrimaryTime(now time.Duration) int64 { return l.clock.offset + int64(now) }

// Epoch returns the highest epoch that granted.
func (l *Lease) Epoch() uint64 { return l.epoch }
