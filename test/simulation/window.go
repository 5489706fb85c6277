package simulation

import (
	"math"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
)

// Constants of the paper on flow control (docs/paper.md). paperAlpha is the
// weight of the previous average in the average latency, paperGamma the weight of
// the new value in the window, and paperThresholdNanos the latency threshold in
// nanoseconds.
const (
	paperAlpha          = 0.9
	paperGamma          = 0.2
	paperThresholdNanos = 30e6
)

const (
	windowPeriod  = time.Second
	initialWindow = 2
	// roundingMargin compensates for rounding errors when a window is compared
	// with a number of statements.
	roundingMargin = 1e-9
	// windowTolerance and latencyTolerance are the largest permitted
	// differences between the product and the model. latencyTolerance is in
	// nanoseconds.
	windowTolerance  = 1e-6
	latencyTolerance = 2
)

// windowModel is a second implementation of the paper's equations, for one
// window of one node. It checks the product's implementation, and shares no
// code with it.
type windowModel struct {
	// averageLatency is the paper's calculated average latency (CAL), in
	// nanoseconds.
	averageLatency          float64
	window, beta, maxWindow float64
	periodStart             time.Duration
	started                 bool
	// saturated is true if the window was full at some time in this period.
	saturated  bool
	latencySum float64
	samples    int
	inFlight   int
	updates    int
	// uncertain is true if the model may lack a sample that the product has
	// taken in this period.
	uncertain bool
}

func newWindowModel(beta, maxWindow float64) *windowModel {
	return &windowModel{window: math.Min(initialWindow, maxWindow), beta: beta, maxWindow: maxWindow}
}

func (m *windowModel) isFull() bool { return m.inFlight >= int(m.window+roundingMargin) }

func (m *windowModel) begin() {
	m.inFlight++
	m.saturated = m.saturated || m.isFull()
}

func (m *windowModel) finish(latency time.Duration) {
	m.inFlight--
	m.addSample(latency)
}

func (m *windowModel) addSample(latency time.Duration) {
	m.latencySum += float64(latency)
	m.samples++
}

// limit sets the maximum window.
func (m *windowModel) limit(maxWindow float64) {
	m.maxWindow = maxWindow
	m.window = math.Min(m.window, maxWindow)
}

// tick updates the window at the end of each period that has samples.
func (m *windowModel) tick(now time.Duration) {
	if !m.started {
		m.periodStart, m.started = now, true
		return
	}
	if now-m.periodStart < windowPeriod {
		return
	}
	m.periodStart = now
	if m.samples > 0 {
		m.update()
	}
}

func (m *windowModel) update() {
	latency := m.latencySum / float64(m.samples)
	m.averageLatency = (1-paperAlpha)*latency + paperAlpha*m.averageLatency
	if m.updates == 0 {
		m.averageLatency = latency
	}
	m.updates++
	next := (1-paperGamma)*m.window + paperGamma*(paperThresholdNanos/m.averageLatency*m.window+m.beta)
	if m.saturated || next < m.window {
		m.window = math.Min(math.Max(next, 1), m.maxWindow)
	}
	m.latencySum, m.samples, m.saturated = 0, 0, m.isFull()
}

// differsFrom reports whether the window or the average latency of the product
// differs from the model by more than the tolerance.
func (m *windowModel) differsFrom(reading flowcontrol.Reading) bool {
	return math.Abs(m.window-reading.Size) > windowTolerance || math.Abs(m.averageLatency-float64(reading.AverageLatency)) > latencyTolerance
}

// adopt sets the model to the values of the product, so that one difference is
// reported only once.
func (m *windowModel) adopt(reading flowcontrol.Reading) {
	m.window, m.averageLatency = reading.Size, float64(reading.AverageLatency)
}

// windowChecks counts the checks of windows against their models, so that a
// test can tell whether enough was checked.
type windowChecks struct {
	// enabled is true if the run checks windows.
	enabled bool
	// updates is the largest number of updates of any window.
	updates int
	// uncertain counts the closed connections that made a model uncertain.
	uncertain int
	maxWindow float64
	// maxLatency is the largest average latency, in nanoseconds.
	maxLatency float64
}

// observe updates the counts after a check of a model.
func (c *windowChecks) observe(model *windowModel) {
	c.updates = max(c.updates, model.updates)
	c.maxWindow = math.Max(c.maxWindow, model.window)
	c.maxLatency = math.Max(c.maxLatency, model.averageLatency)
}

// windowModelFor returns the model of the node's window for an instance. It
// returns nil if the run checks no windows or the node has no such instance.
func (n *node) windowModelFor(name string) *windowModel {
	reading, found := n.pool.WindowReading(name)
	if !n.fleet.windows.enabled || !found {
		return nil
	}
	if n.windowModels[name] == nil {
		n.windowModels[name] = newWindowModel(reading.Beta, reading.MaxWindow)
	}
	return n.windowModels[name]
}

// checkWindows compares each window of the node with its model.
func (n *node) checkWindows(now time.Duration) {
	for _, instance := range n.fleet.instances {
		model := n.windowModelFor(instance.name)
		if model == nil {
			continue
		}
		reading, _ := n.pool.WindowReading(instance.name)
		model.beta = reading.Beta
		model.limit(reading.MaxWindow)
		model.tick(now)
		if model.differsFrom(reading) {
			n.fleet.recorder.addViolation("%s for %s: window %v and CAL %v, but the paper's equations give %v and %v", n.name, instance.name, reading.Size, reading.AverageLatency, model.window, time.Duration(model.averageLatency))
			model.adopt(reading)
		}
		n.fleet.windows.observe(model)
	}
}
