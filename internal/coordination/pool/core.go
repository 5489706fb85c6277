// Package pool holds what the state machines of the two connection pools have
// in common: httppool, whose clients send HTTP requests, and linepool, whose
// clients hold sessions of a line protocol. It has the node's view of leases,
// binding sets and writer roles, the queue of effects, the directory of
// databases and instances, and the backoff of connection attempts.
//
// Like the machines built on it, the package does no I/O and has no clock:
// each event brings the current time, and what is to be done about it is
// returned as effects.
package pool

import (
	"time"

	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
)

// Effect is one thing that the program around a pool's machine has to do. The
// packages of the machines list their types; the ones that they share are
// declared here.
type Effect any

// Effects that both pools have.
type (
	// Report asks for a report of the node's observations to the control
	// primary at once, before the next update request is due.
	Report struct{}
	// WriterChanged announces that a database's writer role has changed.
	WriterChanged struct{ Change routing.WriterRoleChanged }
	// BindingsActivated announces that a binding set has come into force at
	// this node.
	BindingsActivated struct{ Set model.BindingSet }
)

// Counter adds to one of the node's named counters.
type Counter func(name string, by int64)

// Reasons for which a node is not ready. Operators and the platform's
// readiness check read them.
const (
	reasonDraining   = "stopping"
	reasonNoLease    = "no lease from the control primary"
	reasonNoBindings = "no bindings in force"
)

// Core is the part of a pool's machine that does not depend on the protocol
// of its clients. The machines embed it. Use NewCore to make one.
type Core struct {
	routing  *routing.Machine
	count    Counter
	effects  []Effect
	draining bool
}

// NewCore returns the core of the node called name, which has no lease and
// knows no binding set yet. It calls count for each counter that rises.
func NewCore(name string, leases lease.Timing, count Counter) Core {
	return Core{routing: routing.New(name, leases), count: count}
}

// Effects returns what the events since the last call caused, in order.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// Emit adds an effect behind those that have not been taken yet.
func (c *Core) Emit(effect Effect) { c.effects = append(c.effects, effect) }

// Count adds to one of the node's counters.
func (c *Core) Count(name string, by int64) { c.count(name, by) }

// Routing returns what the node knows of leases, binding sets and writer
// roles. Callers from outside the machine only read it.
func (c *Core) Routing() *routing.Machine { return c.routing }

// EffectiveSet returns the binding set that is in force now, and emits
// BindingsActivated when it is another than at the last call. Its sequence is
// 0 while the node knows none.
func (c *Core) EffectiveSet(now time.Duration) model.BindingSet {
	set, changed := c.routing.ActiveSet(now)
	if changed {
		c.count("sets_shown", 1)
		c.Emit(BindingsActivated{Set: set})
	}
	return set
}

// Ready reports whether the node may be given clients, and if not, the reason.
func (c *Core) Ready(now time.Duration) (ready bool, reason string) {
	set := c.EffectiveSet(now) // also while draining: the effect must not wait
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

// Draining reports whether the node is stopping.
func (c *Core) Draining() bool { return c.draining }

// StartDraining makes the node unready for good.
func (c *Core) StartDraining() { c.draining = true }
