package platformstandin

import (
	"net/http"
	"time"
)

type node struct {
	sessionAddress, zone string
	failedProbes         int
}

// AddNode makes a node known by its readiness address.
func (p *Platform) AddNode(readiness, sessions, zone string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nodes[readiness] = &node{sessionAddress: sessions, zone: zone, failedProbes: 2}
}

var probeClient = &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *Platform) probeReadiness() {
	p.mutex.Lock()
	var addresses []string
	for address := range p.nodes {
		addresses = append(addresses, address)
	}
	p.mutex.Unlock()
	for _, address := range addresses {
		p.group.Go(func() {
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
		})
	}
}

// ReadyCount counts the nodes that are in.
func (p *Platform) ReadyCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, one := range p.nodes {
		if one.failedProbes < 2 {
			count++
		}
	}
	return count
}

// SessionAddress gives the sessions address of a node for a client of a zone.
func (p *Platform) SessionAddress(zone string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var near, far, all []string
	for _, one := range p.nodes {
		all = append(all, one.sessionAddress)
		if one.failedProbes >= 2 {
			continue
		}
		if one.zone == zone {
			near = append(near, one.sessionAddress)
		}
		far = append(far, one.sessionAddress)
	}
	p.nextNode++
	for _, list := range [][]string{near, far, all} {
		if len(list) > 0 {
			return list[p.nextNode%len(list)]
		}
	}
	return ""
}
