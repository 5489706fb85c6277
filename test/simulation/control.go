package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
)

type control struct {
	machine
	fleet *fleet
	disk  *disk
	store *versionfile.Store
	epoch *consensus.Machine
	steer *distribution.Machine
	duty  *singleton.Machine
	heard map[string]distribution.Heard

	gate    consensus.Gate
	primacy time.Duration
	answers map[uint64]func(consensus.Answer)
	token   uint64
	asks    map[uint64]func(distribution.News)
	errands map[string]int
	crashAt int
	// isAdded says that the machine came to a fleet that was founded without it.
	isAdded bool

	holder *syncrepl.Holder
}

func (c *control) start() {
	c.isUp, c.isFrozen, c.backlog = true, false, nil
	c.gate, c.primacy = consensus.Gate{}, 0
	c.answers = map[uint64]func(consensus.Answer){}
	c.asks = map[uint64]func(distribution.News){}
	c.heard = map[string]distribution.Heard{}
	c.errands = map[string]int{}
	c.holder = syncrepl.NewHolder(c.name)
	c.store = versionfile.NewStore(c.disk, 4)
	saved, err := consensus.Load(c.store, func(kind string, passed int) { c.world.note("%s passed over %d %s", c.name, passed, kind) })
	if err != nil {
		c.world.note("%s cannot read its disk: %v", c.name, err)
		c.isUp = false
		return
	}
	now := c.clock()
	founding := consensus.Founding{Disks: c.fleet.shape.Controls, IsPaired: true}
	if c.isAdded {
		founding.Disks = 0
	}
	c.epoch = consensus.NewFounding(c.name, founding, consensus.DefaultTiming(), saved, now)
	c.steer = distribution.New(c.name, lease.DefaultTiming(), c.epoch.Record(), c.epoch.Table(), now)
	c.duty = singleton.New(c.name, now)
	c.world.note("%s up", c.name)
	c.do(time.Millisecond, c.beat)
	c.do(5*time.Millisecond, c.duties)
}

func (c *control) isPrimary() bool { return c.clock() < c.primacy }

func (c *control) wallNow() int64 { return c.epoch.Wall(c.clock()) }

func (c *control) beat() {
	var names []string
	for _, other := range c.fleet.controls {
		names = append(names, other.name)
	}
	slices.Sort(names)
	c.step(consensus.Peers{Names: names})
	c.step(consensus.Tick{Wall: c.wall(), Owed: c.gate.Owed(c.clock())})
	c.do(20*time.Millisecond, c.beat)
}

func (c *control) step(event any) { c.pass(c.gate.Pass(c.epoch.Step(event, c.clock()), c.clock())) }

func (c *control) pass(effects []consensus.Effect) {
	primacy := time.Duration(0)
	if c.epoch.IsPrimary(c.clock()) {
		primacy = c.epoch.Primacy()
	}
	c.primacy = min(c.primacy, primacy)
	c.duty.Elect(c.epoch.Electorate(), c.clock())
	for _, effect := range effects {
		c.carry(effect)
	}
	if !c.gate.IsTurning() {
		c.primacy = primacy
	}
	c.keep()
}

func (c *control) keep() {
	work, isDue := c.gate.Next(c.clock())
	if !isDue {
		return
	}
	if c.crashAt > 0 {
		c.crashAt--
		if c.crashAt == 0 {
			c.fleet.bounce(&c.machine, c.start, c.world.between(200*time.Millisecond, 3*time.Second))
			return
		}
	}
	c.do(c.disk.slow+c.world.between(300*time.Microsecond, 6*time.Millisecond), func() { c.kept(work) })
}

func (c *control) kept(work consensus.Effect) {
	if c.world.now < c.disk.hangs {
		c.do(c.disk.hangs-c.world.now, func() { c.kept(work) })
		return
	}
	err := c.write(work)
	if err != nil {
		c.world.note("%s is refused: %v", c.name, err)
	}
	c.pass(c.gate.Done(err == nil, c.clock()))
}

func (c *control) write(work consensus.Effect) error {
	if save, isSave := work.(consensus.Save); isSave {
		return c.store.Put(save.Kind, save.Sequence, save.Data)
	}
	for _, kind := range consensus.Kinds() {
		if err := c.store.Clean(kind); err != nil {
			return err
		}
	}
	return nil
}

func (c *control) carry(effect consensus.Effect) {
	if send, isOne := effect.(consensus.Send); isOne {
		target := c.fleet.controlBy(send.To)
		body, from := send.Body, c.name
		c.world.send(&c.machine, &target.machine, func() {
			target.step(consensus.Heard{From: from, Body: body})
		})
		return
	}
	if answer, isOne := effect.(consensus.Answer); isOne {
		done := c.answers[answer.Token]
		delete(c.answers, answer.Token)
		if done != nil {
			done(answer)
		}
		return
	}
	if wrote, isOne := effect.(consensus.Wrote); isOne {
		c.steer.Wrote(wrote.Table)
		c.fleet.took(c.name, c.steer.Doc().Sets)
		c.flush()
		return
	}
	if turned, isOne := effect.(consensus.Turned); isOne {
		c.world.note("%s epoch %d primary %s backup %s: %s", c.name, turned.Record.Epoch, turned.Record.Primary, turned.Record.Backup, turned.Why)
		c.steer.Turn(turned.Record, turned.Table, c.clock())
	}
}

func (c *control) submit(build func(*store.Table) []store.Put, done func(consensus.Answer)) {
	c.token++
	token := c.token
	c.answers[token] = done
	c.step(consensus.Submit{Token: token, Build: build})
}

func (c *control) flush() {
	c.steer.Trust(c.epoch.IsClockSure())
	for _, reply := range c.steer.Flush(c.isPrimary(), c.wallNow(), c.clock()) {
		answer := c.asks[reply.Token]
		delete(c.asks, reply.Token)
		answer(reply.News)
	}
}

func (c *control) onAskNews(ask distribution.AskNews, answer func(distribution.News)) {
	if !c.isPrimary() {
		answer(distribution.News{Record: c.epoch.Record()})
		return
	}
	c.token++
	c.asks[c.token] = answer
	c.steer.Ask(ask, c.token, c.clock())
	c.flush()
}

func (c *control) move() {
	if !c.isPrimary() {
		return
	}
	for _, next := range []func(int64, time.Duration) (distribution.Write, bool){c.steer.Enroll, c.steer.Land, c.steer.Tidy} {
		if write, isDue := next(c.wallNow(), c.clock()); isDue {
			c.submit(write.Build, func(consensus.Answer) { write.Done() })
		}
	}
}

func (c *control) duties() {
	c.do(singleton.Pace, c.duties)
	c.flush()
	c.move()
	at := c.situation()
	isSeeking, isLearning := c.duty.Due(at, c.clock())
	if !isSeeking {
		return
	}
	primary := c.fleet.controlBy(c.epoch.Record().Primary)
	if !isLearning || primary == nil {
		c.seek(at)
		return
	}
	if primary == c {
		c.duty.Learn(c.databases())
		c.seek(at)
		return
	}
	c.world.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		databases, synced := primary.databases()
		c.world.send(&primary.machine, &c.machine, func() { c.duty.Learn(databases, synced) })
	})
	c.seek(at)
}

func (c *control) situation() singleton.Situation {
	at := singleton.Situation{IsPrimary: c.isPrimary()}
	for _, writer := range c.steer.Doc().Writers {
		at.IsMoving = at.IsMoving || (writer.IsSynced && writer.Phase != model.PhaseOpen)
	}
	return at
}

// databases names those that this machine knows of, and the synced ones.
func (c *control) databases() (all, synced []string) {
	heard := c.heardList()
	all = c.steer.Databases(heard)
	for _, database := range all {
		if c.steer.IsSynced(database, heard) {
			synced = append(synced, database)
		}
	}
	return all, synced
}

func (c *control) seek(at singleton.Situation) {
	for _, effect := range c.duty.Seek(at, c.clock()) {
		if canvass, isCanvass := effect.(singleton.Canvass); isCanvass {
			c.canvass(canvass)
		}
		if attend, isAttend := effect.(singleton.Attend); isAttend && c.duty.Begin(attend.Database) {
			c.attend(attend)
		}
	}
}

func (c *control) canvass(canvass singleton.Canvass) {
	for _, name := range canvass.Voters {
		voter := c.fleet.controlBy(name)
		c.world.send(&c.machine, &voter.machine, func() {
			vote := voter.duty.OnAsk(c.name, canvass.Ask, voter.clock())
			c.world.send(&voter.machine, &c.machine, func() {
				if c.duty.OnVote(voter.name, vote, c.clock()) {
					c.world.note("%s won %s", c.name, vote.Duty)
				}
			})
		})
	}
}

// hold waits for an answer about a database that is attended to, for a bound;
// what it gives says whether the answer came in time.
func (c *control) hold(database string, bound time.Duration) (isInTime func() bool) {
	c.errands[database]++
	number := c.errands[database]
	isInTime = func() bool {
		isSame := c.errands[database] == number
		if isSame {
			c.errands[database]++
		}
		return isSame
	}
	c.do(bound, func() {
		if isInTime() {
			c.duty.End(database)
		}
	})
	return isInTime
}

const (
	caseBound   = 300 * time.Millisecond
	recordBound = 2 * time.Second
)

func (c *control) attend(attend singleton.Attend) {
	database := attend.Database
	primary := c.fleet.controlBy(c.epoch.Record().Primary)
	if primary == nil {
		c.duty.End(database)
		return
	}
	isInTime := c.hold(database, caseBound)
	c.world.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		heard := primary.heardList()
		var decide func()
		if attend.IsSynced {
			at := primary.steer.Takeover(database, heard, primary.wallNow(), primary.clock())
			decide = func() { c.decideTakeover(primary, at) }
		} else {
			at := primary.steer.Case(database, heard, primary.wallNow(), primary.clock())
			decide = func() { c.decide(primary, at) }
		}
		c.world.send(&primary.machine, &c.machine, func() {
			if isInTime() {
				decide()
			}
		})
	})
}

// carryAll carries effects out in order; what follows a record waits until
// that is kept.
func (c *control) carryAll(primary *control, database string, before model.Writer, isKnown bool, effects []any, act func(any), recorded func(asyncrepl.Record)) {
	for rank, effect := range effects {
		record, isRecord := effect.(asyncrepl.Record)
		if !isRecord {
			act(effect)
			continue
		}
		rest := effects[rank+1:]
		c.record(primary, database, before, isKnown, record, func() {
			recorded(record)
			c.carryAll(primary, database, before, isKnown, rest, act, recorded)
		})
		return
	}
	c.duty.End(database)
}

func (c *control) record(primary *control, database string, before model.Writer, isKnown bool, record asyncrepl.Record, then func()) {
	ask := distribution.RecordCase{Before: before, IsKnown: isKnown, After: record.Writer, What: record.What, Evidence: record.Evidence, By: c.name}
	isInTime := c.hold(database, recordBound)
	c.world.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		isTaken := false
		primary.submit(func(held *store.Table) []store.Put {
			puts := distribution.Record(held, ask, primary.wallNow())
			isTaken = len(puts) > 0
			return puts
		}, func(done consensus.Answer) {
			isKept := done.IsKept && isTaken
			c.world.send(&primary.machine, &c.machine, func() {
				if !isInTime() {
					return
				}
				if !isKept {
					c.duty.End(database)
					return
				}
				c.world.note("%s records %s: %s (%s)", c.name, database, record.What, record.Evidence)
				then()
			})
		})
	})
}

func (c *control) heardList() []distribution.Heard {
	var list []distribution.Heard
	for _, name := range c.fleet.instanceNames() {
		if heard, isHeard := c.heard[name]; isHeard {
			list = append(list, heard)
		}
	}
	return list
}

func (c *control) decide(primary *control, at asyncrepl.Case) {
	effects := asyncrepl.Step(at, asyncrepl.DefaultTiming())
	if c.fleet.plant.IsWorstReplica && len(effects) == 2 {
		effects = c.worstOf(at, effects[0].(asyncrepl.Record))
	}
	c.carryAll(primary, at.Database, at.Writer, at.IsKnown, effects, func(effect any) {
		if promote, isOne := effect.(asyncrepl.Promote); isOne {
			c.fleet.platform.promote(c, promote)
		}
	}, func(asyncrepl.Record) {})
}

func (c *control) worstOf(at asyncrepl.Case, record asyncrepl.Record) []any {
	worst := slices.MinFunc(at.Sights, func(a, b asyncrepl.Sight) int {
		isFirst := a.Instance.Name != at.Writer.Primary && (b.Instance.Name == at.Writer.Primary || a.Instance.Position.IsBefore(b.Instance.Position))
		return map[bool]int{true: -1, false: 1}[isFirst]
	}).Instance.Name
	record.Writer.Intent = worst
	return []any{record, asyncrepl.Promote{Database: at.Database, Instance: worst, Term: at.Writer.Term + 1}}
}
