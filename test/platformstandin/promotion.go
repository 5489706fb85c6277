package platformstandin

import (
	"time"

	"tansyseam/test/linehistory"
)

// stepDownDelay is the time for which the old primary still acts as primary after
// another instance has been promoted.
const stepDownDelay = time.Second

// Promote makes an instance the primary of the next term, unless it is primary
// already. It returns false if there is no such instance or if the instance is
// crashed or hung.
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
	oldPrimary := s.primary
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
		if oldPrimary.running && !oldPrimary.hung && oldPrimary.primary && oldPrimary.term < s.primary.term {
			oldPrimary.stepDown()
		}
	})
}
