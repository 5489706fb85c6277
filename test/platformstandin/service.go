// Package platformstandin holds stand-ins for what surrounds the fleet on the users'
// platform: instances that speak its line protocol, the platform's promote
// call, an operator and clients. All of them write one history.
package platformstandin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// History gathers what the stand-ins see.
type History struct {
	mutex    sync.Mutex
	group    *worker.Group
	recorded linehistory.History
}

// NewHistory makes one whose clock is the crew's.
func NewHistory(group *worker.Group) *History { return &History{group: group} }

// Update changes the history.
func (h *History) Update(act func(*linehistory.History)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	act(&h.recorded)
}

// Copy gives what was seen so far.
func (h *History) Copy() linehistory.History {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	copied := h.recorded
	copied.Executions, copied.Queries = slices.Clone(copied.Executions), slices.Clone(copied.Queries)
	copied.Versions, copied.Promotions = slices.Clone(copied.Versions), slices.Clone(copied.Promotions)
	return copied
}

// ServiceConfig is how a service's instances are.
type ServiceConfig struct {
	Name string
	// SyncReplicas is how many replicas must have received a commit before it is
	// answered.
	SyncReplicas int
	// ReplicationDelay is the way to a replica, Apply what a replica takes to apply, Work
	// what a statement takes, Promote what a promote takes.
	ReplicationDelay, ApplyDelay, StatementTime, PromoteDelay time.Duration
	Slots, MaxConnections                                     int
}

type logEntry struct {
	position linehistory.Position
	ids      []string
	values   map[string]string
}

// Service is one primary with its replicas.
type Service struct {
	ServiceConfig
	group      *worker.Group
	history    *History
	mutex      sync.Mutex
	instances  []*Instance
	stampCount int
	primary    *Instance
}

// NewService makes a service without instances.
func NewService(group *worker.Group, history *History, text ServiceConfig) *Service {
	return &Service{ServiceConfig: text, group: group, history: history}
}

func (s *Service) withLock(act func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	act()
}

// schedule does something later, unless all is over by then.
func (s *Service) schedule(wait time.Duration, act func()) {
	s.group.Go(func() {
		if !worker.Await(s.group.Stopping(), wait) {
			s.withLock(act)
		}
	})
}

// FindInstance gives an instance by id.
func (s *Service) FindInstance(id string) *Instance {
	for _, one := range s.instances {
		if one.ID == id {
			return one
		}
	}
	return nil
}

// Instances gives all of them.
func (s *Service) Instances() []*Instance { return s.instances }

// Primary names the instance that leads.
func (s *Service) Primary() *Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.primary
}

// Log gives the leader's log.
func (s *Service) Log() []linehistory.LogEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var log []linehistory.LogEntry
	for _, one := range s.primary.log {
		log = append(log, linehistory.LogEntry{Position: one.position, IDs: one.ids})
	}
	return log
}

// commit appends to a primary's log and sends it on; the channel is closed
// once enough replicas have received it.
func (s *Service) commit(primary *Instance, ids []string, values map[string]string) (linehistory.Position, chan struct{}) {
	at := linehistory.Position{Term: primary.term, Index: primary.lastPosition().Index + 1}
	primary.log = append(primary.log, logEntry{at, ids, values})
	primary.applyLog()
	done := make(chan struct{})
	if s.SyncReplicas == 0 {
		close(done)
	} else {
		primary.commitWaiters = append(primary.commitWaiters, commitWaiter{at, done})
	}
	s.replicate(primary)
	return at, done
}

func (s *Service) replicate(primary *Instance) {
	for _, one := range s.instances {
		if one != primary && one.upstream == primary {
			s.replicateTo(primary, one)
		}
	}
}

// replicateTo brings a replica's log to where the primary's is now.
func (s *Service) replicateTo(from, to *Instance) {
	position, incarnation := len(from.log), to.incarnation
	s.schedule(s.ReplicationDelay+to.extraDelay, func() {
		linked := to.upstream == from && to.incarnation == incarnation && to.running && !to.hung && from.running && !from.hung && to.pausedTerm == 0
		if !linked || position > len(from.log) {
			return
		}
		same := commonPrefix(from.log, to.log)
		to.log = append(to.log[:same:same], from.log[same:max(position, same)]...)
		to.term = max(to.term, from.term)
		if to.extraDelay == 0 {
			from.onReplicated(to.lastPosition())
		}
		s.schedule(s.ApplyDelay, to.applyLog)
	})
}

func commonPrefix(a, b []logEntry) int {
	at := min(len(a), len(b))
	for at > 0 && a[at-1].position != b[at-1].position {
		at--
	}
	return at
}

// Location says how an instance stands in the world.
type Location struct{ ID, Address, Zone string }

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

// Promote makes an instance the primary of the next term; false where it is
// not running.
func (s *Service) Promote(id string) bool {
	promoted := false
	s.withLock(func() {
		target := s.FindInstance(id)
		if target == nil || !target.running || target.hung {
			return
		}
		promoted = true
		if target.primary {
			return
		}
		term := uint64(0)
		for _, one := range s.instances {
			term = max(term, one.term)
		}
		old := s.primary
		target.primary, target.upstream, target.term, target.pausedTerm, s.primary = true, nil, term+1, 0, target
		for _, one := range s.instances {
			if one != target && !one.primary {
				one.follow(target)
			}
		}
		s.history.Update(func(h *linehistory.History) {
			h.Promotions = append(h.Promotions, linehistory.Promotion{At: s.group.Now(), Service: s.Name, Instance: id, Term: term + 1})
		})
		target.triggerHeartbeat()
		s.schedule(time.Second, func() {
			if old.running && !old.hung && old.primary && old.term < s.primary.term {
				old.stepDown()
			}
		})
	})
	return promoted
}

func (s *Service) newStamp(one *Instance) string {
	s.stampCount++
	return fmt.Sprintf("%s.%d.%x", one.ID, s.stampCount, s.stampCount*2654435761%1000003)
}
