package lineproxy

import "time"

const (
	// drainMargin is how much longer a shutdown may take than the machine's own
	// steps.
	drainMargin = 200 * time.Millisecond
	// drainPollInterval is how often a shutdown checks for remaining sessions.
	drainPollInterval = 20 * time.Millisecond
)

// Drain makes the node unready and continues to serve until load balancers have
// detected this. Then it closes sessions as they become idle, and at the end of the
// node's grace period all others. It returns once minDrain has passed and no session
// is left, or after maxDrain.
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
	p.log.Info("sessions closed", "sessions_left", p.sessionCount(), "unsent_bytes", p.server.UnsentAtClose())
	p.server.Stop()
}

func (p *Proxy) isDrained() bool { return p.sessionCount() == 0 }

func (p *Proxy) sessionCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.Clients()
}
