package control

import "tansyseam/internal/state/model"

// Names of the gauges of a control node. They describe the newest committed state that
// this node has; on a node that is not the control primary it may be an older one.
const (
	// gaugeStateBytes is the size of all records of the control state, in bytes.
	gaugeStateBytes = "state_bytes"
	// gaugeSetsStored is the number of binding sets that are stored, and gaugeSetsPending
	// the number of those without an effective time.
	gaugeSetsStored  = "sets_stored"
	gaugeSetsPending = "sets_pending"
	// gaugeUpdateRequests is the number of update requests that wait for their answers.
	gaugeUpdateRequests = "update_requests_waiting"
	// gaugeWrites is the number of submitted writes whose outcome is open.
	gaugeWrites = "state_writes_waiting"
)

func (s *Server) registerGauges() {
	s.node.AddGauge(gaugeStateBytes, s.stateBytes)
	s.node.AddGauge(gaugeSetsStored, func() int64 { return int64(len(s.snapshot().Sets)) })
	s.node.AddGauge(gaugeSetsPending, s.pendingSets)
	s.node.AddGauge(gaugeUpdateRequests, func() int64 {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return int64(len(s.updateWaiters))
	})
	s.node.AddGauge(gaugeWrites, func() int64 {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return int64(len(s.writeWaiters))
	})
}

func (s *Server) snapshot() model.Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.distributor.Snapshot()
}

func (s *Server) stateBytes() int64 {
	s.mutex.Lock()
	state := s.distributor.State()
	s.mutex.Unlock()
	size := int64(0)
	for key, record := range state.Records {
		size += int64(len(key) + len(record.Data))
	}
	return size
}

func (s *Server) pendingSets() int64 {
	pending := int64(0)
	for _, set := range s.snapshot().Sets {
		if set.EffectiveAt == 0 {
			pending++
		}
	}
	return pending
}
