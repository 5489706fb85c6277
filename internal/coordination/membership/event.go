package membership

import "tansyseam/internal/state/model"

// GossipReceived is the event that another node's gossip arrived.
type GossipReceived struct {
	Gossip Gossip
}

// Tick is the event that time has passed. It may come more often than the
// heartbeat interval.
type Tick struct{}

// Send is the effect of sending gossip to an RPC address.
type Send struct {
	Address string
	Gossip  Gossip
}

// StatusChanged is the effect that a node's status has changed. Reason is for
// the log.
type StatusChanged struct {
	Node   model.Node
	Status string
	Reason string
}

// The statuses of a known node.
const (
	// StatusLive is that of a node whose heartbeats arrive.
	StatusLive = "live"
	// StatusDead is that of a node that its watchers have found silent.
	StatusDead = "dead"
	// StatusLeft is that of a node that announced its shutdown.
	StatusLeft = "left"
)

// Reasons of a change of status.
const (
	reasonDiscovered = "discovered"
	reasonResumed    = "responds again"
	reasonLeft       = "announced its shutdown"
	reasonSilent     = "silent to more than one watcher"
)
