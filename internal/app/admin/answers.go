package admin

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// The JSON keys of the types below are fixed by the schema of the product's
// calls. Their fields stand in the alphabetical order of the keys, since
// answers have always been written so.

// Readiness is the answer to the readiness check of an orchestrator.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason says why the node is not ready; it is empty where it is.
	Reason string `json:"why"`
}

// Version is a version of the control state.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Binding is a binding as operators read it.
type Binding struct {
	Database        string `json:"database"`
	FreshnessMillis int64  `json:"freshness_ms"`
	Name            string `json:"name"`
}

// AcceptedSet is a binding set that was accepted, in force or not.
type AcceptedSet struct {
	Bindings []Binding `json:"bindings"`
	// EffectiveAtMillis is the wall time in ms since 1970 at which the set
	// takes effect; 0 until it is scheduled.
	EffectiveAtMillis int64  `json:"moment_ms"`
	Sequence          uint64 `json:"sequence"`
}

// BindingSets are the binding sets that a node knows: the bindings and the
// sequence in force, and all sets that were accepted.
type BindingSets struct {
	Bindings []Binding     `json:"bindings"`
	Node     string        `json:"node"`
	Sequence uint64        `json:"sequence"`
	Accepted []AcceptedSet `json:"taken"`
}

// NodeStatus is what a node knows of another, or of itself.
type NodeStatus struct {
	HTTPAddress string `json:"door"`
	Kind        string `json:"kind"`
	RPCAddress  string `json:"link"`
	Node        string `json:"node"`
	// SilentMillis is the time in ms since the last sign of life.
	SilentMillis int64 `json:"silent_ms"`
	// Status is one of membership's: live, dead or left.
	Status  string  `json:"standing"`
	Version int     `json:"version"`
	Weight  float64 `json:"weight"`
	Zone    string  `json:"zone"`
}

// WriterRole is the recorded state of one database's writer role; its fields
// are those of model.WriterRole. Operators' scripts read these keys.
type WriterRole struct {
	Database           string            `json:"Database"`
	Term               uint64            `json:"Term"`
	Primary            string            `json:"Primary"`
	PrimaryIncarnation string            `json:"Birth"`
	Phase              string            `json:"Phase"`
	RequiredReplicas   map[string]string `json:"Required"`
	Candidates         map[string]string `json:"Candidates"`
	Excluded           map[string]int64  `json:"Shunned"`
	Promoting          string            `json:"Intent"`
	HighWatermark      model.Position    `json:"High"`
	TermStart          model.Position    `json:"Base"`
	PreviousTerm       uint64            `json:"Before"`
	Reason             string            `json:"Why"`
	LastTransitionAt   int64             `json:"Since"`
	PromoteCalls       int               `json:"Calls"`
	SyncReplication    bool              `json:"IsSynced"`
	MinPosition        model.Position    `json:"Floor"`
	Promoter           string            `json:"Holder"`
	FencingToken       uint64            `json:"Fence"`
}

// NewReadiness gives the HTTP status and the answer of a readiness check: 503
// with the reason where the node is not ready.
func NewReadiness(ready bool, reason string) (status int, answer Readiness) {
	status = http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	return status, Readiness{Ready: ready, Reason: reason}
}

// NewVersion gives the answer form of a version of the control state.
func NewVersion(version store.Version) Version {
	return Version{Epoch: version.Epoch, Sequence: version.Sequence}
}

// NewBindings gives the answer form of bindings; it is never nil.
func NewBindings(list []model.Binding) []Binding {
	answer := []Binding{}
	for _, binding := range list {
		answer = append(answer, Binding{
			Database: binding.Database, FreshnessMillis: binding.Freshness.Milliseconds(), Name: binding.Name,
		})
	}
	return answer
}

// NewBindingSets gives the binding sets that a node knows, with the active one.
func NewBindingSets(node string, snapshot model.Snapshot, active model.BindingSet) BindingSets {
	accepted := []AcceptedSet{}
	for _, set := range snapshot.Sets {
		accepted = append(accepted, AcceptedSet{
			Bindings: NewBindings(set.Bindings), EffectiveAtMillis: set.EffectiveAt / int64(time.Millisecond), Sequence: set.Sequence,
		})
	}
	return BindingSets{Bindings: NewBindings(active.Bindings), Node: node, Sequence: active.Sequence, Accepted: accepted}
}

// NewNodeStatuses gives what a node knows of all nodes, those that died or
// left included.
func NewNodeStatuses(node *node.Node) []NodeStatus {
	statuses := []NodeStatus{}
	for _, other := range node.Nodes("", membership.StatusLive, membership.StatusDead, membership.StatusLeft) {
		status, silence := node.Status(other.Name)
		statuses = append(statuses, NodeStatus{
			HTTPAddress: other.HTTPAddress, Kind: other.Kind, RPCAddress: other.RPCAddress, Node: other.Name,
			SilentMillis: silence.Milliseconds(), Status: status, Version: other.Version, Weight: other.Weight, Zone: other.Zone,
		})
	}
	return statuses
}

// NewWriterRoles gives the writer roles of a snapshot by database; it is
// never nil.
func NewWriterRoles(snapshot model.Snapshot) []WriterRole {
	roles := []WriterRole{}
	for _, role := range snapshot.Writers {
		roles = append(roles, WriterRole(role))
	}
	slices.SortFunc(roles, func(a, b WriterRole) int { return cmp.Compare(a.Database, b.Database) })
	return roles
}
