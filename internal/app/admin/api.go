// Package admin answers the calls by which the two kinds of data plane show
// what they know: readiness, sets, vitals and the node's part of the fleet.
package admin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/control"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
)

// Machine is what both kinds of data plane have.
type Proxy interface {
	Routing() *routing.Machine
	EffectiveSet(now time.Duration) model.BindingSet
	Ready(now time.Duration) (ready bool, why string)
}

// Plane is a data plane that is shown. The functions are called under Lock.
type API struct {
	Node   *node.Node
	Locker sync.Locker
	Proxy  Proxy
	// Sessions counts the sessions, Queues gives the depths of the lines.
	SessionCount func() int
	QueueDepths  func(now time.Duration) map[string]int
	// Show gives the instances and lines as operators see them.
	Describe func(now time.Duration) (instances, lines any)
}

// Register answers the calls at the node's door and the shell's queries.
func (a *API) Register() {
	for _, path := range []string{"/v1/bindings/put", "/v1/changes/book", "/v1/changes/list"} {
		a.Node.HandleCall(path, func(_ *fastjson.Value, raw []byte, _ *http.Request) (int, any) { return a.Node.ForwardCall(path, raw) })
	}
	calls := map[string]func() (int, any){
		"/v1/bindings/list": a.listBindings, "/v1/vitals": a.health, "/v1/ready": a.ready,
		"/v1/fleet": func() (int, any) { return http.StatusOK, a.stateReport("fleet") },
	}
	for path, act := range calls {
		a.Node.HandleCall(path, func(*fastjson.Value, []byte, *http.Request) (int, any) { return act() })
	}
	node.HandleMessage(a.Node, func(_ string, query message.QueryRequest, answer func(any)) {
		answer(message.QueryResponse{Body: a.stateReport(query.What)})
	})
}

func (a *API) listBindings() (int, any) {
	a.Locker.Lock()
	defer a.Locker.Unlock()
	return http.StatusOK, control.BindingSets(a.Node.Config().Name, a.Proxy.Routing().Snapshot(), a.Proxy.EffectiveSet(a.Node.Now()))
}

func (a *API) ready() (int, any) {
	a.Locker.Lock()
	ready, why := a.Proxy.Ready(a.Node.Now())
	a.Locker.Unlock()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	return status, map[string]any{"ready": ready, "why": why}
}

func (a *API) health() (int, any) {
	a.Locker.Lock()
	defer a.Locker.Unlock()
	now, router := a.Node.Now(), a.Proxy.Routing()
	ready, why := a.Proxy.Ready(now)
	return http.StatusOK, map[string]any{
		"node": a.Node.Config().Name, "is_ready": ready, "why": why, "lease_ms": router.LeaseRemaining(now).Milliseconds(),
		"epoch": router.Epoch(), "sequence": a.Proxy.EffectiveSet(now).Sequence, "sessions": a.SessionCount(), "queues": a.QueueDepths(now),
	}
}

func (a *API) stateReport(what string) []byte {
	a.Locker.Lock()
	now, router, cfg := a.Node.Now(), a.Proxy.Routing(), a.Node.Config()
	instances, lines := a.Describe(now)
	ready, why := a.Proxy.Ready(now)
	body := map[string]any{
		"node": cfg.Name, "kind": model.KindProxy, "what": what, "instances": instances, "lines": lines,
		"writers": control.Writers(router.Snapshot()), "is_ready": ready, "why": why, "lease_ms": router.LeaseRemaining(now).Milliseconds(),
		"stamp": map[string]any{"epoch": router.Version().Epoch, "sequence": router.Version().Sequence},
		"sets":  control.BindingSets(cfg.Name, router.Snapshot(), a.Proxy.EffectiveSet(now)), "sessions": a.SessionCount(), "weight": cfg.Weight,
	}
	a.Locker.Unlock()
	body["nodes"] = control.NodeViews(a.Node)
	data, _ := json.Marshal(body)
	return data
}
