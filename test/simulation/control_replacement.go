package simulation

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
)

// mostReplaced bounds how many control machines of a run are replaced.
const maxReplacedControls = 6

// leaveBound is how long a control machine that is told to end waits for others to
// take its roles over.
const controlStopTimeout = 5 * time.Second

// replaceControl takes a control machine of a whole fleet away for good, and starts one
// with a blank disk after a while; where that is planned, the new one first.
func (f *fleet) replaceControl(old *controlServer, span time.Duration, planned bool) {
	if !f.isControlHealthy() || len(f.removedControls) >= maxReplacedControls {
		return
	}
	f.simulator.record("%s is replaced, planned %v", old.name, planned)
	if !planned {
		old.crash()
		f.removeControl(old)
		f.afterUnlessRepaired(span, f.addControl)
		return
	}
	f.addControl()
	f.afterUnlessRepaired(span, func() {
		old.stop(func() { f.removeControl(old) })
	})
}

// stopControl ends a control machine as planned and starts it again after a while.
func (f *fleet) stopControl(old *controlServer, span time.Duration) {
	old.stop(func() {
		f.simulator.after(span, func() {
			if !old.running {
				old.start()
			}
		})
	})
}

// end tells a control machine to end, which it does once it holds no role, or after
// a bound.
func (c *controlServer) stop(then func()) {
	if !c.running || c.frozen {
		return
	}
	c.simulator.record("%s is told to end", c.name)
	life, from := c.incarnation, c.simulator.now
	c.step(consensus.Leave{})
	var look func()
	look = func() {
		if !c.running || c.incarnation != life {
			return
		}
		if !c.consensus.MayStop() && c.simulator.now < from+controlStopTimeout {
			c.simulator.after(20*time.Millisecond, look)
			return
		}
		c.crash()
		then()
	}
	look()
}

func (f *fleet) removeControl(old *controlServer) {
	f.controls = slices.DeleteFunc(f.controls, func(one *controlServer) bool { return one == old })
	f.removedControls = append(f.removedControls, old)
}

func (f *fleet) addControl() {
	name := fmt.Sprintf("c%d", len(f.controls)+len(f.removedControls)+1)
	one := &controlServer{machine: f.newMachine(name), fleet: f, disk: newDisk(), joinedLater: true}
	f.controls = append(f.controls, one)
	one.start()
}
