package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
)

// Load is an admission experiment: nodes that share one server.
type Load struct {
	Name    string
	Weights []float64
	Slots   int
	Service time.Duration
	// Rate is statements a second over all nodes; the server does Slots /
	// Service of them.
	Rate float64
	// Burst is how many arrive at once.
	Burst int
	// Slow is a part of the span in which the server is slower by a factor.
	SlowFrom, SlowUntil time.Duration
	SlowBy              float64
	// Bimodal is the part of statements that take ten times as long.
	Bimodal float64
	Most    float64
	Span    time.Duration
	// IsOpen lets every statement through, as without admission.
	IsOpen bool
	Tuning func(*flowcontrol.Tuning)
}

// Share is what one node got.
type Share struct {
	Weight  float64
	Served  int
	Window  float64
	Cal     time.Duration
	WaitP99 time.Duration
}

// Outcome is what an experiment showed.
type Outcome struct {
	Name     string
	Capacity float64
	Served   float64
	// Latency is at the server, Wait in the node's line.
	Latency, LatencyP99 time.Duration
	Wait, WaitP99       time.Duration
	Shares              []Share
	// Windows is the sum of all windows at the end of each period.
	Windows []float64
}

type request struct {
	came, sent time.Duration
	isLong     bool
}

type sharer struct {
	window *flowcontrol.Window
	line   []*request
	waits  []time.Duration
	served int
}

// Admit plays an experiment in virtual time.
func Admit(seed uint64, load Load) Outcome {
	w := newWorld(seed)
	start := w.now
	tuning := flowcontrol.Defaults()
	tuning.Max = load.Most
	if load.Tuning != nil {
		load.Tuning(&tuning)
	}
	var nodes []*sharer
	for _, weight := range load.Weights {
		tuned := tuning
		tuned.Beta = weight
		nodes = append(nodes, &sharer{window: flowcontrol.New(tuned)})
	}
	outcome := Outcome{Name: load.Name, Capacity: float64(load.Slots) / load.Service.Seconds() / (1 + 9*load.Bimodal)}
	var latencies, waits []time.Duration
	busy := 0
	var queue []func()
	var pump func(*sharer)
	serve := func(isLong bool, done func()) {
		begin := func() {
			busy++
			span := time.Duration(float64(load.Service) * (0.6 + 0.8*w.random.Float64()))
			if isLong {
				span *= 10
			}
			if at := w.now - start; load.SlowBy > 0 && at >= load.SlowFrom && at < load.SlowUntil {
				span = time.Duration(float64(span) * load.SlowBy)
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
	pump = func(n *sharer) {
		for len(n.line) > 0 && (load.IsOpen || n.window.HasRoom()) {
			r := n.line[0]
			n.line = n.line[1:]
			n.window.Take()
			r.sent = w.now
			waits = append(waits, w.now-r.came)
			n.waits = append(n.waits, w.now-r.came)
			serve(r.isLong, func() {
				n.window.Done(flowcontrol.Answered, w.now-r.sent)
				latencies = append(latencies, w.now-r.sent)
				n.served++
				pump(n)
			})
		}
	}
	every := time.Duration(float64(time.Second) * float64(max(load.Burst, 1)) * float64(len(nodes)) / load.Rate)
	for _, n := range nodes {
		var arrive func()
		arrive = func() {
			for range max(load.Burst, 1) {
				n.line = append(n.line, &request{came: w.now, isLong: w.chance(load.Bimodal)})
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
				sum += n.window.Read().Window
			}
			outcome.Windows = append(outcome.Windows, sum)
		}
		w.after(20*time.Millisecond, tick)
	}
	tick()
	w.runUntil(start + load.Span)
	total := 0
	for at, n := range nodes {
		reading := n.window.Read()
		total += n.served
		outcome.Shares = append(outcome.Shares, Share{
			Weight: load.Weights[at], Served: n.served, Window: reading.Window, Cal: reading.Cal, WaitP99: part(n.waits, 99),
		})
	}
	outcome.Served = float64(total) / load.Span.Seconds()
	outcome.Latency, outcome.LatencyP99 = part(latencies, 50), part(latencies, 99)
	outcome.Wait, outcome.WaitP99 = part(waits, 50), part(waits, 99)
	return outcome
}

func part(spans []time.Duration, hundredth int) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	sorted := slices.Clone(spans)
	slices.Sort(sorted)
	return sorted[len(sorted)*hundredth/100]
}

func alike(count int) []float64 {
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
	base := Load{Weights: alike(8), Slots: 10, Service: service, Most: 12, Span: 120 * time.Second}
	with := func(name string, change func(*Load)) Load {
		load := base
		load.Name = name
		change(&load)
		return load
	}
	return []Load{
		with("a tenth of capacity", func(l *Load) { l.Rate = capacity / 10 }),
		with("nine tenths", func(l *Load) { l.Rate = capacity * 0.9 }),
		with("one and a half", func(l *Load) { l.Rate = capacity * 1.5 }),
		with("one and a half, no admission", func(l *Load) { l.Rate = capacity * 1.5; l.IsOpen = true }),
		with("bursts of 12, half", func(l *Load) { l.Rate = capacity / 2; l.Burst = 12 }),
		with("bimodal, nine tenths", func(l *Load) { l.Bimodal = 0.05; l.Rate = capacity * 0.9 / 1.45 }),
		with("weights 1 1 1 1 2 2 2 2, twice", func(l *Load) { l.Weights = []float64{1, 1, 1, 1, 2, 2, 2, 2}; l.Rate = capacity * 2 }),
		with("weights 1 2 4, 50 slots, twice", func(l *Load) {
			l.Weights = []float64{1, 2, 4}
			l.Slots, l.Most, l.Rate = 50, 200, capacity*5*2
		}),
		with("slow by 8 from 40 s to 60 s, half", func(l *Load) {
			l.Rate = capacity / 2
			l.SlowFrom, l.SlowUntil, l.SlowBy = 40*time.Second, 60*time.Second, 8
		}),
	}
}
