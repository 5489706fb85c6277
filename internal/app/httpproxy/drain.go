package httpproxy

import (
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/rendezvous"
	"tansyseam/internal/state/model"
)

const (
	// drainTimeout bounds the wait for requests and transactions in flight.
	drainTimeout      = 4300 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond

	handoverTimeout = 800 * time.Millisecond

	// lingerTimeout is how long the node continues to answer other nodes after
	// everything else has finished.
	lingerTimeout = 700 * time.Millisecond
)

// Drain makes the node unready, rejects queued requests with a retry delay, and waits
// for requests and transactions in flight. Then it answers the requests that are left,
// closes the sessions, and hands over the records of request ids to another node.
func (p *Proxy) Drain() {
	p.log.Info("shutting down: no new work is accepted")
	p.node.Leave()
	p.apply(p.pool.Drain)
	for deadline := p.now() + drainTimeout; p.now() < deadline && p.activeSessions() > 0; {
		time.Sleep(drainPollInterval)
	}
	sessions := 0
	p.apply(func(now time.Duration) { sessions = p.pool.EndDrain(now) })
	p.handOver()
	p.log.Info("shut down", "sessions", sessions, "unfinished", p.activeSessions())
	time.Sleep(lingerTimeout)
}

func (p *Proxy) activeSessions() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.ActiveSessions()
}

// handOver sends the records of request ids to one other proxy, and the name of
// that proxy to all the others.
func (p *Proxy) handOver() {
	self := p.node.Self()
	var peers []model.Node
	var peerNames []string
	for _, peer := range p.node.Nodes(model.KindProxy, membership.StatusLive) {
		if peer.Name != self.Name {
			peers = append(peers, peer)
			peerNames = append(peerNames, peer.Name)
		}
	}
	successors := rendezvous.Select(peerNames, self.Name, 1)
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
			p.log.Warn("failed to hand over request records", "successor", peer.Name, "error", err)
		}
	}
}
