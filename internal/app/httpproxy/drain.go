package httpproxy

import (
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/rendezvous"
	"tansyseam/internal/state/model"
)

const (
	// drainTimeout bounds how long requests and transactions that are under way
	// are waited for.
	drainTimeout      = 5500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond

	handoverTimeout = 800 * time.Millisecond

	// lingerTimeout is how long the node still answers other nodes after all.
	lingerTimeout = 700 * time.Millisecond
)

// Drain makes the node unready, rejects what is queued with a time to retry
// after, waits for what was forwarded, closes the sessions and hands the
// records of request ids over to another node.
func (p *Proxy) Drain() {
	p.log.Info("shutting down: no new work is accepted")
	p.node.Leave()
	p.apply(p.pool.Drain)
	for until := p.now() + drainTimeout; p.now() < until && p.activeSessions() > 0; {
		time.Sleep(drainPollInterval)
	}
	sessions := 0
	p.apply(func(time.Duration) { sessions = p.pool.DisconnectSessions() })
	p.handOver()
	p.log.Info("shut down", "sessions", sessions, "unfinished", p.activeSessions())
	time.Sleep(lingerTimeout)
}

func (p *Proxy) activeSessions() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.ActiveSessions()
}

// handOver gives the records of request ids to one other proxy and tells the
// rest which one that is.
func (p *Proxy) handOver() {
	self := p.node.Self()
	var peers []model.Node
	var names []string
	for _, peer := range p.node.Nodes(model.KindProxy, membership.StatusLive) {
		if peer.Name != self.Name {
			peers = append(peers, peer)
			names = append(names, peer.Name)
		}
	}
	successors := rendezvous.Select(names, self.Name, 1)
	if len(successors) == 0 {
		return
	}
	p.mutex.Lock()
	handover := p.pool.RequestLog().Export(successors[0])
	p.mutex.Unlock()
	for _, peer := range peers {
		if peer.Name != handover.Successor {
			p.node.Hub.Send(peer.RPCAddress, idempotency.Handover{Node: handover.Node, Incarnation: handover.Incarnation, Successor: handover.Successor})
			continue
		}
		if _, err := p.node.Hub.Call(peer.RPCAddress, handover, handoverTimeout); err != nil {
			p.log.Warn("request records not handed over", "successor", peer.Name, "error", err)
		}
	}
}
