package membership

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// cluster runs the machines of several nodes on a simulated clock. Messages arrive at
// once.
type cluster struct {
	machines map[string]*Machine
	// names are the names of the nodes, in the order in which their machines receive
	// ticks.
	names []string
	now   time.Duration
	// blocked reports whether messages from one node to another are lost. stopped holds
	// the names of the nodes that do not run.
	blocked func(from, to string) bool
	stopped map[string]bool
	// entriesSent and messagesSent count all entries and messages sent, including lost
	// ones.
	entriesSent  int
	messagesSent int
}

func newCluster(count int) *cluster {
	c := &cluster{
		machines: map[string]*Machine{},
		stopped:  map[string]bool{},
		blocked:  func(string, string) bool { return false },
	}
	for index := range count {
		c.add(fmt.Sprintf("n%02d", index))
	}
	return c
}

func (c *cluster) add(name string) {
	c.start(name, int64(c.now)+1)
	c.names = append(c.names, name)
}

// start gives a node a new machine, whose RPC address is the node's name.
func (c *cluster) start(name string, incarnation int64) {
	node := model.Node{Name: name, Kind: model.KindProxy, RPCAddress: name, Incarnation: incarnation}
	c.machines[name] = New(node, []string{"n00", "n01", "n02"}, DefaultTiming())
}

// heal removes all blocks between nodes.
func (c *cluster) heal() { c.blocked = func(string, string) bool { return false } }

func (c *cluster) setKind(kind string, names ...string) {
	for _, name := range names {
		c.machines[name].self.Kind = kind
	}
}

// deliver delivers the messages among the effects of a node's step, and the messages
// that result from them.
func (c *cluster) deliver(from string, effects []Effect) {
	for _, effect := range effects {
		if send, ok := effect.(Send); ok {
			c.messagesSent++
			c.entriesSent += len(send.Gossip.Nodes)
			c.receive(from, send)
		}
	}
}

// receive passes a message to the node at its address, unless the message is lost.
func (c *cluster) receive(from string, send Send) {
	target, found := c.machines[send.Address]
	if !found || c.stopped[send.Address] || c.blocked(from, send.Address) {
		return
	}
	c.deliver(send.Address, target.Step(GossipReceived{Gossip: send.Gossip}, c.now))
}

// advance advances the clock in steps that are shorter than a heartbeat interval.
func (c *cluster) advance(span time.Duration) {
	for end := c.now + span; c.now < end; c.now += 50 * time.Millisecond {
		for _, name := range c.names {
			if !c.stopped[name] {
				c.deliver(name, c.machines[name].Step(Tick{}, c.now))
			}
		}
	}
}

// countObservers returns the number of other running nodes whose machines report the
// given status for a node.
func (c *cluster) countObservers(name, status string) int {
	count := 0
	for _, other := range c.names {
		if other != name && !c.stopped[other] && c.machines[other].Status(name) == status {
			count++
		}
	}
	return count
}

// watchersOf returns the names of the nodes that watch a node.
func (c *cluster) watchersOf(name string) []string {
	var watchers []string
	for _, other := range c.names {
		if slices.Contains(c.machines[other].Watched(), name) {
			watchers = append(watchers, other)
		}
	}
	return watchers
}
