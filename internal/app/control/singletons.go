package control

import (
	"sync"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/protocol/promotion"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

// rollPace is the pace at which instances long unheard leave the roll.
const registrySweepInterval = 10 * time.Second

func (s *Server) runSingletons() {
	s.flushUpdates()
	s.runMaintenance()
	s.announcePrimacy()
	if now := s.node.Now(); now >= s.registrySweptAt+registrySweepInterval {
		s.registrySweptAt = now
		s.refreshRegistry()
	}
	s.runElections()
}

func (s *Server) announcePrimacy() {
	primary := s.isPrimary()
	if primary && !s.primacyAnnounced {
		s.notifyProxies(s.node.EpochRecord())
	}
	s.primacyAnnounced = primary
}

// tellNodes spares the nodes the wait for an answer of the primary before.
func (s *Server) notifyProxies(record consensus.Record) {
	for _, node := range s.node.Nodes(model.KindProxy, membership.StatusLive) {
		s.node.Hub.Send(node.RPCAddress, message.EpochChanged{Record: record})
	}
}

func (s *Server) runElections() {
	s.mutex.Lock()
	at, now := s.situation(), s.node.Now()
	campaigning, learning := s.singletons.Due(at, now)
	s.mutex.Unlock()
	if !campaigning {
		return
	}
	answer, ok := message.EvidenceResponse{}, false
	if learning {
		answer, ok = s.requestEvidence("")
	}
	s.mutex.Lock()
	if ok {
		s.singletons.SetDatabases(answer.Databases, answer.SyncedDatabases)
	}
	effects := s.singletons.Campaign(at, s.node.Now())
	s.mutex.Unlock()
	for _, effect := range effects {
		if canvass, ok := effect.(singleton.RequestVotes); ok {
			s.requestVotes(canvass)
		}
		if attend, ok := effect.(singleton.Evaluate); ok {
			s.evaluate(attend)
		}
	}
}

func (s *Server) situation() singleton.NodeState {
	at := singleton.NodeState{Primary: s.node.Now() < s.primaryUntil}
	for _, writer := range s.distributor.Snapshot().Writers {
		at.FailoverActive = at.FailoverActive || (writer.SyncReplication && writer.Phase != model.PhaseOpen)
	}
	return at
}

func (s *Server) requestEvidence(database string) (message.EvidenceResponse, bool) {
	if s.isPrimary() {
		answer := s.onEvidenceRequest(message.EvidenceRequest{Database: database})
		return answer, answer.FromPrimary
	}
	address, _ := s.node.ControlPrimary()
	if address == "" {
		return message.EvidenceResponse{}, false
	}
	reply, err := s.node.Hub.Call(address, message.EvidenceRequest{Database: database}, 300*time.Millisecond)
	answer, ok := reply.(message.EvidenceResponse)
	return answer, err == nil && ok && answer.FromPrimary
}

func (s *Server) requestVotes(canvass singleton.RequestVotes) {
	self := s.node.Config().Name
	for _, name := range canvass.Voters {
		if name == self {
			s.mutex.Lock()
			vote := s.singletons.OnVoteRequest(self, canvass.Request, s.node.Now())
			s.mutex.Unlock()
			s.onVote(self, vote)
			continue
		}
		node, known := s.node.FindNode(name)
		if !known {
			continue
		}
		s.node.Workers.Go(func() {
			reply, err := s.node.Hub.Call(node.RPCAddress, canvass.Request, 300*time.Millisecond)
			if vote, ok := reply.(proposal.Vote); err == nil && ok {
				s.onVote(name, vote)
			}
		})
	}
}

func (s *Server) onVote(from string, vote proposal.Vote) {
	s.mutex.Lock()
	won := s.singletons.OnVote(from, vote, s.node.Now())
	s.mutex.Unlock()
	if won {
		s.node.Counters.Add("duties_won", 1)
		s.logger.Info("duty won", "duty", vote.Role)
	}
}

func (s *Server) evaluate(attend singleton.Evaluate) {
	decide := s.decideAsyncFailover
	if attend.Synced {
		decide = s.decideSyncFailover
	}
	s.node.Workers.Go(func() { s.runExclusive(attend.Database, decide) })
}

func (s *Server) runExclusive(database string, act func(database string)) {
	s.mutex.Lock()
	free := s.singletons.BeginEvaluation(database)
	s.mutex.Unlock()
	if !free {
		return
	}
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.singletons.EndEvaluation(database)
	}()
	act(database)
}

func (s *Server) decideAsyncFailover(database string) {
	answer, ok := s.requestEvidence(database)
	if !ok || answer.Evidence.Database != database {
		return
	}
	for _, effect := range asyncrepl.Step(answer.Evidence, asyncrepl.DefaultTiming()) {
		if record, ok := effect.(failover.Record); ok {
			if !s.recordDecision(answer.Evidence.Writer, answer.Evidence.Known, record) {
				return
			}
			continue
		}
		if promote, ok := effect.(asyncrepl.Promote); ok {
			s.node.Workers.Go(func() { s.promoteAsync(promote) })
		}
	}
}

func (s *Server) recordDecision(before model.WriterRole, known bool, record failover.Record) bool {
	ask := distribution.WriterRoleChange{
		Previous: before, PreviousExists: known, Next: record.Writer, Action: record.Change,
		Evidence: record.Reason, RequestedBy: s.node.Config().Name,
	}
	if !s.submitDecision(ask) {
		s.node.Counters.Add("cases_not_recorded", 1)
		return false
	}
	s.logger.Info("writer role", "database", record.Writer.Database, "what", record.Change, "evidence", record.Reason, "term", record.Writer.Term, "phase", record.Writer.Phase)
	return true
}

const recordTimeout = 2 * time.Second

func (s *Server) submitDecision(ask distribution.WriterRoleChange) bool {
	if s.isPrimary() {
		answered := make(chan message.RecordResult, 1)
		s.onRecordDecision(ask, func(answer any) { answered <- answer.(message.RecordResult) })
		recorded, ok := worker.Receive(answered, time.After(recordTimeout))
		return ok && recorded.Stored
	}
	address, _ := s.node.ControlPrimary()
	if address == "" {
		return false
	}
	reply, err := s.node.Hub.Call(address, ask, recordTimeout)
	recorded, ok := reply.(message.RecordResult)
	return err == nil && ok && recorded.Stored
}

func (s *Server) promoteAsync(call asyncrepl.Promote) {
	s.node.Counters.Add("promote_calls", 1)
	path, body := promotion.NewRequest(call.Database, call.Instance, call.Term)
	cfg := s.node.Config()
	client, err := httpserver.NewClient(hostOf(cfg.RPCAddress), s.node.Workers)
	if err != nil {
		return
	}
	defer client.Close()
	session, err := client.Dial(cfg.PlatformAddress, time.Second, nil)
	if err != nil {
		s.node.Counters.Add("promote_calls_not_sent", 1)
		s.logger.Warn("platform not reached", "database", call.Database, "error", err)
		return
	}
	answer := session.Post(path, body, 2*time.Second)
	session.Close()
	s.logger.Info("promote call made", "database", call.Database, "instance", call.Instance, "status", answer.Status, "answered", answer.Err == nil)
}

// Leave hands the roles of this machine over, and waits for that and the write under
// way, for a bound. Duties lapse by themselves.
func (s *Server) Leave(timeout time.Duration) {
	done := make(chan struct{})
	s.enqueue(func() {
		s.onReleased = sync.OnceFunc(func() { close(done) })
		s.step(consensus.Leave{})
	})
	worker.Await(done, timeout)
}

// free ends a wait to leave, once no role is held and nothing is owed to the disk.
func (s *Server) checkReleased(now time.Duration) {
	if s.onReleased != nil && s.consensus.MayStop() && s.gate.SyncPending(now) == 0 {
		s.onReleased()
	}
}
