package pool

import "time"

// Backoff is the delay before the next attempt to connect to an instance. The
// delay doubles with each consecutive failed attempt. The zero value allows an
// attempt at once.
type Backoff struct {
	delay time.Duration
	until time.Duration
}

// Fail starts the delay after a failed attempt. The delay is shortest after the
// first failure and never exceeds longest.
func (b *Backoff) Fail(shortest, longest, now time.Duration) {
	b.delay = min(max(2*b.delay, shortest), longest)
	b.until = now + b.delay
}

// Succeed ends the series of failed attempts. It does not shorten a delay that
// has already started.
func (b *Backoff) Succeed() { b.delay = 0 }

// Over reports whether the next attempt may be made.
func (b *Backoff) Over(now time.Duration) bool { return now >= b.until }
