package simulation

import (
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

const (
	evidenceTimeout = 300 * time.Millisecond
	recordTimeout   = 2 * time.Second
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
	inTime := c.awaitAnswer(database, evidenceTimeout)
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
// it leads to.
func (c *controlServer) decisionBy(primary *controlServer, evaluate singleton.Evaluate) func() {
	announced := primary.announcementList()
	if evaluate.Synced {
		evidence := primary.distributor.SyncFailoverEvidence(evaluate.Database, announced, primary.wallNow(), primary.clock())
		return func() { c.plane.backends.decideSync(c, primary, evidence) }
	}
	evidence := primary.distributor.AsyncFailoverEvidence(evaluate.Database, announced, primary.wallNow(), primary.clock())
	return func() { c.plane.backends.decideAsync(c, primary, evidence) }
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

// failoverStep is the decision of one evaluation, which is carried out effect
// by effect.
type failoverStep struct {
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

// applyFailover carries effects out in order. What follows a record waits
// until that is committed.
func (c *controlServer) applyFailover(step failoverStep, effects []failover.Effect) {
	for index, effect := range effects {
		record, ok := effect.(failover.Record)
		if !ok {
			step.act(effect)
			continue
		}
		rest := effects[index+1:]
		c.recordDecision(step, record, func() {
			step.recorded(record)
			c.applyFailover(step, rest)
		})
		return
	}
	c.singleton.EndEvaluation(step.database)
}

// recordDecision has the primary commit a change of the writer role, and goes
// on once that is done.
func (c *controlServer) recordDecision(step failoverStep, record failover.Record, then func()) {
	primary, database := step.primary, step.database
	change := distribution.WriterRoleChange{
		Previous: step.previous, PreviousExists: step.previousExists, Next: record.Writer,
		Action: record.Change, Evidence: record.Reason, RequestedBy: c.name,
	}
	inTime := c.awaitAnswer(database, recordTimeout)
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
