// Package outlier tracks the failure rate of an instance from the outcomes of the
// statements that this node sent to it. A higher rate raises the instance's cost
// for the load balancer. It never ejects the instance, so that a database always
// has an instance left. The rate decays with time, so that the instance is tried
// again.
//
// A node keeps one FailureRate per instance, calls Observe with each outcome and
// passes CostFactor to the balancer. Times are offsets on the node's monotonic
// clock.
package outlier

import (
	"math"
	"time"
)

const (
	// SampleWeight is the weight of one outcome in the moving average, from 0 to 1.
	SampleWeight = 0.3
	// HalfLife is the time in which the rate falls to half if there are no outcomes.
	HalfLife = 2 * time.Second
)

// FailureRate is the exponentially weighted failure rate of one instance. The
// zero value is the rate of an instance that has never failed.
type FailureRate struct {
	rate       float64
	observedAt time.Duration
}

// Rate returns the failure rate, which is at least 0 and less than 1.
func (r *FailureRate) Rate(now time.Duration) float64 {
	return r.rate * math.Exp2(-float64(max(now-r.observedAt, 0))/float64(HalfLife))
}

// Observe adds one outcome to the rate.
func (r *FailureRate) Observe(failed bool, now time.Duration) {
	next := r.Rate(now) * (1 - SampleWeight)
	if failed {
		next += SampleWeight
	}
	r.rate = next
	r.observedAt = now
}

// CostFactor returns the factor by which failures multiply the cost of the
// instance. It is the inverse square of the success rate, and so at least 1.
func (r *FailureRate) CostFactor(now time.Duration) float64 {
	successRate := 1 - r.Rate(now)
	return 1 / (successRate * successRate)
}
