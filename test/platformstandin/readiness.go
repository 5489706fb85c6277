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
	// maxFailedProbes is the number of consecutive failed probes after which a
	// node is not ready.
	maxFailedProbes = 2
)

var probeClient = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

type node struct {
	sessionAddress, zone string
	failedProbes         int
}

func (n *node) isReady() bool { return n.failedProbes < maxFailedProbes }

// AddNode adds a node with its readiness and session addresses and its zone. The
// node is not ready until a probe has succeeded.
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

// ReadyCount returns the number of nodes that are ready.
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

// SessionAddress returns the session address of a node for a client in the given
// zone. It prefers a ready node in the zone, then any ready node, then any node.
// It returns "" if there are no nodes.
func (p *Platform) SessionAddress(zone string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var readyInZone, readyAnywhere, all []string
	for _, node := range p.nodes {
		all = append(all, node.sessionAddress)
		if !node.isReady() {
			continue
		}
		if node.zone == zone {
			readyInZone = append(readyInZone, node.sessionAddress)
		}
		readyAnywhere = append(readyAnywhere, node.sessionAddress)
	}
	p.nextNode++
	for _, list := range [][]string{readyInZone, readyAnywhere, all} {
		if len(list) > 0 {
			return list[p.nextNode%len(list)]
		}
	}
	return ""
}
