package main

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Platform passes each new session to a proxy that is ready, asks the proxies every
// second whether they are, and carries out the promote call.
type Platform struct {
	record  *Record
	service *Service
	checked bool

	mutex  sync.Mutex
	nodes  []*platformNode
	fence  uint64
	server *http.Server
	stop   chan struct{}
	// PromoteDelay is the time from an accepted call until the instance leads.
	PromoteDelay time.Duration
}

type platformNode struct {
	process *Process
	misses  int
}

// readyMisses is the number of misses after which a node gets no new connections.
const readyMisses = 2

// NewPlatform returns a platform for one service. If checked is true, it refuses calls
// with a lower fence than one that it has seen.
func NewPlatform(record *Record, service *Service, checked bool, proxies []*Process) *Platform {
	p := &Platform{record: record, service: service, checked: checked, stop: make(chan struct{}), PromoteDelay: 300 * time.Millisecond}
	for _, proxy := range proxies {
		p.nodes = append(p.nodes, &platformNode{process: proxy, misses: readyMisses})
	}
	return p
}

// Start listens on the address and begins to ask the proxies.
func (p *Platform) Start(address string) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	for _, node := range p.nodes {
		go p.ask(node)
	}
	return nil
}

// Stop ends the platform.
func (p *Platform) Stop() {
	close(p.stop)
	if p.server != nil {
		_ = p.server.Close()
	}
}

func (p *Platform) ask(node *platformNode) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		response, err := client.Get("http://" + node.process.admin + "/ready")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		p.mutex.Lock()
		before := node.misses < readyMisses
		node.misses++
		if ready {
			node.misses = 0
		}
		after := node.misses < readyMisses
		p.mutex.Unlock()
		if before != after {
			p.record.Add("platform: %s is in: %v", node.process.Name, after)
		}
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
	}
}

// Ready returns the number of proxies that are in.
func (p *Platform) Ready() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, node := range p.nodes {
		if node.misses < readyMisses {
			count++
		}
	}
	return count
}

// Proxy returns the proxy for a new connection of a client: one that is in, in the
// client's zone if there is one, chosen by a hash of the client and the try. If fewer than
// half of a zone's proxies are in, all of the zone are used.
func (p *Platform) Proxy(client, zone string, try int) *Process {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var inZone, ready, readyAnywhere []*Process
	for _, node := range p.nodes {
		isReady := node.misses < readyMisses
		if isReady {
			readyAnywhere = append(readyAnywhere, node.process)
		}
		if node.process.Zone == zone {
			inZone = append(inZone, node.process)
			if isReady {
				ready = append(ready, node.process)
			}
		}
	}
	choices := ready
	if len(choices) == 0 {
		choices = readyAnywhere
	} else if 2*len(ready) < len(inZone) {
		choices = inZone
	}
	if len(choices) == 0 {
		return nil
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(client))
	return choices[(int(hash.Sum32()%1024)+try)%len(choices)]
}

func (p *Platform) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fence"), 10, 64)
	p.mutex.Lock()
	seen := p.fence
	p.fence = max(p.fence, fence)
	p.mutex.Unlock()
	status := http.StatusOK
	if (p.checked && fence < seen) || !p.service.CanPromote(body.ID) {
		status = http.StatusConflict
	}
	p.record.Say("platform: promote %s, holder %s, fence %d (newest before: %d): %d", body.ID, r.Header.Get("X-Duty-Holder"), fence, seen, status)
	if status == http.StatusOK {
		time.AfterFunc(p.PromoteDelay, func() { p.service.Promote(body.ID) })
	}
	w.WriteHeader(status)
}
