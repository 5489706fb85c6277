package platformstandin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tansyseam/internal/transport/worker"
)

// PromoteCall is one promote call and the status of its answer.
type PromoteCall struct {
	Service, Instance, LeaseHolder string
	FencingToken                   uint64
	Status                         int
}

// Platform simulates the platform of the product's users. It carries out the
// promote call, probes the nodes and hands out those that are ready.
type Platform struct {
	group         *worker.Group
	services      []*Service
	mutex         sync.Mutex
	fencingTokens map[string]uint64
	promoteCalls  []PromoteCall
	promoteDelay  time.Duration
	refusals      int
	partitioned   bool
	nodes         map[string]*node
	nextNode      int
}

// NewPlatform returns a platform for the given services. The platform stops with
// the group.
func NewPlatform(group *worker.Group, services ...*Service) *Platform {
	return &Platform{group: group, services: services, fencingTokens: map[string]uint64{}, nodes: map[string]*node{}}
}

// Serve listens for the promote call at an address and starts to probe the nodes.
func (p *Platform) Serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.handlePromote)
	server := &http.Server{Handler: mux}
	p.group.Go(func() { _ = server.Serve(listener) })
	p.group.Go(func() { <-p.group.Stopping(); _ = server.Close() })
	p.group.Loop(nil, probeInterval, p.probeReadiness)
	return nil
}

// SetPromoteFaults sets the faults of the promote call: the delay of each call,
// the number of calls to refuse, and whether every call fails without an effect.
func (p *Platform) SetPromoteFaults(delay time.Duration, refusals int, partitioned bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.promoteDelay, p.refusals, p.partitioned = delay, refusals, partitioned
}

// PromoteCalls returns the promote calls so far.
func (p *Platform) PromoteCalls() []PromoteCall {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]PromoteCall(nil), p.promoteCalls...)
}

// checkCall returns the status of a call and, if the call is accepted, its
// service and its delay. A call must name a lease holder, and its fencing token
// must not be older than the newest one of the service.
func (p *Platform) checkCall(call PromoteCall) (status int, service *Service, delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.refusals > 0 {
		p.refusals--
		return http.StatusTooManyRequests, nil, 0
	}
	if call.FencingToken < p.fencingTokens[call.Service] || call.LeaseHolder == "" {
		return http.StatusConflict, nil, 0
	}
	p.fencingTokens[call.Service] = call.FencingToken
	for _, service := range p.services {
		if service.Name == call.Service {
			return http.StatusOK, service, p.promoteDelay
		}
	}
	return http.StatusConflict, nil, 0
}

type promoteRequest struct {
	Service string `json:"service"`
	ID      string `json:"id"`
}

func (p *Platform) handlePromote(w http.ResponseWriter, r *http.Request) {
	var request promoteRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	partitioned := p.partitioned
	p.mutex.Unlock()
	if partitioned {
		panic(http.ErrAbortHandler)
	}
	call := PromoteCall{Service: request.Service, Instance: request.ID, LeaseHolder: r.Header.Get("X-Duty-Holder")}
	call.FencingToken, _ = strconv.ParseUint(r.Header.Get("X-Fence"), 10, 64)
	call.Status = p.carryOut(call)
	p.mutex.Lock()
	p.promoteCalls = append(p.promoteCalls, call)
	p.mutex.Unlock()
	w.WriteHeader(call.Status)
}

// carryOut promotes the instance if the call is accepted, and returns the status
// of the call.
func (p *Platform) carryOut(call PromoteCall) int {
	status, service, delay := p.checkCall(call)
	if service == nil {
		return status
	}
	worker.Await(p.group.Stopping(), delay+service.PromoteDelay)
	if !service.Promote(call.Instance) {
		return http.StatusConflict
	}
	return status
}
