package platformstandin

import (
	"net"
	"time"
)

// Location is the id of an instance, the address on which it listens, and its
// zone.
type Location struct{ ID, Address, Zone string }

// Instance is one database server. The service's lock guards its state. Times are
// measured on the clock of the service's group.
type Instance struct {
	Location
	service          *Service
	controlAddresses func() []string
	slots            chan struct{}
	listener         net.Listener
	sessions         map[*session]bool
	// incarnation is the number of starts and crashes so far.
	incarnation     int
	connectionCount int

	running, hung, primary, draining bool

	// Replication. applied is the number of log entries that are visible to
	// reads.
	upstream         *Instance
	term, pausedTerm uint64
	log              []logEntry
	applied          int
	values           map[string]string
	commitWaiters    []commitWaiter

	// Faults.
	answersToLose, statementsToRefuse int
	busyUntil                         time.Duration
	// repeatedShare is the share of answers that the instance sends twice, the
	// second time up to repetitionDelay later.
	repeatedShare   float64
	repetitionDelay time.Duration
	// repeatsLines is true if only one line of a repeated answer is sent again.
	repeatsLines bool

	// Heartbeats. heartbeatTarget is the address that the last answer named.
	leaveAcknowledgedAt time.Duration
	callCount           int
	heartbeatTarget     string
	heartbeatDue        chan struct{}
}

// Add adds an instance and starts it. The first instance of the service is the
// primary. The instance sends its heartbeats to the control addresses.
func (s *Service) Add(location Location, controlAddresses func() []string) (*Instance, error) {
	instance := &Instance{
		Location: location, service: s, slots: make(chan struct{}, s.Slots), controlAddresses: controlAddresses, sessions: map[*session]bool{},
	}
	s.withLock(func() {
		if s.primary == nil {
			s.primary, instance.primary, instance.term = instance, true, 1
		} else {
			instance.upstream, instance.term = s.primary, s.primary.term
		}
		s.instances = append(s.instances, instance)
	})
	return instance, instance.Start()
}

// Start starts the instance: it listens and sends heartbeats. The instance keeps
// the log that it had before a crash.
func (i *Instance) Start() error {
	listener, err := net.Listen("tcp", i.Address)
	if err != nil {
		return err
	}
	s := i.service
	s.withLock(func() {
		i.running, i.hung, i.draining, i.leaveAcknowledgedAt = true, false, false, 0
		i.listener, i.heartbeatDue = listener, make(chan struct{}, 1)
		i.incarnation++
		if s.primary != i {
			i.follow(s.primary)
		}
		i.applied, i.values = 0, map[string]string{}
		i.applyLog()
	})
	incarnation := i.incarnation
	s.group.Go(func() { i.acceptLoop(listener) })
	s.group.Go(func() { i.heartbeatLoop(incarnation) })
	return nil
}

// Crash stops the instance immediately. Its log is kept.
func (i *Instance) Crash() {
	i.service.withLock(func() {
		i.running = false
		i.incarnation++
		_ = i.listener.Close()
		for session := range i.sessions {
			_ = session.connection.Close()
		}
	})
}

// Hang makes the instance stop answering. Its connections stay open.
func (i *Instance) Hang() { i.service.withLock(func() { i.hung = true }) }

// LoseAnswers makes the instance lose the answers to the next count operations
// that it runs.
func (i *Instance) LoseAnswers(count int) { i.service.withLock(func() { i.answersToLose = count }) }

// RefuseStatements makes the instance refuse the next count statements as busy.
func (i *Instance) RefuseStatements(count int) {
	i.service.withLock(func() { i.statementsToRefuse = count })
}

// RepeatAnswers makes the instance send a share of its answers again on the same
// connection, after a random time of up to maxDelay. With a share of 0 it sends each
// answer once.
func (i *Instance) RepeatAnswers(share float64, maxDelay time.Duration) {
	i.service.withLock(func() { i.repeatedShare, i.repetitionDelay = share, maxDelay })
}

// RepeatLines makes the instance send again only one line of each answer that it repeats.
func (i *Instance) RepeatLines() { i.service.withLock(func() { i.repeatsLines = true }) }

// drawRepetition draws which lines of an answer are sent again, if any, and after which
// time.
func (i *Instance) drawRepetition(lines []string) (repeated []string, delay time.Duration) {
	s := i.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if i.repeatedShare == 0 || s.random.Float64() >= i.repeatedShare {
		return nil, 0
	}
	delay = time.Duration(s.random.Int64N(int64(i.repetitionDelay) + 1))
	if i.repeatsLines {
		line := s.random.IntN(len(lines))
		return lines[line : line+1], delay
	}
	return lines, delay
}

// Drain makes the instance report that it is draining.
func (i *Instance) Drain() {
	i.service.withLock(func() {
		i.draining = true
		i.triggerHeartbeat()
	})
}

// LeaveAcknowledgedAt returns the time at which a control process acknowledged
// that the instance is draining, or 0 if none has.
func (i *Instance) LeaveAcknowledgedAt() time.Duration {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.leaveAcknowledgedAt
}

// Leave reports to the control addresses that the instance is gone and stops the
// instance. It returns the status of the last answer.
func (i *Instance) Leave() int {
	status := 0
	for _, address := range i.heartbeatAddresses() {
		if status, _ = i.post(address, "leave", []byte("{}")); status/100 == 2 {
			break
		}
	}
	i.Crash()
	return status
}

func (i *Instance) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		i.service.group.Go(func() {
			accepted := &session{instance: i, connection: conn, values: map[string]string{}, preparedTexts: map[string]string{}}
			defer func() { _ = conn.Close() }()
			accepted.serve()
			i.service.withLock(func() { delete(i.sessions, accepted) })
		})
	}
}
