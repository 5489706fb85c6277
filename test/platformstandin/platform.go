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

// Call is one promote call that was taken or refused.
type Call struct {
	Service, Instance, Holder string
	Fence                     uint64
	Status                    int
}

// Platform is the stand-in that takes the promote call and looks which nodes
// are ready.
type Platform struct {
	crew     *worker.Group
	services []*Service
	mutex    sync.Mutex
	fences   map[string]uint64
	calls    []Call
	wait     time.Duration
	refusals int
	isCut    bool
	fronts   map[string]*front
	next     int
}

type front struct {
	sessions, zone string
	misses         int
}

// NewPlatform makes one for services; it ends with the crew.
func NewPlatform(crew *worker.Group, services ...*Service) *Platform {
	return &Platform{crew: crew, services: services, fences: map[string]uint64{}, fronts: map[string]*front{}}
}

// Serve listens at an address.
func (p *Platform) Serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	server := &http.Server{Handler: mux}
	p.crew.Go(func() { _ = server.Serve(listener) })
	p.crew.Go(func() { <-p.crew.Stopping(); _ = server.Close() })
	p.crew.Loop(nil, 150*time.Millisecond, p.look)
	return nil
}

// Misbehave makes the promote call slow, refused so many times, or cut off.
func (p *Platform) Misbehave(wait time.Duration, refusals int, isCut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wait, p.refusals, p.isCut = wait, refusals, isCut
}

// Calls gives the promote calls so far.
func (p *Platform) Calls() []Call {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]Call(nil), p.calls...)
}

func (p *Platform) judge(call Call) (int, *Service, time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.refusals > 0 {
		p.refusals--
		return http.StatusTooManyRequests, nil, 0
	}
	if call.Fence < p.fences[call.Service] || call.Holder == "" {
		return http.StatusConflict, nil, 0
	}
	p.fences[call.Service] = call.Fence
	for _, service := range p.services {
		if service.Name == call.Service {
			return http.StatusOK, service, p.wait
		}
	}
	return http.StatusConflict, nil, 0
}

func (p *Platform) promote(w http.ResponseWriter, r *http.Request) {
	var told struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&told) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	isCut := p.isCut
	p.mutex.Unlock()
	if isCut {
		panic(http.ErrAbortHandler)
	}
	call := Call{Service: told.Service, Instance: told.ID, Holder: r.Header.Get("X-Duty-Holder")}
	call.Fence, _ = strconv.ParseUint(r.Header.Get("X-Fence"), 10, 64)
	status, service, wait := p.judge(call)
	if service != nil {
		worker.Await(p.crew.Stopping(), wait+service.Shape.Promote)
		if !service.Promote(told.ID) {
			status = http.StatusConflict
		}
	}
	call.Status = status
	p.mutex.Lock()
	p.calls = append(p.calls, call)
	p.mutex.Unlock()
	w.WriteHeader(status)
}

// AddFront makes a node known by its readiness address.
func (p *Platform) AddFront(readiness, sessions, zone string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fronts[readiness] = &front{sessions: sessions, zone: zone, misses: 2}
}

var probes = &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *Platform) look() {
	p.mutex.Lock()
	var doors []string
	for door := range p.fronts {
		doors = append(doors, door)
	}
	p.mutex.Unlock()
	for _, door := range doors {
		p.crew.Go(func() {
			response, err := probes.Get("http://" + door + "/ready")
			isReady := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			p.mutex.Lock()
			defer p.mutex.Unlock()
			p.fronts[door].misses++
			if isReady {
				p.fronts[door].misses = 0
			}
		})
	}
}

// Ready counts the nodes that are in.
func (p *Platform) Ready() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, one := range p.fronts {
		if one.misses < 2 {
			count++
		}
	}
	return count
}

// Pass gives the sessions address of a node for a client of a zone.
func (p *Platform) Pass(zone string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var near, far, all []string
	for _, one := range p.fronts {
		all = append(all, one.sessions)
		if one.misses >= 2 {
			continue
		}
		if one.zone == zone {
			near = append(near, one.sessions)
		}
		far = append(far, one.sessions)
	}
	p.next++
	for _, list := range [][]string{near, far, all} {
		if len(list) > 0 {
			return list[p.next%len(list)]
		}
	}
	return ""
}
