package control

import (
	"sync"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/protocol/promotion"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

// rollPace is the pace at which instances long unheard leave the roll.
const rollPace = 10 * time.Second

func (c *Control) duties() {
	c.flush()
	c.move()
	c.tellTurn()
	if now := c.node.Now(); now >= c.rollAt+rollPace {
		c.rollAt = now
		c.roster()
	}
	c.seek()
}

func (c *Control) tellTurn() {
	isPrimary := c.isPrimary()
	if isPrimary && !c.isTold {
		c.tellNodes(c.node.Record())
	}
	c.isTold = isPrimary
}

// tellNodes spares the nodes the wait for an answer of the primary before.
func (c *Control) tellNodes(record consensus.Record) {
	for _, node := range c.node.Nodes(model.KindData, membership.IsLive) {
		c.node.Hub.Send(node.Link, message.Turned{Record: record})
	}
}

func (c *Control) seek() {
	c.mutex.Lock()
	at, now := c.situation(), c.node.Now()
	isSeeking, isLearning := c.duty.Due(at, now)
	c.mutex.Unlock()
	if !isSeeking {
		return
	}
	answer, isOne := message.CaseAnswer{}, false
	if isLearning {
		answer, isOne = c.askCase("")
	}
	c.mutex.Lock()
	if isOne {
		c.duty.Learn(answer.Databases, answer.Synced)
	}
	effects := c.duty.Seek(at, c.node.Now())
	c.mutex.Unlock()
	for _, effect := range effects {
		if canvass, isCanvass := effect.(singleton.Canvass); isCanvass {
			c.canvass(canvass)
		}
		if attend, isAttend := effect.(singleton.Attend); isAttend {
			c.attend(attend)
		}
	}
}

func (c *Control) situation() singleton.Situation {
	at := singleton.Situation{IsPrimary: c.node.Now() < c.primacy}
	for _, writer := range c.steer.Doc().Writers {
		at.IsMoving = at.IsMoving || (writer.IsSynced && writer.Phase != model.PhaseOpen)
	}
	return at
}

func (c *Control) askCase(database string) (message.CaseAnswer, bool) {
	if c.isPrimary() {
		answer := c.onAskCase(message.AskCase{Database: database})
		return answer, answer.IsPrimary
	}
	address, _ := c.node.Primary()
	if address == "" {
		return message.CaseAnswer{}, false
	}
	reply, err := c.node.Hub.Call(address, message.AskCase{Database: database}, 300*time.Millisecond)
	answer, isOne := reply.(message.CaseAnswer)
	return answer, err == nil && isOne && answer.IsPrimary
}

func (c *Control) canvass(canvass singleton.Canvass) {
	self := c.node.Place().Name
	for _, name := range canvass.Voters {
		if name == self {
			c.mutex.Lock()
			vote := c.duty.OnAsk(self, canvass.Ask, c.node.Now())
			c.mutex.Unlock()
			c.onVote(self, vote)
			continue
		}
		node, isKnown := c.node.Find(name)
		if !isKnown {
			continue
		}
		c.node.Crew.Go(func() {
			reply, err := c.node.Hub.Call(node.Link, canvass.Ask, 300*time.Millisecond)
			if vote, isOne := reply.(proposal.Vote); err == nil && isOne {
				c.onVote(name, vote)
			}
		})
	}
}

func (c *Control) onVote(from string, vote proposal.Vote) {
	c.mutex.Lock()
	isWon := c.duty.OnVote(from, vote, c.node.Now())
	c.mutex.Unlock()
	if isWon {
		c.node.Counts.Add("duties_won", 1)
		c.log.Info("duty won", "duty", vote.Duty)
	}
}

func (c *Control) attend(attend singleton.Attend) {
	decide := c.decide
	if attend.IsSynced {
		decide = c.decideTakeover
	}
	c.node.Crew.Go(func() { c.alone(attend.Database, decide) })
}

func (c *Control) alone(database string, act func(database string)) {
	c.mutex.Lock()
	isFree := c.duty.Begin(database)
	c.mutex.Unlock()
	if !isFree {
		return
	}
	defer func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.duty.End(database)
	}()
	act(database)
}

func (c *Control) decide(database string) {
	answer, isOne := c.askCase(database)
	if !isOne || answer.Case.Database != database {
		return
	}
	for _, effect := range asyncrepl.Step(answer.Case, asyncrepl.DefaultTiming()) {
		if record, isRecord := effect.(asyncrepl.Record); isRecord {
			if !c.recordCase(answer.Case.Writer, answer.Case.IsKnown, record) {
				return
			}
			continue
		}
		if promote, isPromote := effect.(asyncrepl.Promote); isPromote {
			c.node.Crew.Go(func() { c.promote(promote) })
		}
	}
}

func (c *Control) recordCase(before model.Writer, isKnown bool, record asyncrepl.Record) bool {
	ask := distribution.RecordCase{
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

func (c *Control) askRecord(ask distribution.RecordCase) bool {
	if c.isPrimary() {
		answered := make(chan message.Recorded, 1)
		c.onRecordCase(ask, func(answer any) { answered <- answer.(message.Recorded) })
		recorded, isAnswered := worker.Take(answered, time.After(recordBound))
		return isAnswered && recorded.IsKept
	}
	address, _ := c.node.Primary()
	if address == "" {
		return false
	}
	reply, err := c.node.Hub.Call(address, ask, recordBound)
	recorded, isOne := reply.(message.Recorded)
	return err == nil && isOne && recorded.IsKept
}

func (c *Control) promote(call asyncrepl.Promote) {
	c.node.Counts.Add("promote_calls", 1)
	path, body := promotion.Promote(call.Database, call.Instance, call.Term)
	place := c.node.Place()
	client, err := httpserver.NewClient(hostOf(place.Link), c.node.Crew)
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

// Leave hands the roles of this machine over, and waits for that and the write under
// way, for a bound. Duties lapse by themselves.
func (c *Control) Leave(bound time.Duration) {
	done := make(chan struct{})
	c.do(func() {
		c.onFree = sync.OnceFunc(func() { close(done) })
		c.step(consensus.Leave{})
	})
	worker.Await(done, bound)
}

// free ends a wait to leave, once no role is held and nothing is owed to the disk.
func (c *Control) free(now time.Duration) {
	if c.onFree != nil && c.machine.IsFree() && c.gate.Owed(now) == 0 {
		c.onFree()
	}
}
