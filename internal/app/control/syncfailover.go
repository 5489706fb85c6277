package control

import (
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/state/lineproto"
)

// commandTimeout bounds the wait for an instance's reply to a command.
const commandTimeout = 400 * time.Millisecond

// decideSyncFailover decides on the failover of a database whose instances
// replicate synchronously, and executes the decision.
func (s *Server) decideSyncFailover(database string) {
	response, ok := s.requestEvidence(database)
	if !ok || response.SyncedEvidence.Database != database {
		return
	}
	evidence := s.augment(response.SyncedEvidence)
	executor := failover.Executor{
		Record: func(decision failover.Record, committed func()) {
			if s.recordDecision(evidence.Writer, evidence.Known, decision) {
				s.recordCommitted(decision)
				committed()
			}
		},
		Act: func(effect failover.Effect) { s.executeSyncEffect(evidence, effect) },
	}
	executor.Execute(syncrepl.Step(evidence, syncrepl.DefaultTiming()))
}

func (s *Server) recordCommitted(decision failover.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.observer.RecordCommitted(decision)
}

// augment adds the results of this node's own commands and promote calls to the
// evidence.
func (s *Server) augment(evidence syncrepl.Evidence) syncrepl.Evidence {
	evidence.FencingEnforced = s.node.Config().PlatformChecksFences
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.observer.Augment(evidence, s.node.Now())
}

func (s *Server) executeSyncEffect(evidence syncrepl.Evidence, effect failover.Effect) {
	if query, ok := effect.(syncrepl.QueryStatus); ok {
		s.sendCommand(evidence, Command{Address: query.Address, Instance: query.Instance, Name: lineproto.AdminStatus})
		return
	}
	if stepDown, ok := effect.(syncrepl.StepDown); ok {
		s.logger.Info("step-down command sent", "database", evidence.Database, "instance", stepDown.Instance, "term", stepDown.Term)
		s.node.Counters.Add("step_down_orders", 1)
		s.sendCommand(evidence, Command{Address: stepDown.Address, Instance: stepDown.Instance, Name: lineproto.AdminStepDown, Term: stepDown.Term})
		return
	}
	if bound, ok := effect.(syncrepl.ReportBound); ok {
		s.reportBound(bound)
		return
	}
	if call, ok := effect.(syncrepl.Promote); ok {
		s.promoteSync(call)
	}
}

// reportBound reports a position to the control primary that covers every commit
// that was acknowledged to a client.
func (s *Server) reportBound(bound syncrepl.ReportBound) {
	if s.isPrimary() {
		s.confirmCoverage(bound)
		return
	}
	if address, _ := s.node.ControlPrimary(); address != "" {
		s.node.Hub.Send(address, bound)
	}
}

func (s *Server) confirmCoverage(bound syncrepl.ReportBound) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.distributor.ConfirmCoverage(bound)
}

// sendCommand sends a command in the background, unless another command to the
// same instance is still waiting for its reply.
func (s *Server) sendCommand(evidence syncrepl.Evidence, command Command) {
	if s.adapters.SendCommand == nil {
		return
	}
	s.mutex.Lock()
	report := s.observer.BeginProbe(evidence, command.Instance)
	s.mutex.Unlock()
	if report == nil {
		return
	}
	command.Database, command.Timeout = evidence.Database, commandTimeout
	s.node.Counters.Add("orders", 1)
	s.node.Workers.Go(func() {
		reply := s.adapters.SendCommand(command)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		report(newProbeResult(reply), s.node.Now())
	})
}

func newProbeResult(reply CommandReply) syncrepl.ProbeResult {
	return syncrepl.ProbeResult{
		Answered: reply.Err == nil && !reply.Busy && !reply.Gone, Busy: reply.Busy, Gone: reply.Gone,
		Role: reply.Role, Term: reply.Term, Position: reply.Position,
	}
}

// promoteSync makes the promote call in the background. If the response was not
// read, the recorded status is 0, which means unknown.
func (s *Server) promoteSync(call syncrepl.Promote) {
	if s.adapters.Promote == nil {
		return
	}
	s.node.Counters.Add("promote_calls", 1)
	s.mutex.Lock()
	report := s.observer.BeginPromote(call, s.node.Now())
	s.mutex.Unlock()
	s.node.Workers.Go(func() {
		status, err := s.adapters.Promote(s.node.Config(), adapter.Promotion{
			Database: call.Database, Instance: call.Instance, LeaseHolder: call.LeaseHolder, FencingToken: call.FencingToken,
		})
		s.logger.Info("promote call made", "database", call.Database, "instance", call.Instance,
			"fencing_token", call.FencingToken, "status", status, "error", err)
		if err != nil {
			status = 0
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		report(status, errors.Is(err, ErrNotSent))
	})
}
