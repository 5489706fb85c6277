package messagesize

import (
	"slices"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/state/model"
)

// rounds is the number of heartbeat intervals before a message is measured.
const rounds = 64

// newMember returns the membership machine of the first of count nodes, with the
// next three as its seeds.
func newMember(count int) *membership.Machine {
	nodes := proxyNodes(count, 0)
	seeds := []string{nodes[1].RPCAddress, nodes[2].RPCAddress, nodes[3].RPCAddress}
	return membership.New(nodes[0], seeds, membership.DefaultTiming())
}

// completeGossip returns a message of the second node that carries all nodes but the
// first.
func completeGossip(count int, heartbeat uint64) membership.Gossip {
	nodes := proxyNodes(count, heartbeat)[1:]
	return membership.Gossip{From: nodes[0], Nodes: nodes, Reply: true}
}

// firstSent returns the gossip of the first message among the effects, if any.
func firstSent(effects []membership.Effect) (membership.Gossip, bool) {
	for _, effect := range effects {
		if send, ok := effect.(membership.Send); ok {
			return send.Gossip, true
		}
	}
	return membership.Gossip{}, false
}

// restartGossipSize measures a heartbeat sent after all other nodes have
// restarted.
func restartGossipSize(count int) int {
	machine, now := newMember(count), time.Hour
	var last membership.Gossip
	for round := range rounds {
		now += membership.DefaultTiming().HeartbeatInterval
		restarted := completeGossip(count, uint64(round+2))
		for index := range restarted.Nodes {
			restarted.Nodes[index].Incarnation += int64(round + 2)
		}
		machine.Step(membership.GossipReceived{Gossip: restarted}, now)
		if gossip, ok := firstSent(machine.Step(membership.Tick{}, now)); ok {
			last = gossip
		}
	}
	return encodedSize(last)
}

// idleFleet is the machine of one node in a fleet in which nothing changes. The nodes
// that it watches and its first seed send it heartbeats.
type idleFleet struct {
	machine   *membership.Machine
	senders   []model.Node
	now       time.Duration
	heartbeat uint64
	// digest is the machine's digest, which all nodes of an idle fleet share.
	digest uint64
}

// settleRounds is the number of heartbeats until a fleet is idle.
const settleRounds = 8

func newIdleFleet(count int) *idleFleet {
	fleet := &idleFleet{machine: newMember(count), now: time.Hour, heartbeat: 1}
	fleet.machine.Step(membership.GossipReceived{Gossip: completeGossip(count, 1)}, fleet.now)
	seed := proxyNodes(count, 0)[1]
	fleet.senders = []model.Node{seed}
	watched := fleet.machine.Watched()
	for _, node := range fleet.machine.Nodes(membership.StatusLive) {
		if slices.Contains(watched, node.Name) && node.Name != seed.Name {
			fleet.senders = append(fleet.senders, node)
		}
	}
	for range settleRounds {
		fleet.advance()
		fleet.step(membership.Tick{})
	}
	return fleet
}

// step passes an event to the machine and returns the message that it sent, if any.
func (f *idleFleet) step(event membership.Event) (membership.Gossip, bool) {
	gossip, ok := firstSent(f.machine.Step(event, f.now))
	if ok {
		f.digest = gossip.Digest
	}
	return gossip, ok
}

func (f *idleFleet) received(node model.Node, reply bool) membership.GossipReceived {
	from := model.Node{Name: node.Name, Incarnation: node.Incarnation, Heartbeat: f.heartbeat, Left: node.Left}
	return membership.GossipReceived{Gossip: membership.Gossip{From: from, Digest: f.digest, Reply: reply}}
}

// advance advances the time by one heartbeat interval, in which each sender's
// heartbeat arrives.
func (f *idleFleet) advance() {
	f.heartbeat++
	f.now += membership.DefaultTiming().HeartbeatInterval
	for _, node := range f.senders {
		f.step(f.received(node, true))
	}
}

func idleHeartbeatSize(count int) int {
	fleet := newIdleFleet(count)
	var last membership.Gossip
	for range rounds {
		fleet.advance()
		if gossip, ok := fleet.step(membership.Tick{}); ok {
			last = gossip
		}
	}
	So(last.Nodes, ShouldBeEmpty)
	return encodedSize(last)
}

func idleReplySize(count int) int {
	fleet := newIdleFleet(count)
	var last membership.Gossip
	for range rounds {
		fleet.heartbeat++
		reply, ok := fleet.step(fleet.received(fleet.senders[0], false))
		So(ok, ShouldBeTrue)
		last = reply
	}
	return encodedSize(last)
}
