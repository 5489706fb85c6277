package flowcontrol

import "time"

// Parameters holds the parameters of the paper, under the paper's names, and the
// bounds that this project adds.
type Parameters struct {
	// Alpha is the weight of the previous average in the moving average of
	// latencies.
	Alpha float64
	// Gamma is the fraction of the distance to its target that the window moves
	// in each step.
	Gamma float64
	// Period is the time between two steps.
	Period time.Duration
	// Beta is the weight of this node, which the control law adds to the window's
	// target in each step.
	Beta float64
	// InitialWindow is the size of the window of an instance that is new or has
	// returned.
	InitialWindow float64
	// MinWindow is the lower bound of the window. It allows one statement in
	// flight, so that there are latencies to observe.
	MinWindow float64
	// MaxWindow is w_max, the upper bound of the window.
	MaxWindow float64
	// LatencyThreshold is LAT_threshold. It must be the same on all nodes, since
	// nodes with different thresholds would not share an instance fairly.
	LatencyThreshold time.Duration
}

// DefaultParameters returns the project's values, for which docs/paper.md gives
// the reasons.
func DefaultParameters() Parameters {
	return Parameters{
		Alpha:            0.9,
		Gamma:            0.2,
		Period:           time.Second,
		Beta:             1,
		InitialWindow:    2,
		MinWindow:        1,
		MaxWindow:        8,
		LatencyThreshold: 30 * time.Millisecond,
	}
}
