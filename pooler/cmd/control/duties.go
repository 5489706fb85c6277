package control

import (
	"slices"
	"time"

	"tansyseam.example/pooler/coordination/ballot"
	"tansyseam.example/pooler/coordination/failover"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/protocol/msg"
	"tansyseam.example/pooler/protocol/platform"
	"tansyseam.example/pooler/transport/run"
	"tansyseam.example/pooler/transport/web"
)

func (c *Control) duties() {
	c.flush()
	c.move()
	answer, isOne := c.askCase("")
	if !isOne {
		return
	}
	for _, database := range answer.Databases {
		c.seek(database)
	}
}

func (c *Control) askCase(database string) (msg.CaseAnswer, bool) {
	if c.isPrimary() {
		answer := c.onAskCase(msg.AskCase{Database: database})
		return answer, answer.IsPrimary
	}
	address, _ := c.node.Primary()
	if address == "" {
		return msg.CaseAnswer{}, false
	}
	reply, err := c.node.Hub.Call(address, msg.AskCase{Database: database}, 300*time.Millisecond)
	answer, isOne := reply.(msg.CaseAnswer)
	return answer, err == nil && isOne && answer.IsPrimary
}

func (c *Control) seek(database string) {
	now := c.node.Now()
	duty := "failover/" + database
	c.mutex.Lock()
	voters := c.voters
	self := c.node.Place().Name
	seeker, isKnown := c.seekers[database]
	if !isKnown && len(voters) > 0 {
		rank := slices.Index(voters, self)
		seeker = ballot.NewSeeker(duty, len(voters), rank+len(c.seekers)%len(voters), dutyTerm)
		c.seekers[database] = seeker
	}
	if seeker == nil {
		c.mutex.Unlock()
		return
	}
	ask, isDue := seeker.Tick(now)
	isHeld := seeker.IsHeld(now)
	c.mutex.Unlock()
	if isDue {
		c.canvass(seeker, ask, voters, self)
	}
	if isHeld {
		c.node.Crew.Go(func() { c.attend(database) })
	}
}

func (c *Control) canvass(seeker *ballot.Seeker, ask ballot.Ask, voters []string, self string) {
	for _, name := range voters {
		if name == self {
			c.mutex.Lock()
			vote := c.keeper.OnAsk(self, ask, c.node.Now())
			c.mutex.Unlock()
			c.onVote(seeker, self, vote)
			continue
		}
		node, isKnown := c.node.Find(name)
		if !isKnown {
			continue
		}
		c.node.Crew.Go(func() {
			reply, err := c.node.Hub.Call(node.Link, ask, 300*time.Millisecond)
			if vote, isOne := reply.(ballot.Vote); err == nil && isOne {
				c.onVote(seeker, name, vote)
			}
		})
	}
}

func (c *Control) onVote(seeker *ballot.Seeker, from string, vote ballot.Vote) {
	c.mutex.Lock()
	isWon := seeker.OnVote(from, vote, c.node.Now())
	c.mutex.Unlock()
	if isWon {
		c.node.Counts.Add("duties_won", 1)
		c.log.Info("duty won", "duty", seeker.Duty)
	}
}

func (c *Control) attend(database string) {
	c.mutex.Lock()
	if c.attended[database] {
		c.mutex.Unlock()
		return
	}
	c.attended[database] = true
	c.mutex.Unlock()
	defer func() {
		c.mutex.Lock()
		delete(c.attended, database)
		c.mutex.Unlock()
	}()
	answer, isOne := c.askCase(database)
	if !isOne || answer.Case.Database != database {
		return
	}
	for _, effect := range failover.Step(answer.Case, failover.DefaultTiming()) {
		if record, isRecord := effect.(failover.Record); isRecord {
			if !c.recordCase(answer.Case, record) {
				return
			}
			continue
		}
		if promote, isPromote := effect.(failover.Promote); isPromote {
			c.node.Crew.Go(func() { c.promote(promote) })
		}
	}
}

func (c *Control) recordCase(at failover.Case, record failover.Record) bool {
	ask := steer.RecordCase{
		Before: at.Writer, IsKnown: at.IsKnown, After: record.Writer, What: record.What,
		Evidence: record.Evidence, By: c.node.Place().Name,
	}
	address := c.node.Self().Link
	if !c.isPrimary() {
		address, _ = c.node.Primary()
	}
	if address == "" {
		return false
	}
	reply, err := c.node.Hub.Call(address, ask, 2*time.Second)
	recorded, isOne := reply.(msg.Recorded)
	if err != nil || !isOne || !recorded.IsKept {
		c.node.Counts.Add("cases_not_recorded", 1)
		return false
	}
	c.log.Info("writer role", "database", at.Database, "what", record.What, "evidence", record.Evidence, "term", record.Writer.Term, "phase", record.Writer.Phase)
	return true
}

func (c *Control) promote(call failover.Promote) {
	c.node.Counts.Add("promote_calls", 1)
	path, body := platform.Promote(call.Database, call.Instance, call.Term)
	place := c.node.Place()
	client, err := web.NewClient(hostOf(place.Link), c.node.Crew)
	if err != nil {
		return
	}
	defer client.Close()
	session, err := client.Dial(place.Platform, time.Second, nil)
	if err != nil {
		c.node.Counts.Add("promote_calls_not_sent", 1)
		c.log.Warn("platform not reached", "database", call.Database, "error", err)
		return
	}
	answer := session.Ask(path, body, 2*time.Second)
	session.Close()
	c.log.Info("promote call made", "database", call.Database, "instance", call.Instance, "status", answer.Status, "answered", answer.Err == nil)
}

// Leave gives up nothing: duties lapse by themselves. It only waits for the
// write under way.
func (c *Control) Leave(bound time.Duration) {
	done := make(chan struct{})
	c.do(func() { close(done) })
	run.Await(done, bound)
}
