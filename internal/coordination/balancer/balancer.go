// Package balancer picks, among the instances fresh enough for a read, one
// with room in its window, near by zone and least pressed.
package balancer

import "time"

// Choice is one instance as the node sees it at this moment.
type Candidate struct {
	Rank        int
	HasCapacity bool
	SameZone    bool
	FreshEnough bool
	// Pressure is the part of the window in use.
	Utilization float64
	Latency     time.Duration
	// Factor is by how much dearer its failures make it, 1 at least; 0 counts
	// as 1.
	CostFactor float64
}

// Select gives the index of the best choice, or -1 where none may be used
// now. Near ones win while they have room and are not much slower.
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

func cost(candidate Candidate) float64 {
	total := float64(candidate.Latency)/float64(time.Millisecond) + 1
	total *= 1 + candidate.Utilization
	if !candidate.SameZone {
		total = total*2 + 1.5
	}
	return total * max(candidate.CostFactor, 1)
}
