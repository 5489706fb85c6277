package control

import (
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
)

// writeDepartures submits the write of the departures that wait for one, if none is
// pending. If this node is no longer the control primary, it rejects them.
func (s *Server) writeDepartures() {
	write, due := s.dueDepartures()
	if !due {
		return
	}
	s.submit(write.Build, func(submitted consensus.SubmitResult) {
		s.mutex.Lock()
		s.distributor.FinishDepartures()
		s.mutex.Unlock()
		write.Reply(submitted.Committed)
		if submitted.Committed {
			s.writeDepartures()
		}
	})
}

func (s *Server) dueDepartures() (distribution.DepartureWrite, bool) {
	s.mutex.Lock()
	if s.isPrimaryAt(s.node.Now()) {
		defer s.mutex.Unlock()
		return s.distributor.NextDepartures(s.wallTimeLocked())
	}
	rejected := s.distributor.RejectDepartures()
	s.mutex.Unlock()
	rejected.Reply(false)
	return distribution.DepartureWrite{}, false
}
