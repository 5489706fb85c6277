package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
)

const (
	// longStatementFactor is the factor by which a long statement takes longer
	// than another one.
	longStatementFactor = 10
	// The time of a statement is the load's service time multiplied by a
	// random factor that is at least minServiceFactor, and at most
	// serviceFactorRange more.
	minServiceFactor    = 0.6
	serviceFactorRange  = 0.8
	admissionTickPeriod = 20 * time.Millisecond
	windowSamplePeriod  = time.Second
)

// NodeShare is the result of one node in an experiment.
type NodeShare struct {
	Weight float64
	// Served is the number of statements that the server completed.
	Served int
	// Window and Cal are the window and the calculated average latency (CAL)
	// at the end.
	Window       float64
	Cal          time.Duration
	QueueTimeP99 time.Duration
}

// AdmissionResult is the result of an experiment. Capacity and Served are in
// statements per second.
type AdmissionResult struct {
	Name     string
	Capacity float64
	Served   float64
	// Latency is the median time from sending a statement to the server until
	// its completion. QueueTime is the median time in the queue of the node.
	// The fields that end in P99 are the 99th percentiles.
	Latency, LatencyP99     time.Duration
	QueueTime, QueueTimeP99 time.Duration
	Shares                  []NodeShare
	// Windows has the sum of all windows at the start and after each second.
	Windows []float64
}

type admissionStatement struct {
	arrived, sent time.Duration
	long          bool
}

// admissionNode queues the statements of one node until its window has room.
type admissionNode struct {
	window     *flowcontrol.Window
	queue      []*admissionStatement
	queueTimes []time.Duration
	served     int
}

// sharedServer runs as many statements at once as it has slots.
type sharedServer struct {
	simulator *simulator
	load      Load
	start     time.Duration
	slots     serviceSlots
}

// admissionRun is one run of an experiment.
type admissionRun struct {
	simulator  *simulator
	load       Load
	start      time.Duration
	server     *sharedServer
	nodes      []*admissionNode
	latencies  []time.Duration
	queueTimes []time.Duration
	windows    []float64
}

// RunAdmission runs an experiment in virtual time.
func RunAdmission(seed uint64, load Load) AdmissionResult {
	s := newSimulator(seed)
	run := &admissionRun{simulator: s, load: load, start: s.now, server: newSharedServer(s, load)}
	run.createNodes()
	for _, node := range run.nodes {
		s.after(time.Duration(s.random.Float64()*float64(run.arrivalInterval())), func() { run.arrive(node) })
	}
	run.tick()
	s.runUntil(run.start + load.Duration)
	return run.result()
}

func (r *admissionRun) createNodes() {
	parameters := flowcontrol.DefaultParameters()
	parameters.MaxWindow = r.load.MaxWindow
	if r.load.Tuning != nil {
		r.load.Tuning(&parameters)
	}
	for _, weight := range r.load.Weights {
		parameters.Beta = weight
		r.nodes = append(r.nodes, &admissionNode{window: flowcontrol.NewWindow(parameters)})
	}
}

// burst returns the number of statements that arrive at once.
func (r *admissionRun) burst() int { return max(r.load.Burst, 1) }

// arrivalInterval returns the mean time between arrivals at one node.
func (r *admissionRun) arrivalInterval() time.Duration {
	return time.Duration(float64(time.Second) * float64(r.burst()) * float64(len(r.nodes)) / r.load.StatementsPerSecond)
}

func (r *admissionRun) arrive(node *admissionNode) {
	for range r.burst() {
		node.queue = append(node.queue, &admissionStatement{arrived: r.simulator.now, long: r.simulator.chance(r.load.LongFraction)})
	}
	r.forward(node)
	r.simulator.after(time.Duration(r.simulator.random.ExpFloat64()*float64(r.arrivalInterval())), func() { r.arrive(node) })
}

// forward sends queued statements of a node while its window has room.
func (r *admissionRun) forward(node *admissionNode) {
	for len(node.queue) > 0 && (r.load.Unlimited || node.window.HasRoom()) {
		next := node.queue[0]
		node.queue = node.queue[1:]
		node.window.Acquire()
		next.sent = r.simulator.now
		r.queueTimes = append(r.queueTimes, next.sent-next.arrived)
		node.queueTimes = append(node.queueTimes, next.sent-next.arrived)
		r.server.run(next.long, func() { r.onDone(node, next) })
	}
}

func (r *admissionRun) onDone(node *admissionNode, statement *admissionStatement) {
	latency := r.simulator.now - statement.sent
	node.window.Release(flowcontrol.Completed, latency)
	r.latencies = append(r.latencies, latency)
	node.served++
	r.forward(node)
}

func (r *admissionRun) tick() {
	for _, node := range r.nodes {
		node.window.Tick(r.simulator.now)
		r.forward(node)
	}
	if sincePeriod := (r.simulator.now - r.start) % windowSamplePeriod; sincePeriod < admissionTickPeriod {
		sum := 0.0
		for _, node := range r.nodes {
			sum += node.window.Reading().Size
		}
		r.windows = append(r.windows, sum)
	}
	r.simulator.after(admissionTickPeriod, r.tick)
}

func (r *admissionRun) result() AdmissionResult {
	result := AdmissionResult{
		Name:     r.load.Name,
		Capacity: float64(r.load.Slots) / r.load.ServiceTime.Seconds() / (1 + (longStatementFactor-1)*r.load.LongFraction),
		Latency:  percentile(r.latencies, 50), LatencyP99: percentile(r.latencies, 99),
		QueueTime: percentile(r.queueTimes, 50), QueueTimeP99: percentile(r.queueTimes, 99),
		Windows: r.windows,
	}
	total := 0
	for index, node := range r.nodes {
		reading := node.window.Reading()
		total += node.served
		result.Shares = append(result.Shares, NodeShare{
			Weight: r.load.Weights[index], Served: node.served, Window: reading.Size, Cal: reading.AverageLatency, QueueTimeP99: percentile(node.queueTimes, 99),
		})
	}
	result.Served = float64(total) / r.load.Duration.Seconds()
	return result
}

func newSharedServer(s *simulator, load Load) *sharedServer {
	return &sharedServer{simulator: s, load: load, start: s.now, slots: serviceSlots{limit: load.Slots}}
}

// run runs a statement once a slot is free, and then calls done.
func (s *sharedServer) run(long bool, done func()) {
	s.slots.run(func() {
		s.simulator.after(s.serviceTime(long), func() {
			s.slots.release()
			done()
		})
	})
}

func (s *sharedServer) serviceTime(long bool) time.Duration {
	service := time.Duration(float64(s.load.ServiceTime) * (minServiceFactor + serviceFactorRange*s.simulator.random.Float64()))
	if long {
		service *= longStatementFactor
	}
	elapsed := s.simulator.now - s.start
	if s.load.SlowFactor > 0 && elapsed >= s.load.SlowFrom && elapsed < s.load.SlowUntil {
		service = time.Duration(float64(service) * s.load.SlowFactor)
	}
	return service
}

func percentile(durations []time.Duration, percent int) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)*percent/100]
}
