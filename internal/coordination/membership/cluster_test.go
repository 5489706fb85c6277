package membership

import (
	"fmt"
	"time"

	"tansyseam/internal/state/model"
)

// cluster runs machines whose messages arrive at once, on a clock of its own.
type cluster struct {
	machines     map[string]*Machine
	names        []string
	now          time.Duration
	blocked      func(from, to string) bool
	stopped      map[string]bool
	entriesSent  int
	messagesSent int
}

func newCluster(count int) *cluster {
	t := &cluster{machines: map[string]*Machine{}, stopped: map[string]bool{}, blocked: func(string, string) bool { return false }}
	for at := range count {
		t.add(fmt.Sprintf("n%02d", at))
	}
	return t
}

func (t *cluster) add(name string) {
	node := model.Node{Name: name, Kind: model.KindProxy, RPCAddress: name, Incarnation: int64(t.now) + 1}
	t.machines[name] = New(node, []string{"n00", "n01", "n02"}, DefaultTiming())
	t.names = append(t.names, name)
}

func (t *cluster) setKind(kind string, names ...string) {
	for _, name := range names {
		t.machines[name].self.Kind = kind
	}
}

func (t *cluster) deliver(from string, effects []Effect) {
	for _, effect := range effects {
		send, ok := effect.(Send)
		if ok {
			t.messagesSent++
			t.entriesSent += len(send.Gossip.Nodes)
		}
		if !ok || t.stopped[send.Address] || t.blocked(from, send.Address) {
			continue
		}
		if target, known := t.machines[send.Address]; known {
			t.deliver(send.Address, target.Step(GossipReceived{Gossip: send.Gossip}, t.now))
		}
	}
}

func (t *cluster) advance(span time.Duration) {
	for end := t.now + span; t.now < end; t.now += 50 * time.Millisecond {
		for _, name := range t.names {
			if !t.stopped[name] {
				t.deliver(name, t.machines[name].Step(Tick{}, t.now))
			}
		}
	}
}

// countHolding returns how many running nodes hold a node to have a status.
func (t *cluster) countHolding(name, status string) int {
	count := 0
	for _, other := range t.names {
		if other != name && !t.stopped[other] && t.machines[other].Status(name) == status {
			count++
		}
	}
	return count
}
