package simulation

import (
	"math"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
)

// Constants of the paper on flow control (docs/paper.md): the weights of the
// averages, and the latency threshold in nanoseconds.
const (
	paperAlpha          = 0.9
	paperGamma          = 0.2
	paperThresholdNanos = 30e6
)

const (
	windowPeriod  = time.Second
	initialWindow = 2
	// roundingMargin makes up for rounding when a window is compared with a
	// count.
	roundingMargin = 1e-9
	// windowTolerance and latencyTolerance are how far the product's figures
	// may be from the model's; the latter is in nanoseconds.
	windowTolerance  = 1e-6
	latencyTolerance = 2
)

// windowModel is the paper's equations for one window of one node, written a
// second time to check the product's. It shares no code with the product.
type windowModel struct {
	// averageLatency is the paper's CAL, in nanoseconds.
	averageLatency          float64
	window, beta, maxWindow float64
	periodStart             time.Duration
	started                 bool
	// saturated says that the window was full in this period.
	saturated  bool
	latencySum float64
	samples    int
	inFlight   int
	updates    int
	// uncertain says that the model lacks what the product saw in this
	// period.
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

// limit applies a new largest window.
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

// differsFrom reports whether the product's figures are not the model's.
func (m *windowModel) differsFrom(reading flowcontrol.Reading) bool {
	return math.Abs(m.window-reading.Size) > windowTolerance || math.Abs(m.averageLatency-float64(reading.AverageLatency)) > latencyTolerance
}

// adopt takes the product's figures over, so that one difference is found
// once.
func (m *windowModel) adopt(reading flowcontrol.Reading) {
	m.window, m.averageLatency = reading.Size, float64(reading.AverageLatency)
}

// windowChecks says whether the windows of all nodes are checked against a
// model. The other fields show how much there was to check.
type windowChecks struct {
	enabled   bool
	updates   int
	uncertain int
	maxWindow float64
	// maxLatency is in nanoseconds.
	maxLatency float64
}

// observe takes in a model after a check.
func (c *windowChecks) observe(model *windowModel) {
	c.updates = max(c.updates, model.updates)
	c.maxWindow = math.Max(c.maxWindow, model.window)
	c.maxLatency = math.Max(c.maxLatency, model.averageLatency)
}

// windowModelFor gives the model of the window for an instance; nil where the
// run models none, or the node knows no such instance.
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
			n.fleet.recorder.addViolation("%s for %s: window %v and CAL %v, by the equations %v and %v", n.name, instance.name, reading.Size, reading.AverageLatency, model.window, time.Duration(model.averageLatency))
			model.adopt(reading)
		}
		n.fleet.windows.observe(model)
	}
}
