// Package outlier tracks the failure rate of an instance, from the outcomes of
// the statements that this node sent there. The rate raises the instance's cost
// for the load balancer, but never ejects it, so that a database always has an
// instance left. It decays with time, so that the instance is tried again.
//
// A node keeps one FailureRate for each instance, calls Observe with each outcome
// and passes CostFactor to the balancer. Times are durations on the node's
// monotonic clock.
package outlier

import (
	"math"
	"time"
)

const (
	// SampleWeight is the weight of one outcome in the moving average, from 0 to 1.
	SampleWeight = 0.3
	// HalfLife is the time in which the rate decays to half without outcomes.
	HalfLife = 2 * time.Second
)

// FailureRate is the exponentially weighted failure rate of one instance. The
// zero value is that of an instance that never failed.
type FailureRate struct {
	rate       float64
	observedAt time.Duration
}

// Rate returns the failure rate, from 0 to below 1.
func (r *FailureRate) Rate(now time.Duration) float64 {
	return r.rate * math.Exp2(-float64(max(now-r.observedAt, 0))/float64(HalfLife))
}

// Observe adds one outcome.
func (r *FailureRate) Observe(failed bool, now time.Duration) {
	next := r.Rate(now) * (1 - SampleWeight)
	if failed {
		next += SampleWeight
	}
	r.rate = next
	r.observedAt = now
}

// CostFactor returns the factor, at least 1, by which failures raise the cost of
// the instance: the inverse square of its success rate.
func (r *FailureRate) CostFactor(now time.Duration) float64 {
	successRate := 1 - r.Rate(now)
	return 1 / (successRate * successRate)
}
