package simulation

import (
	"time"

	"tansyseam/internal/coordination/flowcontrol"
)

// Load describes an admission experiment, in which several nodes share one
// server.
type Load struct {
	Name string
	// Weights has the weight of each node.
	Weights []float64
	// Slots is the number of statements that the server runs at once.
	Slots int
	// ServiceTime is the mean time of a statement that is not long.
	ServiceTime time.Duration
	// StatementsPerSecond is the rate of arrivals over all nodes.
	StatementsPerSecond float64
	// Burst is the number of statements that arrive at once; 0 means 1.
	Burst int
	// From SlowFrom until SlowUntil, statements take SlowFactor times as long.
	// Both are counted from the start of the experiment.
	SlowFrom, SlowUntil time.Duration
	SlowFactor          float64
	// LongFraction is the fraction of statements that take ten times as long.
	LongFraction float64
	MaxWindow    float64
	Duration     time.Duration
	// Unlimited turns admission control off: every statement is sent at once.
	Unlimited bool
	// Tuning changes the parameters of the windows; nil keeps the defaults.
	Tuning func(*flowcontrol.Parameters)
}

// Loads returns the experiments. Most of them have 8 nodes, and a server of 10
// slots under a load below or above its capacity.
func Loads() []Load {
	const service = 6 * time.Millisecond
	const slots = 10
	capacity := slots / service.Seconds()
	base := Load{Weights: equalWeights(8), Slots: slots, ServiceTime: service, MaxWindow: 12, Duration: 120 * time.Second}
	variant := func(name string, change func(*Load)) Load {
		load := base
		load.Name = name
		change(&load)
		return load
	}
	return []Load{
		variant("a tenth of capacity", func(l *Load) { l.StatementsPerSecond = capacity / 10 }),
		variant("nine tenths", func(l *Load) { l.StatementsPerSecond = capacity * 0.9 }),
		variant("one and a half", func(l *Load) { l.StatementsPerSecond = capacity * 1.5 }),
		variant("one and a half, no admission", func(l *Load) {
			l.StatementsPerSecond = capacity * 1.5
			l.Unlimited = true
		}),
		variant("bursts of 12, half", func(l *Load) {
			l.StatementsPerSecond = capacity / 2
			l.Burst = 12
		}),
		variant("bimodal, nine tenths", func(l *Load) {
			l.LongFraction = 0.05
			l.StatementsPerSecond = capacity * 0.9 / 1.45
		}),
		variant("weights 1 1 1 1 2 2 2 2, twice", func(l *Load) {
			l.Weights = []float64{1, 1, 1, 1, 2, 2, 2, 2}
			l.StatementsPerSecond = capacity * 2
		}),
		variant("weights 1 2 4, 50 slots, twice", func(l *Load) {
			l.Weights = []float64{1, 2, 4}
			l.Slots, l.MaxWindow, l.StatementsPerSecond = 50, 200, capacity*5*2
		}),
		variant("slow by 8 from 40 s to 60 s, half", func(l *Load) {
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
