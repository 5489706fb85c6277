package membership

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// DigestRanges is the number of ranges of node names that have digests of their
// own.
const DigestRanges = 16

// fnvPrime is the prime of the 64-bit FNV hash.
const fnvPrime = 1099511628211

// digestCache holds digests of all entries except those of dead nodes.
type digestCache struct {
	ranges [DigestRanges]uint64
	total  uint64
	stale  bool
}

// rangeOf returns the range of a node's name.
func rangeOf(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() % DigestRanges)
}

// digestOf returns the digest of an entry, which its heartbeat does not change.
func digestOf(node model.Node) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, node.Name, "|", node.Incarnation, "|", node.Left, "|", node.RPCAddress, "|", node.HTTPAddress, "|", node.Weight)
	return hash.Sum64()
}

func (m *Machine) refreshDigests() {
	if !m.digests.stale {
		return
	}
	fresh := digestCache{}
	fresh.ranges[rangeOf(m.self.Name)] = digestOf(m.self)
	for _, other := range m.peers {
		if other.status != StatusDead {
			fresh.ranges[rangeOf(other.node.Name)] ^= digestOf(other.node)
		}
	}
	for _, digest := range fresh.ranges {
		fresh.total = fresh.total*fnvPrime ^ digest
	}
	m.digests = fresh
}

// offerDigests has a reply start an exchange of entries, unless one with the
// same node began a short time ago.
func (m *Machine) offerDigests(reply *Gossip, sender *peer, now time.Duration) {
	if sender != nil && now-sender.lastCompared < m.timing.DigestInterval {
		return
	}
	reply.From = m.self
	reply.RangeDigests = slices.Clone(m.digests.ranges[:])
	if sender != nil {
		sender.lastCompared = now
	}
}

// fillRanges adds to a reply the entries of the ranges that differ or were
// asked for, and asks for the sender's entries of those that differ.
func (m *Machine) fillRanges(reply *Gossip, gossip Gossip) {
	reply.From = m.self
	wanted := slices.Clone(gossip.WantRanges)
	for index, digest := range gossip.RangeDigests {
		if index < DigestRanges && digest != m.digests.ranges[index] {
			wanted = append(wanted, index)
			reply.WantRanges = append(reply.WantRanges, index)
		}
	}
	for _, other := range m.peers {
		included := slices.ContainsFunc(reply.Nodes, func(node model.Node) bool { return node.Name == other.node.Name })
		if other.status != StatusDead && !included && slices.Contains(wanted, rangeOf(other.node.Name)) {
			reply.Nodes = append(reply.Nodes, other.node)
		}
	}
	sortByName(reply.Nodes)
}
