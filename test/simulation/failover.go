package simulation

import (
	"slices"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
)

// decideAsync makes a control server decide on a database. If the decision
// promotes an instance, the server calls the platform.
func (f *fleet) decideAsync(control, primary *controlServer, evidence asyncrepl.Evidence) {
	effects := asyncrepl.Step(evidence, asyncrepl.DefaultTiming())
	if f.defects.PromoteWorstReplica && len(effects) == 2 {
		effects = withWorstReplica(evidence, effects[0].(failover.Record))
	}
	decided := decision{
		primary: primary, database: evidence.Database, previous: evidence.Writer, previousExists: evidence.Known,
		act: func(effect failover.Effect) {
			if promote, ok := effect.(asyncrepl.Promote); ok {
				f.platform.requestPromotion(control, promote)
			}
		},
		recorded: func(failover.Record) {},
	}
	control.carryOut(decided, effects)
}

// decideSync records a violation, because control evaluates a database as
// synchronously replicating, but no instance of this fleet replicates
// synchronously.
func (f *fleet) decideSync(control, _ *controlServer, evidence syncrepl.Evidence) {
	f.recorder.addViolation("%s is evaluated as if it replicated synchronously", evidence.Database)
	control.singleton.EndEvaluation(evidence.Database)
}

// withWorstReplica returns the effects of a promotion, changed to promote the
// replica that is furthest behind.
func withWorstReplica(evidence asyncrepl.Evidence, record failover.Record) []failover.Effect {
	primary := evidence.Writer.Primary
	worst := slices.MinFunc(evidence.Observations, func(a, b asyncrepl.Observation) int {
		worse := a.Instance.Name != primary && (b.Instance.Name == primary || a.Instance.Position.IsBefore(b.Instance.Position))
		if worse {
			return -1
		}
		return 1
	}).Instance.Name
	record.Writer.Promoting = worst
	return []failover.Effect{record, asyncrepl.Promote{Database: evidence.Database, Instance: worst, Term: evidence.Writer.Term + 1}}
}
