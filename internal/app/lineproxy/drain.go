package lineproxy

import "time"

const (
	// drainMargin is how much longer a shutdown may take than the machine's own
	// steps.
	drainMargin = 200 * time.Millisecond
	// drainPollInterval is how often a shutdown checks for remaining sessions.
	drainPollInterval = 20 * time.Millisecond
	// closeWait is how long a shutdown waits for clients to close their side of a
	// closed session.
	closeWait = 500 * time.Millisecond
)

// Drain makes the node unready and continues to serve until load balancers have
// detected this. Then it closes sessions as they become idle, and at the end of the
// node's grace period all others. It returns once minDrain has passed, no session is
// left and the clients have received all answers, or after maxDrain.
func (p *Proxy) Drain() {
	p.log.Info("shutting down: no new sessions")
	p.node.Leave()
	p.apply(p.pool.Drain)
	startedAt := p.now()
	drainedAt := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < p.maxDrain; elapsed = p.now() - startedAt {
		if p.sessionCount() > 0 {
			drainedAt = p.now()
		}
		if elapsed > p.minDrain && p.isClosed(p.now()-drainedAt) {
			break
		}
		time.Sleep(drainPollInterval)
	}
	p.log.Info("sessions closed", "sessions_left", p.sessionCount(), "connections_left", p.server.Accepted(), "unsent_bytes", p.server.UnsentAtClose())
	p.server.Stop()
}

// isClosed reports whether the process may stop without a client that loses an answer,
// if the last session was closed drainedFor ago. Clients that do not close their side
// within closeWait are not waited for, unless bytes are still to be sent to them.
func (p *Proxy) isClosed(drainedFor time.Duration) bool {
	if p.sessionCount() > 0 {
		return false
	}
	return p.server.Accepted() == 0 || (drainedFor >= closeWait && p.server.Sending() == 0)
}

func (p *Proxy) sessionCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.Clients()
}
