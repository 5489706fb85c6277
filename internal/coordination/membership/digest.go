package membership

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// DigestRanges is the number of ranges of node names, each of which has its own
// digest.
const DigestRanges = 16

// fnvPrime is the prime of the 64-bit FNV hash.
const fnvPrime = 1099511628211

// digestCache holds digests of all entries except those of dead nodes.
type digestCache struct {
	ranges [DigestRanges]uint64
	total  uint64
	stale  bool
}

// rangeOf returns the index of the range that a node's name belongs to.
func rangeOf(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() % DigestRanges)
}

// digestOf returns the digest of an entry. The digest does not depend on the
// entry's heartbeat.
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

// offerDigests adds this node's range digests to a reply, which starts an
// exchange of entries. It adds nothing if an exchange with the same node began
// less than DigestInterval ago.
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

// fillRanges adds to a reply the entries of the ranges that differ or that the
// sender requested. For the ranges that differ, it also requests the sender's
// entries.
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
