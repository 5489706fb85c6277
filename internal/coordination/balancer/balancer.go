// Package balancer chooses the instance that a read is sent to: one that is
// fresh enough and has capacity, with the lowest expected cost. It keeps no
// state: the caller describes the instances at each read and passes them to Pick.
package balancer

import "time"

const (
	// An instance in another zone costs otherZoneFactor times as much, and
	// otherZoneCost milliseconds on top, so that the own zone wins unless it is
	// much slower.
	otherZoneFactor = 2
	otherZoneCost   = 1.5
	// baseCost, in milliseconds, keeps utilization and zone in the cost of an
	// instance whose latency is not known yet, or is very low.
	baseCost = 1
)

// Candidate is the current state of one instance.
type Candidate struct {
	// HasCapacity says that a connection and a place in the concurrency window
	// are free.
	HasCapacity bool
	SameZone    bool
	// FreshEnough says that the instance's data meets the read's freshness.
	FreshEnough bool
	// Utilization is the used share of the concurrency window, from 0; it is
	// above 1 while a window that has shrunk still has more in flight.
	Utilization float64
	// Latency is the time that a statement takes at an idle instance.
	Latency time.Duration
	// CostFactor multiplies the cost, for past failures. Below 1 counts as 1.
	CostFactor float64
}

// Pick returns the index of the candidate with the lowest cost, the first of
// equal ones, or -1 where none can be used now.
func Pick(candidates []Candidate) int {
	best := -1
	for index, candidate := range candidates {
		if !candidate.HasCapacity || !candidate.FreshEnough {
			continue
		}
		if best < 0 || cost(candidate) < cost(candidates[best]) {
			best = index
		}
	}
	return best
}

// cost is about the expected time of a statement, in milliseconds.
func cost(candidate Candidate) float64 {
	total := float64(candidate.Latency)/float64(time.Millisecond) + baseCost
	total *= 1 + candidate.Utilization
	if !candidate.SameZone {
		total = total*otherZoneFactor + otherZoneCost
	}
	return total * max(candidate.CostFactor, 1)
}
