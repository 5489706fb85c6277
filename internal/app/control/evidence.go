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

const (
	// evidenceTimeout bounds a request for evidence to the control primary.
	evidenceTimeout = 300 * time.Millisecond
	// recordTimeout bounds the recording of a decision.
	recordTimeout = 2 * time.Second
)

// requestEvidence gets the evidence on a database from the control primary, or
// the list of the databases where none is named.
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
	reply, err := s.node.Hub.Call(address, request, evidenceTimeout)
	response, ok := reply.(message.EvidenceResponse)
	return response, err == nil && ok && response.FromPrimary
}

// onEvidenceRequest answers a request; the answer of a node that is not the
// control primary is empty.
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
	response := message.EvidenceResponse{FromPrimary: true, Databases: s.distributor.Databases(observations)}
	for _, database := range response.Databases {
		if s.distributor.UsesSyncReplication(database, observations) {
			response.SyncedDatabases = append(response.SyncedDatabases, database)
		}
	}
	return response
}

func (s *Server) evidenceFor(database string) message.EvidenceResponse {
	observations := newObservations(s.node.DatabaseInstances(database, instanceRetention))
	now := s.node.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isPrimaryAt(now) {
		return message.EvidenceResponse{}
	}
	response := message.EvidenceResponse{FromPrimary: true}
	if s.distributor.UsesSyncReplication(database, observations) {
		response.SyncedEvidence = s.distributor.SyncFailoverEvidence(database, observations, s.wallTimeLocked(), now)
		return response
	}
	response.Evidence = s.distributor.AsyncFailoverEvidence(database, observations, s.wallTimeLocked(), now)
	return response
}

// recordDecision has the control primary write a change of a writer role, and
// says whether it was written. A decision takes effect only then.
func (s *Server) recordDecision(previous model.WriterRole, exists bool, decision failover.Record) bool {
	change := distribution.WriterRoleChange{
		Previous: previous, PreviousExists: exists, Next: decision.Writer, Action: decision.Change,
		Evidence: decision.Reason, RequestedBy: s.node.Config().Name,
	}
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
		result, ok := worker.Receive(results, time.After(recordTimeout))
		return ok && result.Stored
	}
	address, _ := s.node.ControlPrimary()
	if address == "" {
		return false
	}
	reply, err := s.node.Hub.Call(address, change, recordTimeout)
	result, ok := reply.(message.RecordResult)
	return err == nil && ok && result.Stored
}

// onWriterRoleChange writes a change of a writer role, unless the role has
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
