package platformstandin

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	probeInterval = 150 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxFailedProbes in a row make a node not ready.
	maxFailedProbes = 2
)

var probeClient = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

type node struct {
	sessionAddress, zone string
	failedProbes         int
}

func (n *node) isReady() bool { return n.failedProbes < maxFailedProbes }

// AddNode makes a node known by its readiness and session addresses. It is not
// ready until a probe has succeeded.
func (p *Platform) AddNode(readinessAddress, sessionAddress, zone string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nodes[readinessAddress] = &node{sessionAddress: sessionAddress, zone: zone, failedProbes: maxFailedProbes}
}

func (p *Platform) probeReadiness() {
	p.mutex.Lock()
	addresses := slices.Collect(maps.Keys(p.nodes))
	p.mutex.Unlock()
	for _, address := range addresses {
		p.group.Go(func() { p.probe(address) })
	}
}

func (p *Platform) probe(address string) {
	response, err := probeClient.Get("http://" + address + "/ready")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nodes[address].failedProbes++
	if ready {
		p.nodes[address].failedProbes = 0
	}
}

// ReadyCount returns how many nodes are ready.
func (p *Platform) ReadyCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, node := range p.nodes {
		if node.isReady() {
			count++
		}
	}
	return count
}

// SessionAddress returns the session address of a node for a client: of a ready
// one in its zone, else of any ready one, else of any; "" where there is none.
func (p *Platform) SessionAddress(zone string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var near, far, all []string
	for _, node := range p.nodes {
		all = append(all, node.sessionAddress)
		if !node.isReady() {
			continue
		}
		if node.zone == zone {
			near = append(near, node.sessionAddress)
		}
		far = append(far, node.sessionAddress)
	}
	p.nextNode++
	for _, list := range [][]string{near, far, all} {
		if len(list) > 0 {
			return list[p.nextNode%len(list)]
		}
	}
	return ""
}
