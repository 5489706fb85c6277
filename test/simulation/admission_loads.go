package simulation

import (
	"time"

	"tansyseam/internal/coordination/flowcontrol"
)

// Load is an admission experiment: nodes that share one server.
type Load struct {
	Name string
	// Weights are those of the nodes.
	Weights []float64
	// Slots is how many statements the server runs at once, ServiceTime how
	// long one takes on average.
	Slots       int
	ServiceTime time.Duration
	// StatementsPerSecond is the rate over all nodes.
	StatementsPerSecond float64
	// Burst is how many statements arrive at once.
	Burst int
	// SlowFrom and SlowUntil bound a span in which the server is slower by
	// SlowFactor.
	SlowFrom, SlowUntil time.Duration
	SlowFactor          float64
	// LongFraction is the part of statements that take ten times as long.
	LongFraction float64
	MaxWindow    float64
	Duration     time.Duration
	// Unlimited lets every statement through, as without admission control.
	Unlimited bool
	// Tuning, where given, changes the parameters of the windows.
	Tuning func(*flowcontrol.Parameters)
}

// Loads lists the experiments. Most have the counts of the small fleet, at
// several loads.
func Loads() []Load {
	const service = 6 * time.Millisecond
	const slots = 10
	capacity := slots / service.Seconds()
	base := Load{Weights: equalWeights(8), Slots: slots, ServiceTime: service, MaxWindow: 12, Duration: 120 * time.Second}
	with := func(name string, change func(*Load)) Load {
		load := base
		load.Name = name
		change(&load)
		return load
	}
	return []Load{
		with("a tenth of capacity", func(l *Load) { l.StatementsPerSecond = capacity / 10 }),
		with("nine tenths", func(l *Load) { l.StatementsPerSecond = capacity * 0.9 }),
		with("one and a half", func(l *Load) { l.StatementsPerSecond = capacity * 1.5 }),
		with("one and a half, no admission", func(l *Load) {
			l.StatementsPerSecond = capacity * 1.5
			l.Unlimited = true
		}),
		with("bursts of 12, half", func(l *Load) {
			l.StatementsPerSecond = capacity / 2
			l.Burst = 12
		}),
		with("bimodal, nine tenths", func(l *Load) {
			l.LongFraction = 0.05
			l.StatementsPerSecond = capacity * 0.9 / 1.45
		}),
		with("weights 1 1 1 1 2 2 2 2, twice", func(l *Load) {
			l.Weights = []float64{1, 1, 1, 1, 2, 2, 2, 2}
			l.StatementsPerSecond = capacity * 2
		}),
		with("weights 1 2 4, 50 slots, twice", func(l *Load) {
			l.Weights = []float64{1, 2, 4}
			l.Slots, l.MaxWindow, l.StatementsPerSecond = 50, 200, capacity*5*2
		}),
		with("slow by 8 from 40 s to 60 s, half", func(l *Load) {
			l.StatementsPerSecond = capacity / 2
			l.SlowFrom, l.SlowUntil, l.SlowFactor = 40*time.Second, 60*time.Second, 8
		}),
	}
}

func equalWeights(count int) []float64 {
	weights := make([]float64, count)
	for index := range weights {
		weights[index] = 1
	}
	return weights
}
