package control

import (
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/app/config"
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Reply is what an instance answered to an order.
type CommandReply struct {
	Role     string
	Term     uint64
	Position model.Position
	// IsBusy says that it lives and gave no row, IsGone that no instance of
	// that name is at the address; Err that nothing was answered.
	Busy bool
	Gone bool
	Err  error
}

// Seams is how synced instances and their platform are spoken to.
type Adapters struct {
	// Order gives an instance one of the stream package's orders.
	SendCommand func(address, database, instance, order string, term uint64, timeout time.Duration) CommandReply
	// Promote makes the platform's one call and gives the status answered;
	// ErrUnsent says that it did not leave this machine.
	Promote func(cfg config.Config, database, instance, holder string, fence uint64) (status int, err error)
}

const (
	announceTimeout = 800 * time.Millisecond
	commandTimeout  = 400 * time.Millisecond
)

func (s *Server) onSyncAnnouncement(instance model.Instance) (string, bool) {
	if taken := s.acceptAnnouncement(instance); taken.Accepted {
		return taken.HTTPAddress, true
	}
	address, _ := s.node.ControlPrimary()
	if address == "" || address == s.node.Self().RPCAddress {
		return "", false
	}
	reply, err := s.node.Hub.Call(address, message.InstanceAnnouncement{Instance: instance}, announceTimeout)
	taken, ok := reply.(message.AnnouncementResult)
	if err != nil || !ok || !taken.Accepted {
		s.node.Counters.Add("announcements_not_passed", 1)
		return "", false
	}
	s.node.RecordAnnouncement(instance)
	return taken.HTTPAddress, true
}

func (s *Server) acceptAnnouncement(instance model.Instance) message.AnnouncementResult {
	if !s.isPrimary() || !s.node.RecordAnnouncement(instance) {
		return message.AnnouncementResult{}
	}
	s.registerInstance(instance.Name)
	return message.AnnouncementResult{Accepted: true, HTTPAddress: s.node.Self().HTTPAddress}
}

func (s *Server) registerInstance(name string) {
	observed, _ := s.node.Instance(name)
	s.mutex.Lock()
	changed := s.distributor.RegisterInstance(observed.Instance)
	s.mutex.Unlock()
	if changed {
		s.flushUpdates()
	}
}

func (s *Server) refreshRegistry() {
	observed := s.observations()
	s.mutex.Lock()
	changed := s.distributor.UpdateInstances(observed)
	s.mutex.Unlock()
	if changed {
		s.flushUpdates()
	}
}

func (s *Server) confirmPosition(mark syncrepl.ReportBound) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.distributor.ConfirmCoverage(mark)
}

func (s *Server) decideSyncFailover(database string) {
	answer, ok := s.requestEvidence(database)
	if !ok || answer.SyncedEvidence.Database != database {
		return
	}
	answer.SyncedEvidence.FencingEnforced = s.node.Config().PlatformChecksFences
	s.mutex.Lock()
	at := s.evidence.Augment(answer.SyncedEvidence, s.node.Now())
	s.mutex.Unlock()
	for _, effect := range syncrepl.Step(at, syncrepl.DefaultTiming()) {
		if record, ok := effect.(failover.Record); ok {
			if !s.recordDecision(at.Writer, at.Known, record) {
				return
			}
			s.mutex.Lock()
			s.evidence.RecordCommitted(record)
			s.mutex.Unlock()
			continue
		}
		s.executeSyncEffect(at, effect)
	}
}

func (s *Server) executeSyncEffect(at syncrepl.Evidence, effect any) {
	if ask, ok := effect.(syncrepl.QueryStatus); ok {
		s.sendCommand(at, ask.Instance, ask.Address, lineproto.AdminStatus, 0)
		return
	}
	if down, ok := effect.(syncrepl.StepDown); ok {
		s.logger.Info("order to step down", "database", at.Database, "instance", down.Instance, "term", down.Term)
		s.node.Counters.Add("step_down_orders", 1)
		s.sendCommand(at, down.Instance, down.Address, lineproto.AdminStepDown, down.Term)
		return
	}
	if mark, ok := effect.(syncrepl.ReportBound); ok {
		s.reportPosition(mark)
		return
	}
	if call, ok := effect.(syncrepl.Promote); ok {
		s.promoteSync(call)
	}
}

func (s *Server) reportPosition(mark syncrepl.ReportBound) {
	if s.isPrimary() {
		s.confirmPosition(mark)
		return
	}
	if address, _ := s.node.ControlPrimary(); address != "" {
		s.node.Hub.Send(address, mark)
	}
}

func (s *Server) sendCommand(at syncrepl.Evidence, instance, address, order string, term uint64) {
	if s.adapters.SendCommand == nil {
		return
	}
	s.mutex.Lock()
	report := s.evidence.BeginProbe(at, instance)
	s.mutex.Unlock()
	if report == nil {
		return
	}
	s.node.Counters.Add("orders", 1)
	s.node.Workers.Go(func() {
		reply := s.adapters.SendCommand(address, at.Database, instance, order, term, commandTimeout)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		report(syncrepl.ProbeResult{
			Answered: reply.Err == nil && !reply.Busy && !reply.Gone, Busy: reply.Busy, Gone: reply.Gone,
			Role: reply.Role, Term: reply.Term, Position: reply.Position,
		}, s.node.Now())
	})
}

func (s *Server) promoteSync(call syncrepl.Promote) {
	if s.adapters.Promote == nil {
		return
	}
	s.node.Counters.Add("promote_calls", 1)
	s.mutex.Lock()
	report := s.evidence.BeginPromote(call, s.node.Now())
	s.mutex.Unlock()
	s.node.Workers.Go(func() {
		status, err := s.adapters.Promote(s.node.Config(), call.Database, call.Instance, call.LeaseHolder, call.FencingToken)
		s.logger.Info("promote call made", "database", call.Database, "instance", call.Instance, "fence", call.FencingToken, "status", status, "error", err)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if err != nil {
			status = 0
		}
		report(status, errors.Is(err, ErrNotSent))
	})
}
