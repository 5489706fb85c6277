package simulation

import (
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// requestEvidence requests the evidence about a database from the primary, and
// decides on it.
func (c *controlServer) requestEvidence(evaluate singleton.Evaluate) {
	database := evaluate.Database
	primary := c.plane.findControl(c.consensus.Record().Primary)
	if primary == nil {
		c.singleton.EndEvaluation(database)
		return
	}
	inTime := c.awaitAnswer(database, failover.EvidenceTimeout)
	c.simulator.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		decide := c.decisionBy(primary, evaluate)
		c.simulator.send(&primary.machine, &c.machine, func() {
			if inTime() {
				decide()
			}
		})
	})
}

// decisionBy gathers the evidence at the primary, and returns a function that
// decides on it. If the primary has the database recorded with the other kind of
// replication, the function only ends the evaluation.
func (c *controlServer) decisionBy(primary *controlServer, evaluate singleton.Evaluate) func() {
	evidence := primary.distributor.FailoverEvidence(evaluate.Database, primary.announcementList(), primary.wallNow(), primary.clock())
	if evaluate.Synced && evidence.Sync.Database == evaluate.Database {
		return func() { c.plane.backends.decideSync(c, primary, evidence.Sync) }
	}
	if !evaluate.Synced && evidence.Async.Database == evaluate.Database {
		return func() { c.plane.backends.decideAsync(c, primary, evidence.Async) }
	}
	return func() { c.singleton.EndEvaluation(evaluate.Database) }
}

// announcementList returns the announcements in the order in which the instances
// were created.
func (c *controlServer) announcementList() []distribution.Observation {
	var list []distribution.Observation
	for _, name := range c.plane.backends.instanceNames() {
		if announced, found := c.announcements[name]; found {
			list = append(list, announced)
		}
	}
	return list
}

// decision is the outcome of one evaluation of a database by a control server.
type decision struct {
	primary  *controlServer
	database string
	// previous is the writer role on which the decision is based.
	previous       model.WriterRole
	previousExists bool
	// act carries out an effect other than a Record. recorded is called with
	// each Record that was committed.
	act      func(effect failover.Effect)
	recorded func(failover.Record)
}

// carryOut carries out the effects of a decision, and ends the evaluation.
func (c *controlServer) carryOut(decided decision, effects []failover.Effect) {
	executor := failover.Executor{
		Record: func(record failover.Record, committed func()) {
			c.recordDecision(decided, record, func() {
				decided.recorded(record)
				committed()
			})
		},
		Act:    decided.act,
		Finish: func() { c.singleton.EndEvaluation(decided.database) },
	}
	executor.Execute(effects)
}

// recordDecision requests that the primary commit a change of the writer role,
// and calls next once it is committed.
func (c *controlServer) recordDecision(decided decision, record failover.Record, next func()) {
	primary, database := decided.primary, decided.database
	change := distribution.NewWriterRoleChange(decided.previous, decided.previousExists, record, c.name)
	inTime := c.awaitAnswer(database, failover.RecordTimeout)
	onAnswer := func(committed bool) {
		if !inTime() {
			return
		}
		if !committed {
			c.singleton.EndEvaluation(database)
			return
		}
		c.simulator.record("%s records %s: %s (%s)", c.name, database, record.Change, record.Reason)
		next()
	}
	c.simulator.send(&c.machine, &primary.machine, func() {
		if primary.isPrimary() {
			primary.commitWriterRole(change, func(committed bool) {
				c.simulator.send(&primary.machine, &c.machine, func() { onAnswer(committed) })
			})
		}
	})
}

// commitWriterRole commits a change of a writer role, unless the role has changed
// since the decision was made.
func (c *controlServer) commitWriterRole(change distribution.WriterRoleChange, done func(committed bool)) {
	accepted := false
	c.submit(func(table *store.Table) []store.Put {
		puts := distribution.WriterRolePuts(table, change, c.wallNow())
		accepted = len(puts) > 0
		return puts
	}, func(result consensus.SubmitResult) { done(result.Committed && accepted) })
}
