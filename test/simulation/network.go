package simulation

import "time"

const (
	minTransit = 200 * time.Microsecond
	maxTransit = 2500 * time.Microsecond
	// minRetransmit and maxRetransmit bound how much later a segment of a
	// reliable stream comes when it was lost once.
	minRetransmit = 200 * time.Millisecond
	maxRetransmit = 400 * time.Millisecond
)

// link is the way from one machine to another, by their names.
type link struct{ from, to string }

func (l link) reversed() link { return link{l.to, l.from} }

// network is the state of all links.
type network struct {
	blocked map[link]bool
	// lossRate is the probability that a message is lost.
	lossRate   float64
	extraDelay time.Duration
}

func newNetwork() network { return network{blocked: map[link]bool{}} }

// send carries a message, which may be lost, to what the receiver is now: a
// machine that has crashed since does not receive it.
func (s *simulator) send(from, to *machine, receive func()) {
	if !from.running {
		return
	}
	if s.network.blocked[link{from.name, to.name}] || s.losesMessage() {
		return
	}
	incarnation := to.incarnation
	s.after(s.network.extraDelay+s.randomDuration(minTransit, maxTransit), func() { to.runDuring(incarnation, receive) })
}

// sendAlong sends a message from one machine to the next along a path.
func (s *simulator) sendAlong(path []*machine, receive func()) {
	if len(path) < 2 {
		receive()
		return
	}
	s.send(path[0], path[1], func() { s.sendAlong(path[1:], receive) })
}

// sendReliable carries a message that may come late, but is not lost.
func (s *simulator) sendReliable(to *machine, receive func()) {
	incarnation := to.incarnation
	s.after(s.reliableTransit(), func() { to.runDuring(incarnation, receive) })
}

// reliableTransit draws how long a segment of a reliable stream is on its way.
func (s *simulator) reliableTransit() time.Duration {
	transit := s.randomDuration(minTransit, maxTransit)
	if s.losesMessage() {
		transit += s.randomDuration(minRetransmit, maxRetransmit)
	}
	return transit
}

func (s *simulator) losesMessage() bool {
	return s.network.lossRate > 0 && s.chance(s.network.lossRate)
}

// blockLink loses all messages of one direction for a span.
func (s *simulator) blockLink(l link, duration time.Duration) {
	s.network.blocked[l] = true
	s.record("cut %s from %s", l.to, l.from)
	s.after(duration, func() { delete(s.network.blocked, l) })
}

// blockBothWays loses all messages between two machines for a span.
func (s *simulator) blockBothWays(l link, duration time.Duration) {
	s.blockLink(l, duration)
	s.blockLink(l.reversed(), duration)
}

// repairNetwork ends all faults of links.
func (s *simulator) repairNetwork() { s.network = newNetwork() }
