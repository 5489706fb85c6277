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

// PromoteCall is one promote call that was taken or refused.
type PromoteCall struct {
	Service, Instance, LeaseHolder string
	FencingToken                   uint64
	Status                         int
}

// Platform is the stand-in that takes the promote call and looks which nodes
// are ready.
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

// NewPlatform makes one for services; it ends with the crew.
func NewPlatform(group *worker.Group, services ...*Service) *Platform {
	return &Platform{group: group, services: services, fencingTokens: map[string]uint64{}, nodes: map[string]*node{}}
}

// Serve listens at an address.
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
	p.group.Loop(nil, 150*time.Millisecond, p.probeReadiness)
	return nil
}

// SetPromoteFaults makes the promote call slow, refused so many times, or cut off.
func (p *Platform) SetPromoteFaults(wait time.Duration, refusals int, aborted bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.promoteDelay, p.refusals, p.partitioned = wait, refusals, aborted
}

// PromoteCalls gives the promote calls so far.
func (p *Platform) PromoteCalls() []PromoteCall {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]PromoteCall(nil), p.promoteCalls...)
}

func (p *Platform) checkCall(call PromoteCall) (int, *Service, time.Duration) {
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

func (p *Platform) handlePromote(w http.ResponseWriter, r *http.Request) {
	var message struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&message) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	aborted := p.partitioned
	p.mutex.Unlock()
	if aborted {
		panic(http.ErrAbortHandler)
	}
	call := PromoteCall{Service: message.Service, Instance: message.ID, LeaseHolder: r.Header.Get("X-Duty-Holder")}
	call.FencingToken, _ = strconv.ParseUint(r.Header.Get("X-Fence"), 10, 64)
	status, service, wait := p.checkCall(call)
	if service != nil {
		worker.Await(p.group.Stopping(), wait+service.ServiceConfig.PromoteDelay)
		if !service.Promote(message.ID) {
			status = http.StatusConflict
		}
	}
	call.Status = status
	p.mutex.Lock()
	p.promoteCalls = append(p.promoteCalls, call)
	p.mutex.Unlock()
	w.WriteHeader(status)
}
