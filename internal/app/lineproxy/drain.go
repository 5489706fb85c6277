package lineproxy

import "time"

const (
	// drainMargin is how long a stop may take beyond the machine's own steps.
	drainMargin = 200 * time.Millisecond
	// drainPollInterval is how often a stop looks whether sessions are left.
	drainPollInterval = 20 * time.Millisecond
)

// Drain makes the node unready and serves on until load balancers have noticed.
// Then it closes sessions as they become idle, and those that do not within
// the node's grace period. It returns when none is left.
func (p *Proxy) Drain() {
	p.log.Info("shutting down: no new sessions")
	p.node.Leave()
	p.apply(p.pool.Drain)
	startedAt := p.now()
	for elapsed := time.Duration(0); elapsed < p.maxDrain; elapsed = p.now() - startedAt {
		if elapsed > p.minDrain && p.isDrained() {
			break
		}
		time.Sleep(drainPollInterval)
	}
	p.log.Info("sessions closed", "sessions_left", p.sessionCount())
	p.server.Stop()
}

func (p *Proxy) isDrained() bool { return p.sessionCount() == 0 }

func (p *Proxy) sessionCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.Clients()
}
