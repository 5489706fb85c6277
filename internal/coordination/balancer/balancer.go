// Package balancer selects the instance to which a read is sent. Among the
// instances that are fresh enough and have capacity, it selects the one with the
// lowest expected cost. The package keeps no state: for each read, the caller
// describes the instances and passes them to Pick.
package balancer

import "time"

const (
	// The cost of an instance in another zone is multiplied by otherZoneFactor and
	// raised by otherZoneCost milliseconds. An instance in the caller's own zone is
	// therefore preferred unless it is much slower.
	otherZoneFactor = 2
	otherZoneCost   = 1.5
	// baseCost, in milliseconds, is added to the latency, so that utilization and
	// zone affect the cost of an instance whose latency is unknown or very low.
	baseCost = 1
)

// Candidate is the current state of one instance.
type Candidate struct {
	// HasCapacity is true if a connection and a slot in the concurrency window are
	// available.
	HasCapacity bool
	SameZone    bool
	// FreshEnough is true if the instance's data meets the freshness that the read
	// requires.
	FreshEnough bool
	// Utilization is the used fraction of the concurrency window, from 0. It
	// exceeds 1 while a window that has shrunk has more statements in flight than
	// its size.
	Utilization float64
	// Latency is the average latency that was observed at the instance, or 0 if it
	// is unknown.
	Latency time.Duration
	// CostFactor is the factor by which past failures multiply the cost. A value
	// below 1 counts as 1.
	CostFactor float64
}

// Pick returns the index of the usable candidate with the lowest cost. If several
// have the same cost, it returns the first. If no candidate is usable now, it
// returns -1.
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

// cost returns the approximate expected duration of a statement, in milliseconds.
func cost(candidate Candidate) float64 {
	total := float64(candidate.Latency)/float64(time.Millisecond) + baseCost
	total *= 1 + candidate.Utilization
	if !candidate.SameZone {
		total = total*otherZoneFactor + otherZoneCost
	}
	return total * max(candidate.CostFactor, 1)
}
