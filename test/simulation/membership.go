package simulation

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
)

// mostReplaced bounds how many control machines of a run are replaced.
const mostReplaced = 6

// leaveBound is how long a control machine that is told to end waits for others to
// take its roles over.
const leaveBound = 5 * time.Second

// replaceControl takes a control machine of a whole fleet away for good, and starts one
// with a blank disk after a while; where that is planned, the new one first.
func (f *fleet) replaceControl(old *control, span time.Duration, isPlanned bool) {
	if !f.isWhole() || len(f.gone) >= mostReplaced {
		return
	}
	f.world.note("%s is replaced, planned %v", old.name, isPlanned)
	if !isPlanned {
		old.crash()
		f.remove(old)
		f.still(span, f.addControl)
		return
	}
	f.addControl()
	f.still(span, func() {
		old.end(func() { f.remove(old) })
	})
}

// stopControl ends a control machine as planned and starts it again after a while.
func (f *fleet) stopControl(old *control, span time.Duration) {
	old.end(func() {
		f.world.after(span, func() {
			if !old.isUp {
				old.start()
			}
		})
	})
}

// end tells a control machine to end, which it does once it holds no role, or after
// a bound.
func (c *control) end(then func()) {
	if !c.isUp || c.isFrozen {
		return
	}
	c.world.note("%s is told to end", c.name)
	life, from := c.life, c.world.now
	c.step(consensus.Leave{})
	var look func()
	look = func() {
		if !c.isUp || c.life != life {
			return
		}
		if !c.epoch.IsFree() && c.world.now < from+leaveBound {
			c.world.after(20*time.Millisecond, look)
			return
		}
		c.crash()
		then()
	}
	look()
}

func (f *fleet) remove(old *control) {
	f.controls = slices.DeleteFunc(f.controls, func(one *control) bool { return one == old })
	f.gone = append(f.gone, old)
}

func (f *fleet) addControl() {
	name := fmt.Sprintf("c%d", len(f.controls)+len(f.gone)+1)
	one := &control{machine: f.machine(name), fleet: f, disk: newDisk(), isAdded: true}
	f.controls = append(f.controls, one)
	one.start()
}
