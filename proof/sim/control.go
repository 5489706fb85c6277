package sim

import (
	"slices"
	"time"

	"tansyseam.example/pooler/coordination/ballot"
	"tansyseam.example/pooler/coordination/epoch"
	"tansyseam.example/pooler/coordination/failover"
	"tansyseam.example/pooler/coordination/lease"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/coordination/takeover"
	"tansyseam.example/pooler/state/synced"
	"tansyseam.example/pooler/state/table"
)

const dutyTerm = 1200 * time.Millisecond

type control struct {
	machine
	fleet  *fleet
	disk   *disk
	store  *synced.Store
	epoch  *epoch.Machine
	steer  *steer.Machine
	keeper *ballot.Keeper
	seek   map[string]*ballot.Seeker
	heard  map[string]steer.Heard

	gate    epoch.Gate
	primacy time.Duration
	answers map[uint64]func(epoch.Answer)
	token   uint64
	asks    map[uint64]func(steer.News)
	isAsked map[string]bool
	crashAt int

	holder *takeover.Holder
}

func (c *control) start() {
	c.isUp, c.isFrozen, c.backlog = true, false, nil
	c.gate, c.primacy = epoch.Gate{}, 0
	c.answers = map[uint64]func(epoch.Answer){}
	c.asks = map[uint64]func(steer.News){}
	c.seek = map[string]*ballot.Seeker{}
	c.heard = map[string]steer.Heard{}
	c.isAsked = map[string]bool{}
	c.holder = takeover.NewHolder(c.name)
	c.store = synced.NewStore(c.disk, 4)
	saved, err := epoch.Load(c.store, func(kind string, passed int) { c.world.note("%s passed over %d %s", c.name, passed, kind) })
	if err != nil {
		c.world.note("%s cannot read its disk: %v", c.name, err)
		c.isUp = false
		return
	}
	now := c.clock()
	c.epoch = epoch.NewFounding(c.name, epoch.Founding{Disks: len(c.fleet.controls), IsPaired: true}, epoch.DefaultTiming(), saved, now)
	c.steer = steer.New(c.name, lease.DefaultTiming(), c.epoch.Record(), c.epoch.Table(), now)
	c.keeper = ballot.NewKeeper(dutyTerm, now)
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
	c.step(epoch.Peers{Names: names})
	c.step(epoch.Tick{Wall: c.wall(), Owed: c.gate.Owed(c.clock())})
	c.do(20*time.Millisecond, c.beat)
}

func (c *control) step(event any) { c.pass(c.gate.Pass(c.epoch.Step(event, c.clock()), c.clock())) }

func (c *control) pass(effects []epoch.Effect) {
	primacy := time.Duration(0)
	if c.epoch.IsPrimary(c.clock()) {
		primacy = c.epoch.Primacy()
	}
	c.primacy = min(c.primacy, primacy)
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

func (c *control) kept(work epoch.Effect) {
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

func (c *control) write(work epoch.Effect) error {
	if save, isSave := work.(epoch.Save); isSave {
		return c.store.Put(save.Kind, save.Sequence, save.Data)
	}
	for _, kind := range epoch.Kinds() {
		if err := c.store.Clean(kind); err != nil {
			return err
		}
	}
	return nil
}

func (c *control) carry(effect epoch.Effect) {
	if send, isOne := effect.(epoch.Send); isOne {
		target := c.fleet.controlBy(send.To)
		body, from := send.Body, c.name
		c.world.send(&c.machine, &target.machine, func() {
			target.step(epoch.Heard{From: from, Body: body})
		})
		return
	}
	if answer, isOne := effect.(epoch.Answer); isOne {
		done := c.answers[answer.Token]
		delete(c.answers, answer.Token)
		if done != nil {
			done(answer)
		}
		return
	}
	if wrote, isOne := effect.(epoch.Wrote); isOne {
		c.steer.Wrote(wrote.Table)
		c.fleet.took(c.name, c.steer.Doc().Sets)
		c.flush()
		return
	}
	if turned, isOne := effect.(epoch.Turned); isOne {
		c.world.note("%s epoch %d primary %s backup %s: %s", c.name, turned.Record.Epoch, turned.Record.Primary, turned.Record.Backup, turned.Why)
		c.steer.Turn(turned.Record, turned.Table, c.clock())
	}
}

func (c *control) submit(build func(*table.Table) []table.Put, done func(epoch.Answer)) {
	c.token++
	token := c.token
	c.answers[token] = done
	c.step(epoch.Submit{Token: token, Build: build})
}

func (c *control) flush() {
	c.steer.Trust(c.epoch.IsClockSure())
	for _, reply := range c.steer.Flush(c.isPrimary(), c.wallNow(), c.clock()) {
		answer := c.asks[reply.Token]
		delete(c.asks, reply.Token)
		answer(reply.News)
	}
}

func (c *control) onAskNews(ask steer.AskNews, answer func(steer.News)) {
	if !c.isPrimary() {
		answer(steer.News{Record: c.epoch.Record()})
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
	for _, next := range []func(int64, time.Duration) (steer.Write, bool){c.steer.Enroll, c.steer.Land, c.steer.Tidy} {
		if write, isDue := next(c.wallNow(), c.clock()); isDue {
			c.submit(write.Build, func(epoch.Answer) { write.Done() })
		}
	}
}

func (c *control) duties() {
	c.do(50*time.Millisecond, c.duties)
	c.flush()
	c.move()
	for _, database := range c.fleet.databases {
		c.seekDuty(database)
	}
}

func (c *control) seekDuty(database string) {
	voters := c.epoch.Voters()
	if len(voters) == 0 {
		return
	}
	seeker := c.seek[database]
	if seeker == nil {
		rank := slices.Index(voters, c.name)
		seeker = ballot.NewSeeker("failover/"+database, len(voters), (rank+len(c.seek))%len(voters), dutyTerm)
		c.seek[database] = seeker
	}
	if ask, isDue := seeker.Tick(c.clock()); isDue {
		for _, other := range c.fleet.controls {
			c.world.send(&c.machine, &other.machine, func() {
				vote := other.keeper.OnAsk(c.name, ask, other.clock())
				c.world.send(&other.machine, &c.machine, func() {
					if seeker.OnVote(other.name, vote, c.clock()) {
						c.world.note("%s won %s", c.name, seeker.Duty)
					}
				})
			})
		}
	}
	if seeker.IsHeld(c.clock()) && !c.isAsked[database] {
		c.attends(database)
	}
}

func (c *control) attends(database string) {
	if c.fleet.lines != nil {
		c.takeover(database)
		return
	}
	c.attend(database)
}

func (c *control) attend(database string) {
	primary := c.fleet.controlBy(c.epoch.Record().Primary)
	if primary == nil {
		return
	}
	c.isAsked[database] = true
	c.do(400*time.Millisecond, func() { c.isAsked[database] = false })
	c.world.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		at := primary.steer.Case(database, primary.heardList(), primary.wallNow(), primary.clock())
		c.world.send(&primary.machine, &c.machine, func() {
			c.isAsked[database] = false
			c.decide(primary, at)
		})
	})
}

func (c *control) heardList() []steer.Heard {
	var list []steer.Heard
	for _, one := range c.fleet.instances {
		if heard, isHeard := c.heard[one.name]; isHeard {
			list = append(list, heard)
		}
	}
	return list
}

func (c *control) decide(primary *control, at failover.Case) {
	effects := failover.Step(at, failover.DefaultTiming())
	if len(effects) == 0 {
		return
	}
	record, isRecord := effects[0].(failover.Record)
	if !isRecord {
		return
	}
	if c.fleet.plant.IsWorstReplica && len(effects) == 2 {
		worst := slices.MinFunc(at.Sights, func(a, b failover.Sight) int {
			isFirst := a.Instance.Name != at.Writer.Primary && (b.Instance.Name == at.Writer.Primary || a.Instance.Position.IsBefore(b.Instance.Position))
			return map[bool]int{true: -1, false: 1}[isFirst]
		}).Instance.Name
		record.Writer.Intent = worst
		effects[1] = failover.Promote{Database: at.Database, Instance: worst, Term: at.Writer.Term + 1}
	}
	ask := steer.RecordCase{Before: at.Writer, IsKnown: at.IsKnown, After: record.Writer, What: record.What, Evidence: record.Evidence, By: c.name}
	c.isAsked[at.Database] = true
	c.do(2*time.Second, func() { c.isAsked[at.Database] = false })
	c.world.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		isTaken := false
		primary.submit(func(held *table.Table) []table.Put {
			puts := steer.Record(held, ask, primary.wallNow())
			isTaken = len(puts) > 0
			return puts
		}, func(done epoch.Answer) {
			isKept := done.IsKept && isTaken
			c.world.send(&primary.machine, &c.machine, func() {
				c.isAsked[at.Database] = false
				if !isKept {
					return
				}
				c.world.note("%s records %s: %s (%s)", c.name, at.Database, record.What, record.Evidence)
				for _, effect := range effects[1:] {
					if promote, isOne := effect.(failover.Promote); isOne {
						c.fleet.platform.promote(c, promote)
					}
				}
			})
		})
	})
}
