package control

import (
	"time"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/state/model"
)

// voteTimeout bounds the wait for the reply to a vote request.
const voteTimeout = 300 * time.Millisecond

// runPeriodicWork does the work of the control primary that is due and takes part
// in the elections of the singleton roles. The leaders of these roles decide on
// failovers.
func (s *Server) runPeriodicWork() {
	s.flushUpdates()
	s.runMaintenance()
	s.announcePrimacy()
	s.sweepRegistry()
	s.runElections()
}

func (s *Server) runElections() {
	s.mutex.Lock()
	state := s.electionState()
	campaign, refresh := s.singletons.Due(state, s.node.Now())
	s.mutex.Unlock()
	if !campaign {
		return
	}
	if refresh {
		s.refreshDatabases()
	}
	s.mutex.Lock()
	effects := s.singletons.Campaign(state, s.node.Now())
	s.mutex.Unlock()
	for _, effect := range effects {
		s.executeElectionEffect(effect)
	}
}

// electionState returns the state of this node that elections depend on. The
// caller must hold the mutex.
func (s *Server) electionState() singleton.NodeState {
	return singleton.NodeState{Primary: s.isPrimaryAt(s.node.Now()), FailoverActive: s.distributor.IsSyncFailoverActive()}
}

func (s *Server) refreshDatabases() {
	response, ok := s.requestEvidence("")
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.singletons.SetDatabases(response.Databases, response.SyncedDatabases)
}

func (s *Server) executeElectionEffect(effect singleton.Effect) {
	if request, ok := effect.(singleton.RequestVotes); ok {
		s.requestVotes(request)
	}
	if evaluate, ok := effect.(singleton.Evaluate); ok {
		s.evaluate(evaluate)
	}
}

func (s *Server) requestVotes(request singleton.RequestVotes) {
	self := s.node.Config().Name
	for _, name := range request.Voters {
		if name == self {
			s.onVote(self, s.voteFor(self, request.Request))
			continue
		}
		if voter, found := s.node.FindNode(name); found {
			s.node.Workers.Go(func() { s.requestVote(voter, request.Request) })
		}
	}
}

func (s *Server) requestVote(voter model.Node, request proposal.VoteRequest) {
	reply, err := s.node.Hub.Call(voter.RPCAddress, request, voteTimeout)
	if vote, ok := reply.(proposal.Vote); err == nil && ok {
		s.onVote(voter.Name, vote)
	}
}

// voteFor returns this node's vote on a candidate's request.
func (s *Server) voteFor(candidate string, request proposal.VoteRequest) proposal.Vote {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.singletons.OnVoteRequest(candidate, request, s.node.Now())
}

func (s *Server) onVote(voter string, vote proposal.Vote) {
	s.mutex.Lock()
	won := s.singletons.OnVote(voter, vote, s.node.Now())
	s.mutex.Unlock()
	if won {
		s.node.Counters.Add("duties_won", 1)
		s.logger.Info("singleton role won", "role", vote.Role)
	}
}

// evaluate decides on the failover of a database. This node leads the database's
// singleton role.
func (s *Server) evaluate(evaluate singleton.Evaluate) {
	decide := s.decideAsyncFailover
	if evaluate.Synced {
		decide = s.decideSyncFailover
	}
	s.node.Workers.Go(func() { s.runExclusive(evaluate.Database, decide) })
}

// runExclusive evaluates a database, unless an evaluation of it is already running.
func (s *Server) runExclusive(database string, evaluate func(database string)) {
	s.mutex.Lock()
	began := s.singletons.BeginEvaluation(database)
	s.mutex.Unlock()
	if !began {
		return
	}
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.singletons.EndEvaluation(database)
	}()
	evaluate(database)
}
