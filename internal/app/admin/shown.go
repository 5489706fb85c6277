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
type Machine interface {
	Serve() *routing.Machine
	Effective(now time.Duration) model.Set
	Ready(now time.Duration) (isReady bool, why string)
}

// Plane is a data plane that is shown. The functions are called under Lock.
type Plane struct {
	Node    *node.Node
	Lock    sync.Locker
	Machine Machine
	// Sessions counts the sessions, Queues gives the depths of the lines.
	Sessions func() int
	Queues   func(now time.Duration) map[string]int
	// Show gives the instances and lines as operators see them.
	Show func(now time.Duration) (instances, lines any)
}

// Register answers the calls at the node's door and the shell's queries.
func (p *Plane) Register() {
	for _, path := range []string{"/v1/bindings/put", "/v1/changes/book", "/v1/changes/list"} {
		p.Node.Serve(path, func(_ *fastjson.Value, raw []byte, _ *http.Request) (int, any) { return p.Node.Pass(path, raw) })
	}
	calls := map[string]func() (int, any){
		"/v1/bindings/list": p.list, "/v1/vitals": p.vitals, "/v1/ready": p.ready,
		"/v1/fleet": func() (int, any) { return http.StatusOK, p.query("fleet") },
	}
	for path, act := range calls {
		p.Node.Serve(path, func(*fastjson.Value, []byte, *http.Request) (int, any) { return act() })
	}
	node.On(p.Node, func(_ string, query message.Query, answer func(any)) {
		answer(message.QueryAnswer{Body: p.query(query.What)})
	})
}

func (p *Plane) list() (int, any) {
	p.Lock.Lock()
	defer p.Lock.Unlock()
	return http.StatusOK, control.ListOf(p.Node.Place().Name, p.Machine.Serve().Doc(), p.Machine.Effective(p.Node.Now()))
}

func (p *Plane) ready() (int, any) {
	p.Lock.Lock()
	isReady, why := p.Machine.Ready(p.Node.Now())
	p.Lock.Unlock()
	status := http.StatusOK
	if !isReady {
		status = http.StatusServiceUnavailable
	}
	return status, map[string]any{"ready": isReady, "why": why}
}

func (p *Plane) vitals() (int, any) {
	p.Lock.Lock()
	defer p.Lock.Unlock()
	now, known := p.Node.Now(), p.Machine.Serve()
	isReady, why := p.Machine.Ready(now)
	return http.StatusOK, map[string]any{
		"node": p.Node.Place().Name, "is_ready": isReady, "why": why, "lease_ms": known.Left(now).Milliseconds(),
		"epoch": known.Epoch(), "sequence": p.Machine.Effective(now).Sequence, "sessions": p.Sessions(), "queues": p.Queues(now),
	}
}

func (p *Plane) query(what string) []byte {
	p.Lock.Lock()
	now, known, place := p.Node.Now(), p.Machine.Serve(), p.Node.Place()
	instances, lines := p.Show(now)
	isReady, why := p.Machine.Ready(now)
	body := map[string]any{
		"node": place.Name, "kind": model.KindData, "what": what, "instances": instances, "lines": lines,
		"writers": control.WritersOf(known.Doc()), "is_ready": isReady, "why": why, "lease_ms": known.Left(now).Milliseconds(),
		"stamp": map[string]any{"epoch": known.Stamp().Epoch, "sequence": known.Stamp().Sequence},
		"sets":  control.ListOf(place.Name, known.Doc(), p.Machine.Effective(now)), "sessions": p.Sessions(), "weight": place.Weight,
	}
	p.Lock.Unlock()
	body["nodes"] = control.NodesOf(p.Node)
	data, _ := json.Marshal(body)
	return data
}
