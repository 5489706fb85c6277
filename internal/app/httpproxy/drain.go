package httpproxy

import (
	"time"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/rendezvous"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

const lingerBound = 700 * time.Millisecond

// Drain makes the node unready, ends what waits in line with a word on
// coming back, finishes what was passed on, and closes the sessions.
func (p *Plane) Drain() {
	p.log.Info("stopping: no new work")
	p.node.Leave()
	p.do(p.hall.Leave)
	for until := p.now() + finishBound; p.now() < until && p.busyCount() > 0; {
		run20()
	}
	left := 0
	p.do(func(time.Duration) { left = p.hall.Part() })
	p.bequeath()
	p.log.Info("stopped", "sessions", left, "unfinished", p.busyCount())
	worker.Await(make(chan struct{}), lingerBound)
}

func (p *Plane) busyCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.hall.Busy()
}

func (p *Plane) bequeath() {
	self := p.node.Self()
	var others []model.Node
	var names []string
	for _, node := range p.node.Nodes(model.KindData, membership.IsLive) {
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
	left := p.hall.Goes().Leave(heirs[0])
	p.mutex.Unlock()
	for _, node := range others {
		if node.Name != left.Heir {
			p.node.Hub.Send(node.Link, idempotency.Legacy{Node: left.Node, Birth: left.Birth, Heir: left.Heir})
			continue
		}
		if _, err := p.node.Hub.Call(node.Link, left, 800*time.Millisecond); err != nil {
			p.log.Warn("record of goes not left", "heir", node.Name, "error", err)
		}
	}
}
