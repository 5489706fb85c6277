package platformstandin

import (
	"net"
	"time"
)

// Location identifies an instance and says where it listens and in which zone.
type Location struct{ ID, Address, Zone string }

// Instance is one database server; its state is guarded by the service's lock.
// Times are on the clock of the service's group.
type Instance struct {
	Location
	service          *Service
	controlAddresses func() []string
	slots            chan struct{}
	listener         net.Listener
	sessions         map[*session]bool
	// incarnation counts starts and crashes.
	incarnation     int
	connectionCount int

	running, hung, primary, draining bool

	// Replication: applied is the number of log entries that reads see.
	upstream         *Instance
	term, pausedTerm uint64
	log              []logEntry
	applied          int
	values           map[string]string
	commitWaiters    []commitWaiter

	// Faults.
	answersToLose, statementsToRefuse int
	busyUntil                         time.Duration

	// Heartbeats: the target is the address that the last answer named.
	leaveAcknowledgedAt time.Duration
	callCount           int
	heartbeatTarget     string
	heartbeatDue        chan struct{}
}

// Add adds an instance and starts it; the first is the primary. Heartbeats go
// to the control addresses.
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

// Start listens and begins to send heartbeats. The log is that of before.
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

// Crash ends the instance at once; its log stays.
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

// Hang makes the instance answer nothing more, with all connections open.
func (i *Instance) Hang() { i.service.withLock(func() { i.hung = true }) }

// LoseAnswers makes the instance lose a number of answers after the work is
// done.
func (i *Instance) LoseAnswers(count int) { i.service.withLock(func() { i.answersToLose = count }) }

// RefuseStatements makes the instance refuse a number of statements as busy.
func (i *Instance) RefuseStatements(count int) {
	i.service.withLock(func() { i.statementsToRefuse = count })
}

// Drain makes the instance report that it leaves.
func (i *Instance) Drain() {
	i.service.withLock(func() {
		i.draining = true
		i.triggerHeartbeat()
	})
}

// LeaveAcknowledgedAt returns when the instance's leaving was acknowledged, 0
// where it was not.
func (i *Instance) LeaveAcknowledgedAt() time.Duration {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.leaveAcknowledgedAt
}

// Leave reports that the instance is gone, ends it, and returns the status that
// was answered.
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
