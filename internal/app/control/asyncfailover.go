package control

import (
	"github.com/juju/errors"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/protocol/promotion"
)

// decideAsyncFailover decides on the failover of a database with asynchronous
// replication, and executes the decision. The proxies of such a database confirm a
// commit only once the required replicas have it.
func (s *Server) decideAsyncFailover(database string) {
	response, ok := s.requestEvidence(database)
	if !ok || response.Evidence.Database != database {
		return
	}
	evidence := response.Evidence
	executor := failover.Executor{
		Record: func(decision failover.Record, committed func()) {
			if s.recordDecision(evidence.Writer, evidence.Known, decision) {
				committed()
			}
		},
		Act: s.executeAsyncEffect,
	}
	executor.Execute(asyncrepl.Step(evidence, asyncrepl.DefaultTiming()))
}

func (s *Server) executeAsyncEffect(effect failover.Effect) {
	if promote, ok := effect.(asyncrepl.Promote); ok {
		s.node.Workers.Go(func() { s.promoteAsync(promote) })
	}
}

// promoteAsync makes the promote call. The response is only logged, because the
// instance itself reports whether it was promoted.
func (s *Server) promoteAsync(call asyncrepl.Promote) {
	s.node.Counters.Add("promote_calls", 1)
	status, err := s.platform.promote(s.node.Config(), promotion.NewRequest(call.Database, call.Instance, call.Term))
	if errors.Is(err, ErrNotSent) {
		s.node.Counters.Add("promote_calls_not_sent", 1)
	}
	s.logger.Info("promote call made", "database", call.Database, "instance", call.Instance, "term", call.Term,
		"status", status, "error", err)
}
