package platformstandin

import (
	"net"
	"time"
)

// Location says how an instance stands in the world.
type Location struct{ ID, Address, Zone string }

// Instance is one stand-in server; its state is guarded by the service's lock.
type Instance struct {
	Location
	service          *Service
	controlAddresses func() []string
	slots            chan struct{}
	listener         net.Listener
	sessions         map[*session]bool
	incarnation      int
	connectionCount  int

	running, hung, primary, draining  bool
	upstream                          *Instance
	term, pausedTerm                  uint64
	log                               []logEntry
	applied                           int
	values                            map[string]string
	commitWaiters                     []commitWaiter
	answersToLose, statementsToRefuse int
	busyUntil                         time.Duration
	leaveAcknowledgedAt               time.Duration
	callCount                         int
	heartbeatTarget                   string
	heartbeatDue                      chan struct{}
}

// Add starts an instance; the first is the primary.
func (s *Service) Add(place Location, controlAddresses func() []string) (*Instance, error) {
	one := &Instance{Location: place, service: s, slots: make(chan struct{}, s.Slots), controlAddresses: controlAddresses, sessions: map[*session]bool{}}
	s.withLock(func() {
		if s.primary == nil {
			s.primary, one.primary, one.term = one, true, 1
		} else {
			one.upstream, one.term = s.primary, s.primary.term
		}
		s.instances = append(s.instances, one)
	})
	return one, one.Start()
}

// Start listens and begins to beat.
func (i *Instance) Start() error {
	listener, err := net.Listen("tcp", i.Address)
	if err != nil {
		return err
	}
	s := i.service
	s.withLock(func() {
		i.running, i.hung, i.draining, i.leaveAcknowledgedAt, i.listener, i.heartbeatDue = true, false, false, 0, listener, make(chan struct{}, 1)
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

// Crash ends it at once; its log stays.
func (i *Instance) Crash() {
	i.service.withLock(func() {
		i.running = false
		i.incarnation++
		_ = i.listener.Close()
		for one := range i.sessions {
			_ = one.connection.Close()
		}
	})
}

// Hang makes it take and say nothing more, with all connections open.
func (i *Instance) Hang() { i.service.withLock(func() { i.hung = true }) }

// LoseAnswers has it lose so many answers.
func (i *Instance) LoseAnswers(count int) { i.service.withLock(func() { i.answersToLose = count }) }

// RefuseStatements has it refuse so many statements as busy.
func (i *Instance) RefuseStatements(count int) {
	i.service.withLock(func() { i.statementsToRefuse = count })
}

// Drain has it report that it leaves.
func (i *Instance) Drain() {
	i.service.withLock(func() {
		i.draining = true
		i.triggerHeartbeat()
	})
}

// LeaveAcknowledgedAt says when its leaving was acknowledged, 0 for not yet.
func (i *Instance) LeaveAcknowledgedAt() time.Duration {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.leaveAcknowledgedAt
}

// Leave says that it is gone, and ends it; the status answered is given.
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
			one := &session{instance: i, connection: conn, values: map[string]string{}, preparedTexts: map[string]string{}}
			defer func() { _ = conn.Close() }()
			one.serve()
			i.service.withLock(func() { delete(i.sessions, one) })
		})
	}
}

// IsPrimary says whether it holds itself to be the primary.
func (i *Instance) IsPrimary() bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.primary
}
