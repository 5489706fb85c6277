// Package pool contains the code that the state machines of the two connection
// pools share: httppool, whose clients send HTTP requests, and linepool, whose
// clients hold sessions of a line protocol. It provides the node's view of
// leases, binding sets and writer roles, the queue of effects, the directory of
// databases and instances, and the backoff of connection attempts.
//
// Like the machines built on it, the package does no I/O and has no clock. The
// caller passes the current time with each event and receives the actions that
// the event requires as effects.
package pool

import (
	"time"

	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
)

// Effect is one action that the program around a pool's machine must carry out.
// Each pool's package lists its types of effect; the shared types are declared
// here.
type Effect any

// Effects that both pools have.
type (
	// Report requests that the node's observations be reported to the control
	// primary at once, before the next update request is due.
	Report struct{}
	// WriterChanged announces that a database's writer role has changed.
	WriterChanged struct{ Change routing.WriterRoleChanged }
	// BindingsActivated announces that a binding set has come into force on
	// this node.
	BindingsActivated struct{ Set model.BindingSet }
)

// Counter adds to one of the node's named counters.
type Counter func(name string, by int64)

// Reasons why a node is not ready. Operators and the platform's readiness check
// read these texts.
const (
	reasonDraining   = "stopping"
	reasonNoLease    = "no lease from the control primary"
	reasonNoBindings = "no bindings in force"
)

// Core is the part of a pool's machine that does not depend on the protocol
// of its clients. The machines embed it. Create a Core with NewCore.
type Core struct {
	routing  *routing.Machine
	count    Counter
	effects  []Effect
	draining bool
}

// NewCore returns the core of the node called name, without a lease and without
// a binding set. The core calls count whenever it increments a counter.
func NewCore(name string, leases lease.Timing, count Counter) Core {
	return Core{routing: routing.New(name, leases), count: count}
}

// Effects returns the effects emitted since the last call, in order, and removes
// them from the queue.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// Emit appends an effect to the queue that Effects returns.
func (c *Core) Emit(effect Effect) { c.effects = append(c.effects, effect) }

// Count adds to one of the node's counters.
func (c *Core) Count(name string, by int64) { c.count(name, by) }

// Routing returns the node's view of leases, binding sets and writer roles.
// Callers outside the pool's machine must only read it.
func (c *Core) Routing() *routing.Machine { return c.routing }

// EffectiveSet returns the binding set that is in force now, and emits
// BindingsActivated if the set has changed since the last call. The sequence of
// the set is 0 while the node has no binding set.
func (c *Core) EffectiveSet(now time.Duration) model.BindingSet {
	set, changed := c.routing.ActiveSet(now)
	if changed {
		c.count("sets_shown", 1)
		c.Emit(BindingsActivated{Set: set})
	}
	return set
}

// Ready reports whether the node accepts clients. If it does not, reason explains
// why.
func (c *Core) Ready(now time.Duration) (ready bool, reason string) {
	set := c.EffectiveSet(now) // also called while draining, so that BindingsActivated is emitted without delay
	if c.draining {
		return false, reasonDraining
	}
	if !c.routing.HasLease(now) {
		return false, reasonNoLease
	}
	if set.Sequence == 0 {
		return false, reasonNoBindings
	}
	return true, ""
}

// Draining reports whether StartDraining has been called.
func (c *Core) Draining() bool { return c.draining }

// StartDraining marks the node as stopping. The node is never ready again.
func (c *Core) StartDraining() { c.draining = true }
