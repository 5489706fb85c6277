package consensus

import (
	"slices"
	"time"
)

// peerSet is the control nodes met so far, this node among them. The slice and the maps
// are replaced as a whole, never changed in place.
type peerSet struct {
	names []string
	// byAddress gives the node at an RPC address, where it is known.
	byAddress map[string]string
	// zones gives the failure domain of each node.
	zones map[string]string
	// enoughSince is since when there are as many nodes as vote, or 0 while there are
	// fewer.
	enoughSince time.Duration
}

// update takes over what was reported, for a cluster with so many voters.
func (p *peerSet) update(reported Peers, voters int, now time.Duration) {
	p.names, p.byAddress, p.zones = reported.Names, reported.ByAddress, reported.Zones
	if len(p.names) < voters {
		p.enoughSince = 0
		return
	}
	if p.enoughSince == 0 {
		p.enoughSince = now
	}
}

// hasEnoughFor says whether there have been as many nodes as vote for a span.
func (p *peerSet) hasEnoughFor(span, now time.Duration) bool {
	return p.enoughSince != 0 && now-p.enoughSince >= span
}

// atAddresses names the nodes that were met at some addresses, in the order of these.
func (p *peerSet) atAddresses(addresses []string) []string {
	var names []string
	for _, address := range addresses {
		name, found := p.byAddress[address]
		if found && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// sorted lists the nodes in order of names.
func (p *peerSet) sorted() []string { return slices.Sorted(slices.Values(p.names)) }

func (m *Machine) onPeers(peers Peers, now time.Duration) {
	m.peers.update(peers, m.bootstrap.Voters, now)
}
