// Package balancer picks, among the instances fresh enough for a read, one
// with room in its window, near by zone and least pressed.
package balancer

import "time"

// Choice is one instance as the node sees it at this moment.
type Choice struct {
	Rank    int
	HasRoom bool
	IsNear  bool
	IsFresh bool
	// Pressure is the part of the window in use.
	Pressure float64
	Cal      time.Duration
	// Factor is by how much dearer its failures make it, 1 at least; 0 counts
	// as 1.
	Factor float64
}

// Select gives the index of the best choice, or -1 where none may be used
// now. Near ones win while they have room and are not much slower.
func Select(choices []Choice) int {
	best := -1
	for at, choice := range choices {
		if !choice.HasRoom || !choice.IsFresh {
			continue
		}
		if best < 0 || weight(choice) < weight(choices[best]) {
			best = at
		}
	}
	return best
}

func weight(choice Choice) float64 {
	cost := float64(choice.Cal)/float64(time.Millisecond) + 1
	cost *= 1 + choice.Pressure
	if !choice.IsNear {
		cost = cost*2 + 1.5
	}
	return cost * max(choice.Factor, 1)
}
