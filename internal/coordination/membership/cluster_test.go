package membership

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// cluster runs machines whose messages arrive at once, on a clock of its own.
type cluster struct {
	machines map[string]*Machine
	// names are those of the nodes, in the order in which their ticks come.
	names []string
	now   time.Duration
	// blocked says whether messages between two nodes are lost; stopped names the nodes
	// that do not run.
	blocked func(from, to string) bool
	stopped map[string]bool
	// entriesSent and messagesSent count what was sent, lost or not.
	entriesSent  int
	messagesSent int
}

func newCluster(count int) *cluster {
	c := &cluster{
		machines: map[string]*Machine{},
		stopped:  map[string]bool{},
		blocked:  func(string, string) bool { return false },
	}
	for at := range count {
		c.add(fmt.Sprintf("n%02d", at))
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

// heal ends all blocks.
func (c *cluster) heal() { c.blocked = func(string, string) bool { return false } }

func (c *cluster) setKind(kind string, names ...string) {
	for _, name := range names {
		c.machines[name].self.Kind = kind
	}
}

// deliver carries out the messages among the effects of a node's step, and those that
// they bring about.
func (c *cluster) deliver(from string, effects []Effect) {
	for _, effect := range effects {
		if send, ok := effect.(Send); ok {
			c.messagesSent++
			c.entriesSent += len(send.Gossip.Nodes)
			c.receive(from, send)
		}
	}
}

// receive has the node at the address of a message handle it, if the message arrives.
func (c *cluster) receive(from string, send Send) {
	target, known := c.machines[send.Address]
	if !known || c.stopped[send.Address] || c.blocked(from, send.Address) {
		return
	}
	c.deliver(send.Address, target.Step(GossipReceived{Gossip: send.Gossip}, c.now))
}

// advance has time pass in steps shorter than a heartbeat interval.
func (c *cluster) advance(span time.Duration) {
	for end := c.now + span; c.now < end; c.now += 50 * time.Millisecond {
		for _, name := range c.names {
			if !c.stopped[name] {
				c.deliver(name, c.machines[name].Step(Tick{}, c.now))
			}
		}
	}
}

// countHolding returns how many running nodes hold a node to have a status.
func (c *cluster) countHolding(name, status string) int {
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
