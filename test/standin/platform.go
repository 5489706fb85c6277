package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// InstanceInfo describes an instance to the platform.
type InstanceInfo struct {
	Name     string
	Database string
	Address  string
}

const (
	probeInterval = 150 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	adminTimeout  = time.Second
	// followAttempts is the maximum number of attempts to tell a replica to
	// follow the new primary, and followInterval the time between them.
	followAttempts = 300
	followInterval = 200 * time.Millisecond
)

// probeClient opens a new connection for each probe. If probes shared
// connections with other clients of the process, such a connection would be
// closed at the end of a probe, and with it the session that another client had
// opened on the connection.
var probeClient = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Platform simulates the platform of the product's users. It probes the proxies,
// hands out those that are ready, and carries out the promote call.
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
	ctx          context.Context
}

// NewPlatform returns a platform for the given instances and proxies. The map
// proxies contains the zone of each proxy by its HTTP address. The platform
// stops when ctx ends.
func NewPlatform(ctx context.Context, instances []InstanceInfo, proxies map[string]string) *Platform {
	p := &Platform{instances: map[string]InstanceInfo{}, proxies: map[string]string{}, ready: map[string]bool{}, ctx: ctx}
	for _, instance := range instances {
		p.instances[instance.Name] = instance
	}
	for address, zone := range proxies {
		p.proxies[address] = zone
	}
	return p
}

// Serve listens for the promote call at an address and starts to probe the
// proxies.
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

// SetPromoteFaults sets the faults of the promote call: the delay of each call,
// the number of calls to refuse, the number of calls that are carried out but
// whose answer is lost, and whether every call fails without an effect.
func (p *Platform) SetPromoteFaults(delay time.Duration, refusals, lost int, partitioned bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.promoteDelay, p.refusals, p.lostAnswers, p.partitioned = delay, refusals, lost, partitioned
}

// AddProxy adds a proxy with its HTTP address and zone.
func (p *Platform) AddProxy(address, zone string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.proxies[address] = zone
}

// RemoveProxy removes a proxy.
func (p *Platform) RemoveProxy(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.proxies, address)
}

func (p *Platform) probeLoop() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		p.mutex.Lock()
		addresses := slices.Collect(maps.Keys(p.proxies))
		p.mutex.Unlock()
		var group sync.WaitGroup
		for _, address := range addresses {
			group.Go(func() { p.probe(address) })
		}
		group.Wait()
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Platform) probe(address string) {
	response, err := probeClient.Post("http://"+address+"/v1/ready", "application/json", nil)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ready[address] = ready
}

// ReadyCount returns the number of proxies that are ready.
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

// ReadyProxy returns the HTTP address of a ready proxy. It prefers proxies of
// the given zone. found is false if no proxy is ready.
func (p *Platform) ReadyProxy(zone string) (address string, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	sameZone, otherZones := []string{}, []string{}
	for proxy, proxyZone := range p.proxies {
		if !p.ready[proxy] {
			continue
		}
		if proxyZone == zone {
			sameZone = append(sameZone, proxy)
		} else {
			otherZones = append(otherZones, proxy)
		}
	}
	p.nextProxy++
	for _, list := range [][]string{sameZone, otherZones} {
		if len(list) > 0 {
			return list[p.nextProxy%len(list)], true
		}
	}
	return "", false
}

type promoteRequest struct {
	Database string `json:"database"`
	Instance string `json:"instance"`
	Term     uint64 `json:"term"`
}

type promoteOrder struct {
	Term uint64 `json:"term"`
}

type followOrder struct {
	Upstream string `json:"upstream"`
	Term     uint64 `json:"term"`
}

// promoteFault is the fault of one promote call.
type promoteFault struct {
	delay                      time.Duration
	refused, lost, partitioned bool
}

// nextPromoteFault returns the fault of the next promote call and decrements the
// number of remaining faults.
func (p *Platform) nextPromoteFault() promoteFault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fault := promoteFault{delay: p.promoteDelay, refused: p.refusals > 0, lost: p.lostAnswers > 0, partitioned: p.partitioned}
	if fault.partitioned {
		return fault
	}
	if fault.refused {
		p.refusals--
		return fault
	}
	if fault.lost {
		p.lostAnswers--
	}
	return fault
}

func (p *Platform) handlePromote(w http.ResponseWriter, r *http.Request) {
	var request promoteRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fault := p.nextPromoteFault()
	if fault.partitioned {
		panic(http.ErrAbortHandler)
	}
	if fault.refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	target, replicas := p.members(request)
	wait(p.ctx, fault.delay)
	client := &http.Client{Timeout: adminTimeout}
	if _, err := post(client, target.Address, "/admin/promote", promoteOrder{request.Term}, nil); err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for _, replica := range replicas {
		go p.follow(replica, followOrder{target.Address, request.Term})
	}
	if fault.lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

// members returns the instance to promote and the other instances of its
// database.
func (p *Platform) members(request promoteRequest) (target InstanceInfo, replicas []InstanceInfo) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, instance := range p.instances {
		if instance.Database == request.Database && instance.Name != request.Instance {
			replicas = append(replicas, instance)
		}
	}
	return p.instances[request.Instance], replicas
}

// follow tells an instance to follow another one. It retries until the instance
// answers, at most followAttempts times.
func (p *Platform) follow(instance InstanceInfo, order followOrder) {
	client := &http.Client{Timeout: adminTimeout}
	for range followAttempts {
		_, err := post(client, instance.Address, "/admin/follow", order, nil)
		if err == nil || p.ctx.Err() != nil {
			return
		}
		wait(p.ctx, followInterval)
	}
}
