package control

import (
	"slices"
	"time"

	"tansyseam.example/pooler/coordination/ballot"
	"tansyseam.example/pooler/coordination/failover"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/protocol/msg"
	"tansyseam.example/pooler/protocol/platform"
	"tansyseam.example/pooler/state/view"
	"tansyseam.example/pooler/transport/run"
	"tansyseam.example/pooler/transport/web"
)

const (
	seekPace  = 100 * time.Millisecond
	hotPace   = 25 * time.Millisecond
	learnPace = time.Second
	awayPace  = 300 * time.Millisecond
	// rollPace is the pace at which instances long unheard leave the roll.
	rollPace = 10 * time.Second
)

// The duty of all synced databases is one.
const syncedDuty = "takeover"

func (c *Control) duties() {
	c.flush()
	c.move()
	now := c.node.Now()
	if now < c.seekAt {
		return
	}
	c.seekAt = now + seekPace
	if c.isMoving() {
		c.seekAt = now + hotPace
	}
	if now >= c.knownAt+learnPace || c.isPrimary() {
		c.knownAt = now
		if answer, isOne := c.askCase(""); isOne {
			c.known = answer
		}
	}
	if now >= c.rollAt+rollPace {
		c.rollAt = now
		c.roster()
	}
	for _, database := range c.known.Databases {
		if !slices.Contains(c.known.Synced, database) {
			c.seek("failover/"+database, func() { c.attend(database) })
		}
	}
	if len(c.known.Synced) > 0 {
		c.seek(syncedDuty, c.attendSynced)
	}
}

// isMoving says whether a writer role is on its way, so that each step of it
// is taken as soon as it can be.
func (c *Control) isMoving() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, writer := range c.steer.Doc().Writers {
		if writer.IsSynced && writer.Phase != view.PhaseOpen {
			return true
		}
	}
	return false
}

func (c *Control) attendSynced() {
	if !c.isPrimary() && c.node.Now() < c.awayAt+awayPace {
		return
	}
	c.awayAt = c.node.Now()
	for _, database := range c.known.Synced {
		c.node.Crew.Go(func() { c.attendTakeover(database) })
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

func (c *Control) seek(duty string, act func()) {
	now := c.node.Now()
	isPrimary := c.isPrimary()
	c.mutex.Lock()
	voters := c.voters
	self := c.node.Place().Name
	seeker, isKnown := c.seekers[duty]
	if rank := slices.Index(voters, self); !isKnown && rank >= 0 {
		seeker = ballot.NewSeeker(duty, len(voters), rank+len(c.seekers)%len(voters), dutyTerm)
		c.seekers[duty] = seeker
	}
	if seeker == nil {
		c.mutex.Unlock()
		return
	}
	ask, isDue := ballot.Ask{}, false
	if isPrimary || c.keeper.Idle(duty, now) > 2*dutyTerm {
		ask, isDue = seeker.Tick(now)
	}
	isHeld := seeker.IsHeld(now)
	c.mutex.Unlock()
	if isDue {
		c.canvass(seeker, ask, voters, self)
	}
	if isHeld {
		act()
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

func (c *Control) alone(database string, act func()) {
	c.mutex.Lock()
	isUnderWay := c.attended[database]
	c.attended[database] = true
	c.mutex.Unlock()
	if isUnderWay {
		return
	}
	defer func() {
		c.mutex.Lock()
		delete(c.attended, database)
		c.mutex.Unlock()
	}()
	act()
}

func (c *Control) attend(database string) {
	c.node.Crew.Go(func() { c.alone(database, func() { c.decide(database) }) })
}

func (c *Control) decide(database string) {
	answer, isOne := c.askCase(database)
	if !isOne || answer.Case.Database != database {
		return
	}
	for _, effect := range failover.Step(answer.Case, failover.DefaultTiming()) {
		if record, isRecord := effect.(failover.Record); isRecord {
			if !c.recordCase(answer.Case.Writer, answer.Case.IsKnown, record) {
				return
			}
			continue
		}
		if promote, isPromote := effect.(failover.Promote); isPromote {
			c.node.Crew.Go(func() { c.promote(promote) })
		}
	}
}

func (c *Control) recordCase(before view.Writer, isKnown bool, record failover.Record) bool {
	ask := steer.RecordCase{
		Before: before, IsKnown: isKnown, After: record.Writer, What: record.What,
		Evidence: record.Evidence, By: c.node.Place().Name,
	}
	if !c.askRecord(ask) {
		c.node.Counts.Add("cases_not_recorded", 1)
		return false
	}
	c.log.Info("writer role", "database", record.Writer.Database, "what", record.What, "evidence", record.Evidence, "term", record.Writer.Term, "phase", record.Writer.Phase)
	return true
}

const recordBound = 2 * time.Second

func (c *Control) askRecord(ask steer.RecordCase) bool {
	if c.isPrimary() {
		answered := make(chan msg.Recorded, 1)
		c.onRecordCase(ask, func(answer any) { answered <- answer.(msg.Recorded) })
		recorded, isAnswered := run.Take(answered, time.After(recordBound))
		return isAnswered && recorded.IsKept
	}
	address, _ := c.node.Primary()
	if address == "" {
		return false
	}
	reply, err := c.node.Hub.Call(address, ask, recordBound)
	recorded, isOne := reply.(msg.Recorded)
	return err == nil && isOne && recorded.IsKept
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
