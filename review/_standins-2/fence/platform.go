package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tansyseam/review/_standins-2/lab"
)

// promoteTime is how long a promotion takes.
const promoteTime = 300 * time.Millisecond

// call is one promote call as the platform has received it.
type call struct {
	at       time.Duration
	holder   string
	instance string
	fence    uint64
}

// platform carries out promote calls. It does not look at their fences.
type platform struct {
	lab   *lab.Lab
	mutex sync.Mutex
	calls []call
}

// serve listens for promote calls.
func (p *platform) serve(l *lab.Lab, address string) error {
	p.lab = l
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(p.promote)}
	l.Group.Go(func() { _ = server.Serve(listener) })
	l.Group.Go(func() { <-l.Group.Stopping(); _ = server.Close() })
	return nil
}

func (p *platform) promote(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	_ = json.NewDecoder(request.Body).Decode(&body)
	received := call{at: p.lab.Group.Now(), holder: request.Header.Get("X-Duty-Holder"), instance: body.ID}
	received.fence, _ = strconv.ParseUint(request.Header.Get("X-Fence"), 10, 64)
	p.mutex.Lock()
	p.calls = append(p.calls, received)
	p.mutex.Unlock()
	p.lab.Logf("platform receives POST /promote %s, X-Duty-Holder %s, X-Fence %d", received.instance, received.holder, received.fence)
	time.Sleep(promoteTime)
	status := http.StatusConflict
	for _, service := range p.lab.Services {
		if service.Name == body.Service && service.Promote(body.ID) {
			status = http.StatusOK
		}
	}
	w.WriteHeader(status)
	p.lab.Logf("platform answers %d to X-Fence %d", status, received.fence)
}

// staleCall returns the first call whose fence is lower than one that the platform had
// seen before, with that one.
func (p *platform) staleCall() (stale, highest call, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, received := range p.calls {
		if received.fence < highest.fence {
			return received, highest, true
		}
		highest = received
	}
	return call{}, call{}, false
}
