package platformstandin

import (
	"time"

	"tansyseam/test/linehistory"
)

// stepDownDelay is how long an old primary takes itself for one.
const stepDownDelay = time.Second

// Promote makes an instance the primary of the next term; false where it is
// not running.
func (s *Service) Promote(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	target := s.FindInstance(id)
	if target == nil || !target.running || target.hung {
		return false
	}
	if !target.primary {
		s.promote(target)
	}
	return true
}

func (s *Service) promote(target *Instance) {
	term := uint64(0)
	for _, instance := range s.instances {
		term = max(term, instance.term)
	}
	old := s.primary
	target.primary, target.upstream, target.term, target.pausedTerm, s.primary = true, nil, term+1, 0, target
	for _, instance := range s.instances {
		if instance != target && !instance.primary {
			instance.follow(target)
		}
	}
	s.history.Update(func(h *linehistory.History) {
		h.Promotions = append(h.Promotions, linehistory.Promotion{At: s.group.Now(), Service: s.Name, Instance: target.ID, Term: term + 1})
	})
	target.triggerHeartbeat()
	s.schedule(stepDownDelay, func() {
		if old.running && !old.hung && old.primary && old.term < s.primary.term {
			old.stepDown()
		}
	})
}
