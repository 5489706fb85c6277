package platformstandin

import (
	"time"

	"tansyseam/test/linehistory"
)

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
