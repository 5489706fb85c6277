package httpproxy

import (
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/rendezvous"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

const lingerTimeout = 700 * time.Millisecond

// Drain makes the node unready, ends what waits in line with a word on
// coming back, finishes what was passed on, and closes the sessions.
func (p *Proxy) Drain() {
	p.log.Info("stopping: no new work")
	p.node.Leave()
	p.apply(p.pool.Drain)
	for until := p.now() + finishTimeout; p.now() < until && p.activeSessions() > 0; {
		pause()
	}
	remaining := 0
	p.apply(func(time.Duration) { remaining = p.pool.DisconnectSessions() })
	p.handOver()
	p.log.Info("stopped", "sessions", remaining, "unfinished", p.activeSessions())
	worker.Await(make(chan struct{}), lingerTimeout)
}

func (p *Proxy) activeSessions() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.ActiveSessions()
}

func (p *Proxy) handOver() {
	self := p.node.Self()
	var others []model.Node
	var names []string
	for _, node := range p.node.Nodes(model.KindProxy, membership.StatusLive) {
		if node.Name != self.Name {
			others = append(others, node)
			names = append(names, node.Name)
		}
	}
	heirs := rendezvous.Select(names, self.Name, 1)
	if len(heirs) == 0 {
		return
	}
	p.mutex.Lock()
	handover := p.pool.RequestLog().Export(heirs[0])
	p.mutex.Unlock()
	for _, node := range others {
		if node.Name != handover.Successor {
			p.node.Hub.Send(node.RPCAddress, idempotency.Handover{Node: handover.Node, Incarnation: handover.Incarnation, Successor: handover.Successor})
			continue
		}
		if _, err := p.node.Hub.Call(node.RPCAddress, handover, 800*time.Millisecond); err != nil {
			p.log.Warn("record of goes not left", "heir", node.Name, "error", err)
		}
	}
}
