package platformstandin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// ServiceConfig configures a service and its instances.
type ServiceConfig struct {
	Name string
	// SyncReplicas is the number of replicas that must have received a commit
	// before it is answered. The stand-in waits for only one replica if the
	// number is greater than 1.
	SyncReplicas int
	// ReplicationDelay is the time between a commit and its arrival at a
	// replica. ApplyDelay is the time between its arrival and the moment at
	// which reads see it.
	ReplicationDelay, ApplyDelay time.Duration
	// StatementTime is the time for which a statement holds its slot.
	// PromoteDelay is the duration of a promotion.
	StatementTime, PromoteDelay time.Duration
	// Slots and MaxConnections are the maximum numbers of running statements
	// and of sessions of one instance.
	Slots, MaxConnections int
}

// Service is one primary with its replicas. The service's lock guards the state
// of the instances.
type Service struct {
	ServiceConfig
	group      *worker.Group
	history    *History
	mutex      sync.Mutex
	instances  []*Instance
	stampCount int
	primary    *Instance
	// random draws the repetitions of answers, and the divisions of split writes.
	random *rand.Rand
	// splitsWrites is true if each answer is written in two parts.
	splitsWrites bool
}

// NewService returns a service without instances.
func NewService(group *worker.Group, history *History, config ServiceConfig) *Service {
	return &Service{ServiceConfig: config, group: group, history: history, random: rand.New(rand.NewPCG(randomSeed, 0))}
}

// randomSeed is the seed of a service's random choices.
const randomSeed = 1

// SplitWrites makes the instances write each further answer in two parts.
func (s *Service) SplitWrites() { s.withLock(func() { s.splitsWrites = true }) }

// newRandom returns a source of random numbers for one split write, or nil if writes
// are not split.
func (s *Service) newRandom() (random *rand.Rand) {
	s.withLock(func() {
		if s.splitsWrites {
			random = rand.New(rand.NewPCG(s.random.Uint64(), 0))
		}
	})
	return random
}

// withLock calls f while it holds the service's lock.
func (s *Service) withLock(f func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f()
}

// schedule calls f after a delay while it holds the service's lock, unless the
// group stops before.
func (s *Service) schedule(delay time.Duration, f func()) {
	s.group.Go(func() {
		if !worker.Await(s.group.Stopping(), delay) {
			s.withLock(f)
		}
	})
}

// SetStatementTime changes the time for which each further statement holds its slot.
func (s *Service) SetStatementTime(duration time.Duration) {
	s.withLock(func() { s.StatementTime = duration })
}

// statementTime returns the time for which a statement holds its slot.
func (s *Service) statementTime() (duration time.Duration) {
	s.withLock(func() { duration = s.StatementTime })
	return duration
}

// FindInstance returns the instance with the given id, or nil if there is none.
func (s *Service) FindInstance(id string) *Instance {
	for _, instance := range s.instances {
		if instance.ID == id {
			return instance
		}
	}
	return nil
}

// Instances returns all instances of the service.
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

// newStamp returns a unique text that identifies one answer.
func (s *Service) newStamp(instance *Instance) string {
	s.stampCount++
	return fmt.Sprintf("%s.%d.%x", instance.ID, s.stampCount, s.stampCount*2654435761%1000003)
}
