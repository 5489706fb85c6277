package consensus

import (
	"slices"
	"time"
)

// peerSet is the set of control nodes discovered so far, including this node. The slice
// and the maps are replaced as a whole and never changed in place.
type peerSet struct {
	names []string
	// byAddress maps an RPC address to the name of its node, if that is known.
	byAddress map[string]string
	// zones maps the name of a node to its failure domain.
	zones map[string]string
	// enoughSince is when the number of nodes last reached the number of voters, or 0
	// while there are fewer nodes.
	enoughSince time.Duration
}

// update replaces the set with the reported nodes. The voters argument is the number of
// voters of the cluster.
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

// hasEnoughFor reports whether there have been at least as many nodes as voters for the
// given span.
func (p *peerSet) hasEnoughFor(span, now time.Duration) bool {
	return p.enoughSince != 0 && now-p.enoughSince >= span
}

// atAddresses returns the names of the nodes at the given addresses, in the order of
// the addresses.
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

// sorted returns the names of the nodes in sorted order.
func (p *peerSet) sorted() []string { return slices.Sorted(slices.Values(p.names)) }

func (m *Machine) onPeers(peers Peers, now time.Duration) {
	m.peers.update(peers, m.bootstrap.Voters, now)
}
