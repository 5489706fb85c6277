// Package outlier grades an instance by what came of the statements that this
// node itself sent there. A grade ranks: it makes an instance dearer than the
// others, never unusable, so that a database has always one left, and it
// fades, so that the instance is tried again.
package outlier

import (
	"math"
	"time"
)

const (
	// Weight is what one outcome counts against those before.
	SampleWeight = 0.3
	// Fading is the time in which half of a grade is forgotten.
	HalfLife = 2 * time.Second
)

// Grade is one instance's; the zero value is that of one that never failed.
type FailureRate struct {
	rate       float64
	observedAt time.Duration
}

// Failing is the part of the late outcomes that were failures, from 0 to
// below 1.
func (r *FailureRate) Rate(now time.Duration) float64 {
	return r.rate * math.Exp2(-float64(max(now-r.observedAt, 0))/float64(HalfLife))
}

// Note takes one outcome.
func (r *FailureRate) Observe(failed bool, now time.Duration) {
	next := r.Rate(now) * (1 - SampleWeight)
	if failed {
		next += SampleWeight
	}
	r.rate, r.observedAt = next, now
}

// Factor is by how much dearer the instance is than one that never failed:
// 1 at least.
func (r *FailureRate) CostFactor(now time.Duration) float64 {
	good := 1 - r.Rate(now)
	return 1 / (good * good)
}
