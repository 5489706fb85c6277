package control

import (
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/internal/transport/worker"
)

// requestEvidence returns the control primary's evidence on a database, or the
// lists of databases if the name is empty. It returns false if the control primary
// did not answer.
func (s *Server) requestEvidence(database string) (message.EvidenceResponse, bool) {
	request := message.EvidenceRequest{Database: database}
	if s.isPrimary() {
		response := s.onEvidenceRequest(request)
		return response, response.FromPrimary
	}
	address, _ := s.node.ControlPrimary()
	if address == "" {
		return message.EvidenceResponse{}, false
	}
	reply, err := s.node.Hub.Call(address, request, failover.EvidenceTimeout)
	response, ok := reply.(message.EvidenceResponse)
	return response, err == nil && ok && response.FromPrimary
}

// onEvidenceRequest answers an evidence request. The answer of a node that is not
// the control primary is empty.
func (s *Server) onEvidenceRequest(request message.EvidenceRequest) message.EvidenceResponse {
	if request.Database != "" {
		return s.evidenceFor(request.Database)
	}
	return s.databases()
}

func (s *Server) databases() message.EvidenceResponse {
	observations := s.observations()
	now := s.node.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isPrimaryAt(now) {
		return message.EvidenceResponse{}
	}
	all, synced := s.distributor.DatabasesByReplication(observations)
	return message.EvidenceResponse{FromPrimary: true, Databases: all, SyncedDatabases: synced}
}

func (s *Server) evidenceFor(database string) message.EvidenceResponse {
	observations := s.newObservations(s.node.DatabaseInstances(database, instanceRetention))
	now := s.node.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isPrimaryAt(now) {
		return message.EvidenceResponse{}
	}
	evidence := s.distributor.FailoverEvidence(database, observations, s.wallTimeLocked(), now)
	return message.EvidenceResponse{FromPrimary: true, Evidence: evidence.Async, SyncedEvidence: evidence.Sync}
}

// recordDecision has the control primary write a change of a writer role, and
// reports whether the change was written. A decision takes effect only once it is
// written.
func (s *Server) recordDecision(previous model.WriterRole, exists bool, decision failover.Record) bool {
	change := distribution.NewWriterRoleChange(previous, exists, decision, s.node.Config().Name)
	if !s.requestRecord(change) {
		s.node.Counters.Add("cases_not_recorded", 1)
		return false
	}
	s.logger.Info("writer role changed", "database", decision.Writer.Database, "change", decision.Change, "evidence", decision.Reason,
		"term", decision.Writer.Term, "phase", decision.Writer.Phase)
	return true
}

func (s *Server) requestRecord(change distribution.WriterRoleChange) bool {
	if s.isPrimary() {
		results := make(chan message.RecordResult, 1)
		s.onWriterRoleChange(change, func(reply any) { results <- reply.(message.RecordResult) })
		result, ok := worker.Receive(results, time.After(failover.RecordTimeout))
		return ok && result.Stored
	}
	address, _ := s.node.ControlPrimary()
	if address == "" {
		return false
	}
	reply, err := s.node.Hub.Call(address, change, failover.RecordTimeout)
	result, ok := reply.(message.RecordResult)
	return err == nil && ok && result.Stored
}

// onWriterRoleChange writes a change of a writer role, unless the role has been
// changed since the decision was made.
func (s *Server) onWriterRoleChange(change distribution.WriterRoleChange, reply func(any)) {
	wallTime := s.wallTime()
	accepted := false
	s.submit(func(state *store.Table) []store.Put {
		puts := distribution.WriterRolePuts(state, change, wallTime)
		accepted = len(puts) > 0
		return puts
	}, func(result consensus.SubmitResult) {
		reply(message.RecordResult{Stored: result.Committed && accepted})
	})
}
