package pool

import "time"

// Backoff is the pause before the next attempt to connect to an instance. It
// doubles with each attempt in a row that fails. The zero value has no pause.
type Backoff struct {
	delay time.Duration
	until time.Duration
}

// Fail starts the pause that follows a failed attempt: shortest after the
// first one, and never more than longest.
func (b *Backoff) Fail(shortest, longest, now time.Duration) {
	b.delay = min(max(2*b.delay, shortest), longest)
	b.until = now + b.delay
}

// Succeed ends the row of failed attempts. It does not cut a pause short.
func (b *Backoff) Succeed() { b.delay = 0 }

// Over reports whether the next attempt may be made.
func (b *Backoff) Over(now time.Duration) bool { return now >= b.until }
