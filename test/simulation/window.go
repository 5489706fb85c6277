package simulation

import (
	"math"
	"time"
)

type windowModel struct {
	cal, window, beta, maxWindow float64
	periodStart                  time.Duration
	started, saturated           bool
	latencySum                   float64
	samples, inFlight            int
	updates                      int
	uncertain                    bool
}

func newWindowModel(beta, most float64) *windowModel {
	return &windowModel{window: math.Min(2, most), beta: beta, maxWindow: most}
}

func (x *windowModel) begin() {
	x.inFlight++
	x.saturated = x.saturated || x.inFlight >= int(x.window+1e-9)
}

func (x *windowModel) finish(latency time.Duration) {
	x.inFlight--
	x.addSample(latency)
}

func (x *windowModel) addSample(latency time.Duration) {
	x.latencySum += float64(latency)
	x.samples++
}

func (x *windowModel) tick(now time.Duration) {
	if !x.started {
		x.periodStart, x.started = now, true
		return
	}
	if now-x.periodStart < time.Second {
		return
	}
	x.periodStart = now
	if x.samples == 0 {
		return
	}
	const alpha, gamma, threshold = 0.9, 0.2, 30e6
	l := x.latencySum / float64(x.samples)
	x.cal = (1-alpha)*l + alpha*x.cal
	if x.updates == 0 {
		x.cal = l
	}
	x.updates++
	moved := (1-gamma)*x.window + gamma*(threshold/x.cal*x.window+x.beta)
	if x.saturated || moved < x.window {
		x.window = math.Min(math.Max(moved, 1), x.maxWindow)
	}
	x.latencySum, x.samples, x.saturated = 0, 0, x.inFlight >= int(x.window+1e-9)
}

func (n *node) windowModelFor(name string) *windowModel {
	reading, found := n.pool.WindowReading(name)
	if !n.fleet.modelsWindows || !found {
		return nil
	}
	if n.windowModels[name] == nil {
		n.windowModels[name] = newWindowModel(reading.Beta, reading.MaxWindow)
	}
	return n.windowModels[name]
}

func (n *node) checkWindows(now time.Duration) {
	for _, one := range n.fleet.instances {
		held := n.windowModelFor(one.name)
		if held == nil {
			continue
		}
		reading, _ := n.pool.WindowReading(one.name)
		held.beta, held.maxWindow = reading.Beta, reading.MaxWindow
		held.window = math.Min(held.window, held.maxWindow)
		held.tick(now)
		isFar := math.Abs(held.window-reading.Size) > 1e-6 || math.Abs(held.cal-float64(reading.AverageLatency)) > 2
		if isFar {
			n.fleet.addViolation("%s for %s: window %v and CAL %v, by the equations %v and %v", n.name, one.name, reading.Size, reading.AverageLatency, held.window, time.Duration(held.cal))
			held.window, held.cal = reading.Size, float64(reading.AverageLatency)
		}
		n.fleet.windowUpdates = max(n.fleet.windowUpdates, held.updates)
		n.fleet.maxWindow = math.Max(n.fleet.maxWindow, held.window)
	}
}
