package simulation

import (
	"time"

	"tansyseam/internal/coordination/singleton"
)

// runSingletons does the due work of the control server itself, and then the work
// of its singleton roles.
func (c *controlServer) runSingletons() {
	c.after(singleton.TickInterval, c.runSingletons)
	c.flushUpdates()
	c.submitDueWrites()
	state := c.nodeState()
	campaignDue, databasesDue := c.singleton.Due(state, c.clock())
	if !campaignDue {
		return
	}
	if databasesDue {
		c.refreshDatabases()
	}
	c.campaign(state)
}

// refreshDatabases requests the list of databases from the primary, which may be
// this server.
func (c *controlServer) refreshDatabases() {
	primary := c.plane.findControl(c.consensus.Record().Primary)
	if primary == nil {
		return
	}
	if primary == c {
		c.singleton.SetDatabases(c.distributor.DatabasesByReplication(c.announcementList()))
		return
	}
	c.simulator.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		all, synced := primary.distributor.DatabasesByReplication(primary.announcementList())
		c.simulator.send(&primary.machine, &c.machine, func() { c.singleton.SetDatabases(all, synced) })
	})
}

func (c *controlServer) nodeState() singleton.NodeState {
	return singleton.NodeState{Primary: c.isPrimary(), FailoverActive: c.distributor.IsSyncFailoverActive()}
}

// campaign requests votes for singleton roles, and evaluates the databases whose
// roles the server holds.
func (c *controlServer) campaign(state singleton.NodeState) {
	for _, effect := range c.singleton.Campaign(state, c.clock()) {
		if request, ok := effect.(singleton.RequestVotes); ok {
			c.requestVotes(request)
		}
		if evaluate, ok := effect.(singleton.Evaluate); ok && c.singleton.BeginEvaluation(evaluate.Database) {
			c.requestEvidence(evaluate)
		}
	}
}

func (c *controlServer) requestVotes(request singleton.RequestVotes) {
	for _, name := range request.Voters {
		voter := c.plane.findControl(name)
		c.simulator.send(&c.machine, &voter.machine, func() {
			vote := voter.singleton.OnVoteRequest(c.name, request.Request, voter.clock())
			c.simulator.send(&voter.machine, &c.machine, func() {
				if c.singleton.OnVote(voter.name, vote, c.clock()) {
					c.simulator.record("%s won %s", c.name, vote.Role)
				}
			})
		})
	}
}

// awaitAnswer begins to wait for an answer about a database under evaluation,
// and ends the evaluation if no answer arrives within the time-out. The returned
// function must be called when the answer arrives. It ends the wait, and reports
// whether the answer arrived in time.
func (c *controlServer) awaitAnswer(database string, timeout time.Duration) (inTime func() bool) {
	c.lastAwaited[database]++
	number := c.lastAwaited[database]
	inTime = func() bool {
		current := c.lastAwaited[database] == number
		if current {
			c.lastAwaited[database]++
		}
		return current
	}
	c.after(timeout, func() {
		if inTime() {
			c.singleton.EndEvaluation(database)
		}
	})
	return inTime
}
