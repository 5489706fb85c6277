package simulation

// serviceSlots bound how much work a server does at once. The rest waits in the
// order in which it came.
type serviceSlots struct {
	limit int
	busy  int
	queue []func()
}

// run begins work once a slot is free. The work holds the slot until it calls
// release.
func (s *serviceSlots) run(work func()) {
	if s.busy >= s.limit {
		s.queue = append(s.queue, work)
		return
	}
	s.busy++
	work()
}

// release frees a slot, which the work that has waited longest takes.
func (s *serviceSlots) release() {
	s.busy--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		next()
	}
}

// waiting counts the work that waits for a slot.
func (s *serviceSlots) waiting() int { return len(s.queue) }

// reset frees all slots and drops what waits, as a crash does.
func (s *serviceSlots) reset() { s.busy, s.queue = 0, nil }
