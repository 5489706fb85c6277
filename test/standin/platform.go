package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// InstanceInfo is one instance as the platform knows it.
type InstanceInfo struct {
	Name     string
	Database string
	Address  string
}

// Platform is the stand-in platform: it hands out doors that are ready and
// takes the promote call.
type Platform struct {
	mutex        sync.Mutex
	instances    map[string]InstanceInfo
	proxies      map[string]string
	ready        map[string]bool
	nextProxy    int
	promoteDelay time.Duration
	refusals     int
	lostAnswers  int
	partitioned  bool
	PromoteCalls []string
	ctx          context.Context
}

// NewPlatform makes a platform that knows the instances and the data-plane
// doors with their zones.
func NewPlatform(ctx context.Context, instances []InstanceInfo, addresses map[string]string) *Platform {
	p := &Platform{instances: map[string]InstanceInfo{}, proxies: map[string]string{}, ready: map[string]bool{}, ctx: ctx}
	for _, instance := range instances {
		p.instances[instance.Name] = instance
	}
	for address, zone := range addresses {
		p.proxies[address] = zone
	}
	return p
}

// Serve listens for the promote call and looks at readiness.
func (p *Platform) Serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/platform/promote", p.handlePromote)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	go func() { <-p.ctx.Done(); _ = server.Close() }()
	go p.probeLoop()
	return nil
}

// SetPromoteFaults sets how the promote call goes wrong: slow, refused so many
// times, its answer lost so many times, cut off.
func (p *Platform) SetPromoteFaults(delay time.Duration, refusals, lost int, partitioned bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.promoteDelay, p.refusals, p.lostAnswers, p.partitioned = delay, refusals, lost, partitioned
}

// AddProxy makes a further door known.
func (p *Platform) AddProxy(address, zone string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.proxies[address] = zone
}

// RemoveProxy forgets a door.
func (p *Platform) RemoveProxy(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.proxies, address)
}

func (p *Platform) probeLoop() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	ticker := time.NewTicker(150 * time.Millisecond)
	defer ticker.Stop()
	for {
		p.mutex.Lock()
		addresses := []string{}
		for address := range p.proxies {
			addresses = append(addresses, address)
		}
		p.mutex.Unlock()
		var group sync.WaitGroup
		for _, address := range addresses {
			group.Add(1)
			go func() {
				defer group.Done()
				response, err := client.Post("http://"+address+"/v1/ready", "application/json", nil)
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				p.mutex.Lock()
				p.ready[address] = ready
				p.mutex.Unlock()
			}()
		}
		group.Wait()
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ReadyCount counts the doors that are ready.
func (p *Platform) ReadyCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for address := range p.proxies {
		if p.ready[address] {
			count++
		}
	}
	return count
}

// ReadyProxy hands out a ready door, one of the zone where there is one.
func (p *Platform) ReadyProxy(zone string) (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	near, far := []string{}, []string{}
	for address, index := range p.proxies {
		if !p.ready[address] {
			continue
		}
		if index == zone {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	p.nextProxy++
	if len(near) > 0 {
		return near[p.nextProxy%len(near)], true
	}
	if len(far) > 0 {
		return far[p.nextProxy%len(far)], true
	}
	return "", false
}

func (p *Platform) handlePromote(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Database string `json:"database"`
		Instance string `json:"instance"`
		Term     uint64 `json:"term"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	delay, refused, lost, partitioned := p.promoteDelay, p.refusals > 0, p.lostAnswers > 0, p.partitioned
	if partitioned {
		p.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if refused {
		p.refusals--
		p.mutex.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if lost {
		p.lostAnswers--
	}
	p.PromoteCalls = append(p.PromoteCalls, fmt.Sprintf("%s %s %d", request.Database, request.Instance, request.Term))
	target := p.instances[request.Instance]
	var others []InstanceInfo
	for _, instance := range p.instances {
		if instance.Database == request.Database && instance.Name != request.Instance {
			others = append(others, instance)
		}
	}
	p.mutex.Unlock()
	wait(p.ctx, delay)
	client := &http.Client{Timeout: time.Second}
	if err := post(client, target.Address, "/admin/promote", map[string]any{"term": request.Term}, nil); err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for _, other := range others {
		go p.follow(other, target.Address, request.Term)
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) follow(other InstanceInfo, upstream string, term uint64) {
	client := &http.Client{Timeout: time.Second}
	for range 300 {
		err := post(client, other.Address, "/admin/follow", map[string]any{"upstream": upstream, "term": term}, nil)
		if err == nil || p.ctx.Err() != nil {
			return
		}
		wait(p.ctx, 200*time.Millisecond)
	}
}
