package membership

import (
	"time"

	"tansyseam/internal/state/model"
)

// Event is an input of Machine.Step: GossipReceived or Tick.
type Event interface {
	apply(m *Machine, now time.Duration)
}

// Effect is an action that Machine.Step requests of its caller: Send or
// StatusChanged.
type Effect interface {
	isEffect()
}

// GossipReceived is the event that another node's gossip arrived.
type GossipReceived struct {
	Gossip Gossip
}

// Tick is the event that time has passed. Ticks may be more frequent than the
// heartbeat interval.
type Tick struct{}

// Send is the effect of sending gossip to an RPC address.
type Send struct {
	Address string
	Gossip  Gossip
}

// StatusChanged is the effect of reporting that a node's status has changed.
// Reason is for the log.
type StatusChanged struct {
	Node   model.Node
	Status string
	Reason string
}

func (e GossipReceived) apply(m *Machine, now time.Duration) { m.onGossip(e.Gossip, now) }

func (Tick) apply(m *Machine, now time.Duration) { m.onTick(now) }

func (Send) isEffect() {}

func (StatusChanged) isEffect() {}

// The statuses of a known node.
const (
	// StatusLive is the status of a node whose heartbeats arrive.
	StatusLive = "live"
	// StatusDead is the status of a node that its watchers have found silent.
	StatusDead = "dead"
	// StatusLeft is the status of a node that has announced its shutdown.
	StatusLeft = "left"
)

// Reasons for a change of status.
const (
	reasonDiscovered = "discovered"
	reasonResumed    = "responds again"
	reasonLeft       = "announced its shutdown"
	reasonSilent     = "silent to more than one watcher"
)
