package simulation

import "time"

const (
	minTransit = 200 * time.Microsecond
	maxTransit = 2500 * time.Microsecond
	// minRetransmit and maxRetransmit bound the additional delay of a segment of
	// a reliable stream that was lost once and retransmitted.
	minRetransmit = 200 * time.Millisecond
	maxRetransmit = 400 * time.Millisecond
)

// link is the direction from one machine to another, identified by their names.
type link struct{ from, to string }

func (l link) reversed() link { return link{l.to, l.from} }

// network is the state of all links of a fleet.
type network struct {
	blocked map[link]bool
	// lossRate is the probability that a message is lost.
	lossRate   float64
	extraDelay time.Duration
}

func newNetwork() network { return network{blocked: map[link]bool{}} }

// send delivers a message to the current incarnation of the receiver. The message
// may be lost, and is not delivered if the receiver crashes before it arrives.
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

// sendAlong sends a message along a path, from each machine to the next.
func (s *simulator) sendAlong(path []*machine, receive func()) {
	if len(path) < 2 {
		receive()
		return
	}
	s.send(path[0], path[1], func() { s.sendAlong(path[1:], receive) })
}

// sendReliable delivers a message that may be late because of retransmission, but
// is not lost. Blocked links do not affect it.
func (s *simulator) sendReliable(to *machine, receive func()) {
	incarnation := to.incarnation
	s.after(s.reliableTransit(), func() { to.runDuring(incarnation, receive) })
}

// reliableTransit returns a random transit time of a segment of a reliable stream.
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

// blockLink drops all messages of one direction for the duration.
func (s *simulator) blockLink(l link, duration time.Duration) {
	s.network.blocked[l] = true
	s.record("cut %s from %s", l.to, l.from)
	s.after(duration, func() { delete(s.network.blocked, l) })
}

// blockBothWays drops all messages between two machines for the duration.
func (s *simulator) blockBothWays(l link, duration time.Duration) {
	s.blockLink(l, duration)
	s.blockLink(l.reversed(), duration)
}

// repairNetwork ends all faults of links.
func (s *simulator) repairNetwork() { s.network = newNetwork() }
