// Package platformstandin holds stand-ins for what surrounds the fleet on the users'
// platform: instances that speak its line protocol, the platform's promote
// call, an operator and clients. All of them write one history.
package platformstandin

import (
	"fmt"
	"sync"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

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

func (s *Service) newStamp(one *Instance) string {
	s.stampCount++
	return fmt.Sprintf("%s.%d.%x", one.ID, s.stampCount, s.stampCount*2654435761%1000003)
}
