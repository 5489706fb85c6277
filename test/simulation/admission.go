package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
)

// Load is an admission experiment: nodes that share one server.
type Load struct {
	Name        string
	Weights     []float64
	Slots       int
	ServiceTime time.Duration
	// Rate is statements a second over all nodes; the server does Slots /
	// Service of them.
	StatementsPerSecond float64
	// Burst is how many arrive at once.
	Burst int
	// Slow is a part of the span in which the server is slower by a factor.
	SlowFrom, SlowUntil time.Duration
	SlowFactor          float64
	// Bimodal is the part of statements that take ten times as long.
	LongFraction float64
	MaxWindow    float64
	Duration     time.Duration
	// IsOpen lets every statement through, as without admission.
	Unlimited bool
	Tuning    func(*flowcontrol.Parameters)
}

// Share is what one node got.
type NodeShare struct {
	Weight       float64
	Served       int
	Window       float64
	Cal          time.Duration
	QueueTimeP99 time.Duration
}

// Outcome is what an experiment showed.
type AdmissionResult struct {
	Name     string
	Capacity float64
	Served   float64
	// Latency is at the server, Wait in the node's line.
	Latency, LatencyP99     time.Duration
	QueueTime, QueueTimeP99 time.Duration
	Shares                  []NodeShare
	// Windows is the sum of all windows at the end of each period.
	Windows []float64
}

type admissionStatement struct {
	arrived, sent time.Duration
	long          bool
}

type admissionNode struct {
	window     *flowcontrol.Window
	queue      []*admissionStatement
	queueTimes []time.Duration
	served     int
}

// Admit plays an experiment in virtual time.
func RunAdmission(seed uint64, load Load) AdmissionResult {
	w := newSimulator(seed)
	start := w.now
	tuning := flowcontrol.DefaultParameters()
	tuning.MaxWindow = load.MaxWindow
	if load.Tuning != nil {
		load.Tuning(&tuning)
	}
	var nodes []*admissionNode
	for _, weight := range load.Weights {
		tuned := tuning
		tuned.Beta = weight
		nodes = append(nodes, &admissionNode{window: flowcontrol.NewWindow(tuned)})
	}
	outcome := AdmissionResult{Name: load.Name, Capacity: float64(load.Slots) / load.ServiceTime.Seconds() / (1 + 9*load.LongFraction)}
	var latencies, waits []time.Duration
	busy := 0
	var queue []func()
	var pump func(*admissionNode)
	serve := func(isLong bool, done func()) {
		begin := func() {
			busy++
			span := time.Duration(float64(load.ServiceTime) * (0.6 + 0.8*w.random.Float64()))
			if isLong {
				span *= 10
			}
			if at := w.now - start; load.SlowFactor > 0 && at >= load.SlowFrom && at < load.SlowUntil {
				span = time.Duration(float64(span) * load.SlowFactor)
			}
			w.after(span, func() {
				busy--
				if len(queue) > 0 {
					next := queue[0]
					queue = queue[1:]
					next()
				}
				done()
			})
		}
		if busy < load.Slots {
			begin()
			return
		}
		queue = append(queue, begin)
	}
	pump = func(n *admissionNode) {
		for len(n.queue) > 0 && (load.Unlimited || n.window.HasRoom()) {
			r := n.queue[0]
			n.queue = n.queue[1:]
			n.window.Acquire()
			r.sent = w.now
			waits = append(waits, w.now-r.arrived)
			n.queueTimes = append(n.queueTimes, w.now-r.arrived)
			serve(r.long, func() {
				n.window.Release(flowcontrol.Completed, w.now-r.sent)
				latencies = append(latencies, w.now-r.sent)
				n.served++
				pump(n)
			})
		}
	}
	every := time.Duration(float64(time.Second) * float64(max(load.Burst, 1)) * float64(len(nodes)) / load.StatementsPerSecond)
	for _, n := range nodes {
		var arrive func()
		arrive = func() {
			for range max(load.Burst, 1) {
				n.queue = append(n.queue, &admissionStatement{arrived: w.now, long: w.chance(load.LongFraction)})
			}
			pump(n)
			w.after(time.Duration(w.random.ExpFloat64()*float64(every)), arrive)
		}
		w.after(time.Duration(w.random.Float64()*float64(every)), arrive)
	}
	var tick func()
	tick = func() {
		for _, n := range nodes {
			n.window.Tick(w.now)
			pump(n)
		}
		if at := (w.now - start) % time.Second; at < 20*time.Millisecond {
			sum := 0.0
			for _, n := range nodes {
				sum += n.window.Reading().Size
			}
			outcome.Windows = append(outcome.Windows, sum)
		}
		w.after(20*time.Millisecond, tick)
	}
	tick()
	w.runUntil(start + load.Duration)
	total := 0
	for at, n := range nodes {
		reading := n.window.Reading()
		total += n.served
		outcome.Shares = append(outcome.Shares, NodeShare{
			Weight: load.Weights[at], Served: n.served, Window: reading.Size, Cal: reading.AverageLatency, QueueTimeP99: percentile(n.queueTimes, 99),
		})
	}
	outcome.Served = float64(total) / load.Duration.Seconds()
	outcome.Latency, outcome.LatencyP99 = percentile(latencies, 50), percentile(latencies, 99)
	outcome.QueueTime, outcome.QueueTimeP99 = percentile(waits, 50), percentile(waits, 99)
	return outcome
}

func percentile(spans []time.Duration, hundredth int) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	sorted := slices.Clone(spans)
	slices.Sort(sorted)
	return sorted[len(sorted)*hundredth/100]
}

func equalWeights(count int) []float64 {
	weights := make([]float64, count)
	for at := range weights {
		weights[at] = 1
	}
	return weights
}

// Loads lists the experiments: Magnolia's counts, at several loads.
func Loads() []Load {
	const service = 6 * time.Millisecond
	capacity := 10 / service.Seconds()
	base := Load{Weights: equalWeights(8), Slots: 10, ServiceTime: service, MaxWindow: 12, Duration: 120 * time.Second}
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
		with("one and a half, no admission", func(l *Load) { l.StatementsPerSecond = capacity * 1.5; l.Unlimited = true }),
		with("bursts of 12, half", func(l *Load) { l.StatementsPerSecond = capacity / 2; l.Burst = 12 }),
		with("bimodal, nine tenths", func(l *Load) { l.LongFraction = 0.05; l.StatementsPerSecond = capacity * 0.9 / 1.45 }),
		with("weights 1 1 1 1 2 2 2 2, twice", func(l *Load) { l.Weights = []float64{1, 1, 1, 1, 2, 2, 2, 2}; l.StatementsPerSecond = capacity * 2 }),
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
