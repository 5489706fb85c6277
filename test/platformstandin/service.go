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
	mutex sync.Mutex
	crew  *worker.Group
	held  linehistory.History
}

// NewHistory makes one whose clock is the crew's.
func NewHistory(crew *worker.Group) *History { return &History{crew: crew} }

// Note changes the history.
func (h *History) Note(act func(*linehistory.History)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	act(&h.held)
}

// Copy gives what was seen so far.
func (h *History) Copy() linehistory.History {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	copied := h.held
	copied.Executions, copied.Queries = slices.Clone(copied.Executions), slices.Clone(copied.Queries)
	copied.Versions, copied.Promotions = slices.Clone(copied.Versions), slices.Clone(copied.Promotions)
	return copied
}

// Shape is how a service's instances are.
type Shape struct {
	Name string
	// Sync is how many replicas must have received a commit before it is
	// answered.
	Sync int
	// Lag is the way to a replica, Apply what a replica takes to apply, Work
	// what a statement takes, Promote what a promote takes.
	Lag, Apply, Work, Promote time.Duration
	Slots, Conns              int
}

type entry struct {
	at     linehistory.Position
	ids    []string
	things map[string]string
}

// Service is one primary with its replicas.
type Service struct {
	Shape
	crew      *worker.Group
	history   *History
	mutex     sync.Mutex
	instances []*Instance
	stamps    int
	leader    *Instance
}

// NewService makes a service without instances.
func NewService(crew *worker.Group, history *History, shape Shape) *Service {
	return &Service{Shape: shape, crew: crew, history: history}
}

func (s *Service) do(act func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	act()
}

// after does something later, unless all is over by then.
func (s *Service) after(wait time.Duration, act func()) {
	s.crew.Go(func() {
		if !worker.Await(s.crew.Stopping(), wait) {
			s.do(act)
		}
	})
}

// Find gives an instance by id.
func (s *Service) Find(id string) *Instance {
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
	return s.leader
}

// Log gives the leader's log.
func (s *Service) Log() []linehistory.LogEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var log []linehistory.LogEntry
	for _, one := range s.leader.log {
		log = append(log, linehistory.LogEntry{Position: one.at, IDs: one.ids})
	}
	return log
}

// commit appends to a primary's log and sends it on; the channel is closed
// once enough replicas have received it.
func (s *Service) commit(primary *Instance, ids []string, things map[string]string) (linehistory.Position, chan struct{}) {
	at := linehistory.Position{Term: primary.term, Index: primary.end().Index + 1}
	primary.log = append(primary.log, entry{at, ids, things})
	primary.apply()
	done := make(chan struct{})
	if s.Sync == 0 {
		close(done)
	} else {
		primary.waits = append(primary.waits, waiting{at, done})
	}
	s.spread(primary)
	return at, done
}

func (s *Service) spread(primary *Instance) {
	for _, one := range s.instances {
		if one != primary && one.follows == primary {
			s.send(primary, one)
		}
	}
}

// send brings a replica's log to where the primary's is now.
func (s *Service) send(from, to *Instance) {
	upto, life := len(from.log), to.life
	s.after(s.Lag+to.lag, func() {
		isLinked := to.follows == from && to.life == life && to.isUp && !to.isDark && from.isUp && !from.isDark && to.paused == 0
		if !isLinked || upto > len(from.log) {
			return
		}
		same := common(from.log, to.log)
		to.log = append(to.log[:same:same], from.log[same:max(upto, same)]...)
		to.term = max(to.term, from.term)
		if to.lag == 0 {
			from.received(to.end())
		}
		s.after(s.Apply, to.apply)
	})
}

func common(a, b []entry) int {
	at := min(len(a), len(b))
	for at > 0 && a[at-1].at != b[at-1].at {
		at--
	}
	return at
}

// Place says how an instance stands in the world.
type Place struct{ ID, Address, Zone string }

// Add starts an instance; the first is the primary.
func (s *Service) Add(place Place, beats func() []string) (*Instance, error) {
	one := &Instance{Place: place, service: s, slots: make(chan struct{}, s.Slots), beats: beats, conns: map[*session]bool{}}
	s.do(func() {
		if s.leader == nil {
			s.leader, one.isPrimary, one.term = one, true, 1
		} else {
			one.follows, one.term = s.leader, s.leader.term
		}
		s.instances = append(s.instances, one)
	})
	return one, one.Start()
}

// Promote makes an instance the primary of the next term; false where it is
// not running.
func (s *Service) Promote(id string) bool {
	isGood := false
	s.do(func() {
		target := s.Find(id)
		if target == nil || !target.isUp || target.isDark {
			return
		}
		isGood = true
		if target.isPrimary {
			return
		}
		term := uint64(0)
		for _, one := range s.instances {
			term = max(term, one.term)
		}
		old := s.leader
		target.isPrimary, target.follows, target.term, target.paused, s.leader = true, nil, term+1, 0, target
		for _, one := range s.instances {
			if one != target && !one.isPrimary {
				one.follow(target)
			}
		}
		s.history.Note(func(h *linehistory.History) {
			h.Promotions = append(h.Promotions, linehistory.Promotion{At: s.crew.Now(), Service: s.Name, Instance: id, Term: term + 1})
		})
		target.tell()
		s.after(time.Second, func() {
			if old.isUp && !old.isDark && old.isPrimary && old.term < s.leader.term {
				old.stepDown()
			}
		})
	})
	return isGood
}

func (s *Service) stamp(one *Instance) string {
	s.stamps++
	return fmt.Sprintf("%s.%d.%x", one.ID, s.stamps, s.stamps*2654435761%1000003)
}
