package simulation

import (
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// requestEvidence asks the primary for what is known of a database, and
// decides by it.
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

// decisionBy gathers the evidence at the primary, and gives the decision that
// it leads to. There is none where the primary takes the database for one of the
// other kind of replication.
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

// announcementList gives the announcements in the order in which the
// instances were made.
func (c *controlServer) announcementList() []distribution.Observation {
	var list []distribution.Observation
	for _, name := range c.plane.backends.instanceNames() {
		if announced, found := c.announcements[name]; found {
			list = append(list, announced)
		}
	}
	return list
}

// decision is that of one evaluation by a control server.
type decision struct {
	primary  *controlServer
	database string
	// previous is the writer role that the decision goes by.
	previous       model.WriterRole
	previousExists bool
	// act carries out what is not a record, recorded hears of each record
	// that was committed.
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

// recordDecision has the primary commit a change of the writer role, and goes
// on once that is done.
func (c *controlServer) recordDecision(decided decision, record failover.Record, then func()) {
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
		then()
	}
	c.simulator.send(&c.machine, &primary.machine, func() {
		if primary.isPrimary() {
			primary.commitWriterRole(change, func(committed bool) {
				c.simulator.send(&primary.machine, &c.machine, func() { onAnswer(committed) })
			})
		}
	})
}

// commitWriterRole commits a change of a writer role, unless the role is no
// longer what the change goes by.
func (c *controlServer) commitWriterRole(change distribution.WriterRoleChange, done func(committed bool)) {
	accepted := false
	c.submit(func(table *store.Table) []store.Put {
		puts := distribution.WriterRolePuts(table, change, c.wallNow())
		accepted = len(puts) > 0
		return puts
	}, func(result consensus.SubmitResult) { done(result.Committed && accepted) })
}
