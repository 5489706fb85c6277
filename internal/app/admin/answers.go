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

// The schema of the HTTP calls fixes the JSON keys of the types below. Their
// fields are declared in the alphabetical order of the keys, so that answers
// keep the key order that they have always had.

// Readiness is the answer to an orchestrator's readiness check.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason is why the node is not ready; it is empty if the node is ready.
	Reason string `json:"why"`
}

// Version is a version of the control state.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Binding is a binding in an answer to operators.
type Binding struct {
	Database        string `json:"database"`
	FreshnessMillis int64  `json:"freshness_ms"`
	Name            string `json:"name"`
}

// AcceptedSet is a binding set that was accepted, whether or not it is in force.
type AcceptedSet struct {
	Bindings []Binding `json:"bindings"`
	// EffectiveAtMillis is the wall time, in ms since 1970, at which the set
	// takes effect; it is 0 until that time is set.
	EffectiveAtMillis int64  `json:"moment_ms"`
	Sequence          uint64 `json:"sequence"`
}

// BindingSets holds the binding sets recorded at a node: the bindings and the
// sequence number in force, and all sets that were accepted.
type BindingSets struct {
	Bindings []Binding     `json:"bindings"`
	Node     string        `json:"node"`
	Sequence uint64        `json:"sequence"`
	Accepted []AcceptedSet `json:"taken"`
}

// NodeStatus is a node's record of another node, or of itself.
type NodeStatus struct {
	HTTPAddress string `json:"door"`
	Kind        string `json:"kind"`
	RPCAddress  string `json:"link"`
	Node        string `json:"node"`
	// SilentMillis is the time in ms since the last heartbeat.
	SilentMillis int64 `json:"silent_ms"`
	// Status is the membership status: live, dead or left.
	Status  string  `json:"standing"`
	Version int     `json:"version"`
	Weight  float64 `json:"weight"`
	Zone    string  `json:"zone"`
}

// WriterRole is the recorded state of one database's writer role. It has the
// fields of model.WriterRole. Operators' scripts read these keys.
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

// NewReadiness returns the HTTP status and the answer of a readiness check: 503
// with the reason if the node is not ready.
func NewReadiness(ready bool, reason string) (status int, answer Readiness) {
	status = http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	return status, Readiness{Ready: ready, Reason: reason}
}

// NewVersion converts a version of the control state for an answer.
func NewVersion(version store.Version) Version {
	return Version{Epoch: version.Epoch, Sequence: version.Sequence}
}

// NewBindings converts bindings for an answer. The result is never nil.
func NewBindings(bindings []model.Binding) []Binding {
	answer := []Binding{}
	for _, binding := range bindings {
		answer = append(answer, Binding{
			Database: binding.Database, FreshnessMillis: binding.Freshness.Milliseconds(), Name: binding.Name,
		})
	}
	return answer
}

// NewBindingSets returns the active binding set and all accepted sets of a
// snapshot, for an answer of the named node.
func NewBindingSets(node string, snapshot model.Snapshot, active model.BindingSet) BindingSets {
	accepted := []AcceptedSet{}
	for _, set := range snapshot.Sets {
		accepted = append(accepted, AcceptedSet{
			Bindings: NewBindings(set.Bindings), EffectiveAtMillis: set.EffectiveAt / int64(time.Millisecond), Sequence: set.Sequence,
		})
	}
	return BindingSets{Bindings: NewBindings(active.Bindings), Node: node, Sequence: active.Sequence, Accepted: accepted}
}

// NewNodeStatuses returns a node's records of all nodes, including those that
// died or left.
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

// NewWriterRoles returns the writer roles of a snapshot, sorted by database. The
// result is never nil.
func NewWriterRoles(snapshot model.Snapshot) []WriterRole {
	roles := []WriterRole{}
	for _, role := range snapshot.Writers {
		roles = append(roles, WriterRole(role))
	}
	slices.SortFunc(roles, func(a, b WriterRole) int { return cmp.Compare(a.Database, b.Database) })
	return roles
}
