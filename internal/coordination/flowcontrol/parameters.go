package flowcontrol

import "time"

// Parameters are those of the paper, under its names, and the bounds that this
// project adds.
type Parameters struct {
	// Alpha is the weight of the past in the moving average of latencies.
	Alpha float64
	// Gamma is the share of a step that the control law moves the window.
	Gamma float64
	// Period is the time between two steps.
	Period time.Duration
	// Beta is the growth of the window in each step, this node's weight.
	Beta float64
	// InitialWindow is the window of an instance that is new, or has come back.
	InitialWindow float64
	// MinWindow keeps one statement in flight, so that there are latencies to
	// observe.
	MinWindow float64
	// MaxWindow is w_max.
	MaxWindow float64
	// LatencyThreshold is LAT_threshold, the same for all nodes, since nodes
	// that differ in it would not share an instance fairly.
	LatencyThreshold time.Duration
}

// DefaultParameters returns the values that docs/paper.md gives reasons for.
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
