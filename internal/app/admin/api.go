// Package admin serves the HTTP calls with which operators, orchestrators and the
// command-line client read a node's state: its readiness and health, the binding
// sets, and its view of the cluster. API serves these calls on a data plane. The
// types of the answers are shared with the control plane.
package admin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
)

// Paths of the calls that every node answers, fixed by the schema.
const (
	PathReady           = "/v1/ready"
	PathHealth          = "/v1/vitals"
	PathFleet           = "/v1/fleet"
	PathPutBindings     = "/v1/bindings/put"
	PathListBindings    = "/v1/bindings/list"
	PathScheduleChange  = "/v1/changes/book"
	PathListChanges     = "/v1/changes/list"
	PathReplaceManifest = "/v1/manifest/replace"
	PathFetchManifest   = "/v1/manifest/fetch"
)

// QueryFleet is the query that a call to PathFleet makes. The report repeats it in
// the field Query.
const QueryFleet = "fleet"

// Proxy is the state that both kinds of data plane provide for their answers.
type Proxy interface {
	Routing() *routing.Machine
	// EffectiveSet returns the binding set in force.
	EffectiveSet(now time.Duration) model.BindingSet
	// Ready reports whether requests are served and, if not, the reason.
	Ready(now time.Duration) (ready bool, reason string)
}

// API serves the admin calls of a data plane. It calls the functions in its
// fields with Locker held; now is the time since the node's start.
type API struct {
	Node   *node.Node
	Locker sync.Locker
	Proxy  Proxy
	// SessionCount returns the number of open sessions.
	SessionCount func() int
	// QueueDepths returns the number of waiting requests by queue.
	QueueDepths func(now time.Duration) map[string]int
	// Describe returns two lists that are written as JSON: the instances, and
	// the queues of each database. The types of their elements depend on the
	// kind of data plane.
	Describe func(now time.Duration) (instances, queues any)
}

// Health is a data plane's answer to a health check.
type Health struct {
	Epoch uint64 `json:"epoch"`
	Ready bool   `json:"is_ready"`
	// LeaseMillis is how long the node may still serve requests, in ms.
	LeaseMillis int64          `json:"lease_ms"`
	Node        string         `json:"node"`
	Queues      map[string]int `json:"queues"`
	Sequence    uint64         `json:"sequence"`
	Sessions    int            `json:"sessions"`
	Reason      string         `json:"why"`
}

// Report is a data plane's view of itself and of the cluster.
type Report struct {
	Instances   any          `json:"instances"`
	Ready       bool         `json:"is_ready"`
	Kind        string       `json:"kind"`
	LeaseMillis int64        `json:"lease_ms"`
	Queues      any          `json:"lines"`
	Node        string       `json:"node"`
	Nodes       []NodeStatus `json:"nodes"`
	Sessions    int          `json:"sessions"`
	BindingSets BindingSets  `json:"sets"`
	Version     Version      `json:"stamp"`
	Weight      float64      `json:"weight"`
	Query       string       `json:"what"`
	Reason      string       `json:"why"`
	Writers     []WriterRole `json:"writers"`
}

// Register installs the handlers of the HTTP calls and of the queries that other
// nodes send.
func (a *API) Register() {
	for _, path := range []string{PathPutBindings, PathScheduleChange, PathListChanges} {
		HandleForwarded(a.Node, path)
	}
	HandleRead(a.Node, PathListBindings, a.listBindings)
	HandleRead(a.Node, PathHealth, a.health)
	HandleRead(a.Node, PathReady, a.ready)
	HandleRead(a.Node, PathFleet, a.fleet)
	node.HandleMessage(a.Node, func(_ string, query message.QueryRequest, answer func(any)) {
		answer(message.QueryResponse{Body: a.report(query.What)})
	})
}

func (a *API) listBindings() (int, any) {
	a.Locker.Lock()
	defer a.Locker.Unlock()
	return http.StatusOK, a.bindingSets(a.Node.Now())
}

func (a *API) bindingSets(now time.Duration) BindingSets {
	return NewBindingSets(a.Node.Config().Name, a.Proxy.Routing().Snapshot(), a.Proxy.EffectiveSet(now))
}

func (a *API) ready() (int, any) {
	a.Locker.Lock()
	ready, reason := a.Proxy.Ready(a.Node.Now())
	a.Locker.Unlock()
	return NewReadiness(ready, reason)
}

func (a *API) health() (int, any) {
	a.Locker.Lock()
	defer a.Locker.Unlock()
	now, router := a.Node.Now(), a.Proxy.Routing()
	ready, reason := a.Proxy.Ready(now)
	return http.StatusOK, Health{
		Epoch: router.Epoch(), Ready: ready, LeaseMillis: router.LeaseRemaining(now).Milliseconds(), Node: a.Node.Config().Name,
		Queues: a.QueueDepths(now), Sequence: a.Proxy.EffectiveSet(now).Sequence, Sessions: a.SessionCount(), Reason: reason,
	}
}

func (a *API) fleet() (int, any) { return http.StatusOK, a.report(QueryFleet) }

// report returns the answer to a query, as JSON.
func (a *API) report(query string) []byte {
	report := a.localReport(query)
	report.Nodes = NewNodeStatuses(a.Node)
	// The error is ignored: every value in a report can be written as JSON.
	data, _ := json.Marshal(report)
	return data
}

// localReport returns the report without the list of nodes, which the node
// protects with its own lock.
func (a *API) localReport(query string) Report {
	a.Locker.Lock()
	defer a.Locker.Unlock()
	now, router, cfg := a.Node.Now(), a.Proxy.Routing(), a.Node.Config()
	instances, queues := a.Describe(now)
	ready, reason := a.Proxy.Ready(now)
	return Report{
		Instances: instances, Ready: ready, Kind: model.KindProxy, LeaseMillis: router.LeaseRemaining(now).Milliseconds(),
		Queues: queues, Node: cfg.Name, Sessions: a.SessionCount(), BindingSets: a.bindingSets(now), Version: NewVersion(router.Version()),
		Weight: cfg.Weight, Query: query, Reason: reason, Writers: NewWriterRoles(router.Snapshot()),
	}
}
