package simulation

// serviceSlots bounds the number of work items that a server runs at once. The
// others wait in the order of their arrival.
type serviceSlots struct {
	limit int
	busy  int
	queue []func()
}

// run starts work once a slot is free. The work holds the slot until it calls
// release.
func (s *serviceSlots) run(work func()) {
	if s.busy >= s.limit {
		s.queue = append(s.queue, work)
		return
	}
	s.busy++
	work()
}

// release frees a slot, and starts the work that has waited longest, if any.
func (s *serviceSlots) release() {
	s.busy--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		next()
	}
}

// waiting returns the number of work items that wait for a slot.
func (s *serviceSlots) waiting() int { return len(s.queue) }

// reset frees all slots and drops the waiting work, as a crash does.
func (s *serviceSlots) reset() { s.busy, s.queue = 0, nil }
