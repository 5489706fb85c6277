package platformstandin

import (
	"fmt"
	"sync"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// ServiceConfig configures a service and its instances.
type ServiceConfig struct {
	Name string
	// SyncReplicas is how many replicas must have received a commit before it
	// is answered.
	SyncReplicas int
	// ReplicationDelay is between a commit and its arrival at a replica,
	// ApplyDelay between that and its being seen by reads.
	ReplicationDelay, ApplyDelay time.Duration
	// StatementTime is how long a statement holds its slot, PromoteDelay how
	// long a promotion takes.
	StatementTime, PromoteDelay time.Duration
	// Slots and MaxConnections are the caps of one instance.
	Slots, MaxConnections int
}

// Service is one primary with its replicas. Its lock guards the state of its
// instances.
type Service struct {
	ServiceConfig
	group      *worker.Group
	history    *History
	mutex      sync.Mutex
	instances  []*Instance
	stampCount int
	primary    *Instance
}

// NewService returns a service without instances.
func NewService(group *worker.Group, history *History, config ServiceConfig) *Service {
	return &Service{ServiceConfig: config, group: group, history: history}
}

// withLock acts with the service's lock.
func (s *Service) withLock(act func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	act()
}

// schedule acts with the lock after a delay, unless the group stops before.
func (s *Service) schedule(delay time.Duration, act func()) {
	s.group.Go(func() {
		if !worker.Await(s.group.Stopping(), delay) {
			s.withLock(act)
		}
	})
}

// FindInstance returns an instance by id, nil where there is none.
func (s *Service) FindInstance(id string) *Instance {
	for _, instance := range s.instances {
		if instance.ID == id {
			return instance
		}
	}
	return nil
}

// Instances returns all instances.
func (s *Service) Instances() []*Instance { return s.instances }

// Primary returns the instance that was promoted last.
func (s *Service) Primary() *Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.primary
}

// Log returns the primary's log.
func (s *Service) Log() []linehistory.LogEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var log []linehistory.LogEntry
	for _, entry := range s.primary.log {
		log = append(log, linehistory.LogEntry{Position: entry.position, IDs: entry.ids})
	}
	return log
}

// newStamp returns a text that marks one answer.
func (s *Service) newStamp(instance *Instance) string {
	s.stampCount++
	return fmt.Sprintf("%s.%d.%x", instance.ID, s.stampCount, s.stampCount*2654435761%1000003)
}
