package lease

import "time"

// MaxClockError is the largest error of a node's estimate of the primary's time at which
// the node may still serve.
const MaxClockError = 80 * time.Millisecond

const (
	// clockDriftPercent is the largest assumed difference between the rates of two
	// clocks.
	clockDriftPercent = 2
	// unknownClockError is the error assumed for the primary's time before its first
	// reading.
	unknownClockError = time.Hour
)

// Lease is a node's own lease, with its estimate of the primary's time.
type Lease struct {
	timing    Timing
	expiresAt time.Duration
	// epoch is the highest epoch among the grants that Accept has not ignored.
	epoch uint64
	clock primaryClock
	// ignoredBefore is when the node last confirmed that its lease had expired. Grants
	// for requests sent before that time are ignored.
	ignoredBefore time.Duration
}

// primaryClock is the reading of the primary's time that the estimate is based on.
type primaryClock struct {
	// hasReading is false until the primary's time has been read.
	hasReading bool
	// offset is the primary's Unix time minus this node's monotonic time, in
	// nanoseconds.
	offset int64
	// maxError is the bound on the error of offset at readAt, the time of the reading.
	maxError time.Duration
	readAt   time.Duration
}

// maxErrorAt returns the bound on the error of the estimate at now. The bound grows with
// the age of the reading, because the clocks may run at different rates.
func (c primaryClock) maxErrorAt(now time.Duration) time.Duration {
	if !c.hasReading {
		return unknownClockError
	}
	return c.maxError + (now-c.readAt)*clockDriftPercent/100
}

// Grant is the content of the primary's answer to a lease request.
type Grant struct {
	Epoch uint64
	// Duration counts from when the request was sent.
	Duration time.Duration
	// PrimaryTime is the primary's Unix time when it answered, in nanoseconds.
	PrimaryTime int64
	// QueuedFor is how long the request waited at the primary.
	QueuedFor time.Duration
}

// NewLease returns a node's lease before the first grant.
func NewLease(timing Timing) *Lease { return &Lease{timing: timing} }

// Accept handles the grant for a request that was sent at sentAt. It returns false, and
// does not extend the lease, if an earlier grant had a newer epoch, if the node has
// since confirmed that its lease had expired, or if the estimate of the primary's time
// is not accurate enough. In the first two cases it ignores the grant completely.
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

// readClock takes the primary's time from a grant if the grant has a newer epoch or its
// reading is at least as accurate as the current estimate. The reading assumes that the
// primary wrote the answer in the middle of the round trip. The primary wrote it at some
// time during the round trip, so half of the round trip bounds the error.
func (l *Lease) readClock(grant Grant, sentAt, now time.Duration) {
	roundTrip := max(now-sentAt-grant.QueuedFor, 0)
	maxError := roundTrip / 2
	if grant.Epoch <= l.epoch && maxError > l.ClockError(now) {
		return
	}
	l.clock = primaryClock{hasReading: true, offset: grant.PrimaryTime + int64(maxError) - int64(now), maxError: maxError, readAt: now}
}

// ConfirmExpired reports whether the lease has expired. If it has, Accept ignores grants
// for requests sent before now, so that the node may report that it holds no lease.
func (l *Lease) ConfirmExpired(now time.Duration) bool {
	if l.IsValid(now) {
		return false
	}
	l.ignoredBefore = max(l.ignoredBefore, now)
	return true
}

// IsValid reports whether the lease is valid, so that the node may serve.
func (l *Lease) IsValid(now time.Duration) bool { return now < l.expiresAt }

// Remaining returns how long the lease still lasts.
func (l *Lease) Remaining(now time.Duration) time.Duration { return max(l.expiresAt-now, 0) }

// ClockError returns the bound on the error of PrimaryTime.
func (l *Lease) ClockError(now time.Duration) time.Duration { return l.clock.maxErrorAt(now) }

// PrimaryTime returns the estimate of the primary's Unix time, in nanoseconds.
func (l *Lease) PrimaryTime(now time.Duration) int64 { return l.clock.offset + int64(now) }

// Epoch returns the highest epoch among the grants that Accept has not ignored.
func (l *Lease) Epoch() uint64 { return l.epoch }
