package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
)

const (
	// maxReplacedControls is the maximum number of control servers that a run
	// replaces.
	maxReplacedControls = 6
	// controlStopTimeout is the maximum time for which a stopping control server
	// waits for others to take over its roles.
	controlStopTimeout       = 5 * time.Second
	controlStopCheckInterval = 20 * time.Millisecond
)

// replaceControl removes a control server of a healthy fleet permanently, and
// starts a new one with a blank disk. A planned replacement starts the new server
// first and stops the old one after the duration. Otherwise the old server
// crashes, and the new one starts after the duration.
func (p *controlPlane) replaceControl(old *controlServer, duration time.Duration, planned bool) {
	if !p.isControlHealthy() || len(p.removedControls) >= maxReplacedControls {
		return
	}
	p.simulator.record("%s is replaced, planned %v", old.name, planned)
	if !planned {
		old.crash()
		p.removeControl(old)
		p.afterUnlessRepaired(duration, p.addControl)
		return
	}
	p.addControl()
	p.afterUnlessRepaired(duration, func() {
		old.stop(func() { p.removeControl(old) })
	})
}

// restartControl stops a control server as planned, and starts it again after the
// duration.
func (p *controlPlane) restartControl(control *controlServer, duration time.Duration) {
	control.stop(func() {
		p.simulator.after(duration, func() { control.ensureRunning(control.start) })
	})
}

// stop asks a control server to stop. The server stops once it has no role, or
// after controlStopTimeout. next is called after that.
func (c *controlServer) stop(next func()) {
	if !c.running || c.frozen {
		return
	}
	c.simulator.record("%s asked to stop", c.name)
	incarnation, since := c.incarnation, c.simulator.now
	c.step(consensus.Leave{})
	var check func()
	check = func() {
		if !c.running || c.incarnation != incarnation {
			return
		}
		if !c.consensus.MayStop() && c.simulator.now < since+controlStopTimeout {
			c.simulator.after(controlStopCheckInterval, check)
			return
		}
		c.crash()
		next()
	}
	check()
}

func (p *controlPlane) removeControl(old *controlServer) {
	p.controls = slices.DeleteFunc(p.controls, func(control *controlServer) bool { return control == old })
	p.removedControls = append(p.removedControls, old)
}

func (p *controlPlane) addControl() {
	added := p.createControl(len(p.controls) + len(p.removedControls) + 1)
	added.joinedLater = true
	p.controls = append(p.controls, added)
	added.start()
}
