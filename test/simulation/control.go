package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
)

type controlServer struct {
	machine
	fleet         *fleet
	disk          *disk
	store         *versionfile.Store
	consensus     *consensus.Machine
	distributor   *distribution.Machine
	singleton     *singleton.Machine
	announcements map[string]distribution.Observation

	gate             consensus.SyncGate
	primacyUntil     time.Duration
	pendingWrites    map[uint64]func(consensus.SubmitResult)
	lastToken        uint64
	pendingUpdates   map[uint64]func(distribution.Update)
	lastAwaited      map[string]int
	writesUntilCrash int
	// isAdded says that the machine came to a fleet that was founded without it.
	joinedLater bool

	syncFailover *syncrepl.Observer
}

func (c *controlServer) start() {
	c.running, c.frozen, c.deferred = true, false, nil
	c.gate, c.primacyUntil = consensus.SyncGate{}, 0
	c.pendingWrites = map[uint64]func(consensus.SubmitResult){}
	c.pendingUpdates = map[uint64]func(distribution.Update){}
	c.announcements = map[string]distribution.Observation{}
	c.lastAwaited = map[string]int{}
	c.syncFailover = syncrepl.NewObserver(c.name)
	c.store = versionfile.NewStore(c.disk, 4)
	saved, err := consensus.Load(c.store, func(kind string, passed int) { c.simulator.record("%s passed over %d %s", c.name, passed, kind) })
	if err != nil {
		c.simulator.record("%s cannot read its disk: %v", c.name, err)
		c.running = false
		return
	}
	now := c.clock()
	founding := consensus.BootstrapConfig{ExactVoters: c.fleet.config.Controls, RequireBackup: true}
	if c.joinedLater {
		founding.ExactVoters = 0
	}
	c.consensus = consensus.NewWithBootstrap(c.name, founding, consensus.DefaultTiming(), saved, now)
	c.distributor = distribution.New(c.name, lease.DefaultTiming(), c.consensus.Record(), c.consensus.CommittedTable(), now)
	c.singleton = singleton.New(c.name, now)
	c.simulator.record("%s up", c.name)
	c.after(time.Millisecond, c.tick)
	c.after(5*time.Millisecond, c.runSingletons)
}

func (c *controlServer) isPrimary() bool { return c.clock() < c.primacyUntil }

func (c *controlServer) wallNow() int64 { return c.consensus.WallNanos(c.clock()) }

func (c *controlServer) tick() {
	var names []string
	for _, other := range c.fleet.controls {
		names = append(names, other.name)
	}
	slices.Sort(names)
	c.step(consensus.Peers{Names: names})
	c.step(consensus.Tick{WallNanos: c.wallClock(), SyncPending: c.gate.SyncPending(c.clock())})
	c.after(20*time.Millisecond, c.tick)
}

func (c *controlServer) step(event any) {
	c.applyEffects(c.gate.Pass(c.consensus.Step(event, c.clock()), c.clock()))
}

func (c *controlServer) applyEffects(effects []consensus.Effect) {
	primacy := time.Duration(0)
	if c.consensus.IsPrimary(c.clock()) {
		primacy = c.consensus.LeaseUntil()
	}
	c.primacyUntil = min(c.primacyUntil, primacy)
	c.singleton.SetVoters(c.consensus.Electorate(), c.clock())
	for _, effect := range effects {
		c.applyEffect(effect)
	}
	if !c.gate.IsEpochChangeBlocked() {
		c.primacyUntil = primacy
	}
	c.startWrite()
}

func (c *controlServer) startWrite() {
	work, due := c.gate.Next(c.clock())
	if !due {
		return
	}
	if c.writesUntilCrash > 0 {
		c.writesUntilCrash--
		if c.writesUntilCrash == 0 {
			c.fleet.crashAndRestart(&c.machine, c.start, c.simulator.randomDuration(200*time.Millisecond, 3*time.Second))
			return
		}
	}
	c.after(c.disk.writeDelay+c.simulator.randomDuration(300*time.Microsecond, 6*time.Millisecond), func() { c.finishWrite(work) })
}

func (c *controlServer) finishWrite(work consensus.Effect) {
	if c.simulator.now < c.disk.hangsUntil {
		c.after(c.disk.hangsUntil-c.simulator.now, func() { c.finishWrite(work) })
		return
	}
	err := c.write(work)
	if err != nil {
		c.simulator.record("%s is refused: %v", c.name, err)
	}
	c.applyEffects(c.gate.Done(err == nil, c.clock()))
}

func (c *controlServer) write(work consensus.Effect) error {
	if save, isSave := work.(consensus.Save); isSave {
		return c.store.Put(save.Kind, save.Sequence, save.Data)
	}
	for _, kind := range consensus.FileKinds() {
		if err := c.store.RemoveCorrupt(kind); err != nil {
			return err
		}
	}
	return nil
}

func (c *controlServer) applyEffect(effect consensus.Effect) {
	if send, ok := effect.(consensus.Send); ok {
		target := c.fleet.findControl(send.To)
		body, from := send.Body, c.name
		c.simulator.send(&c.machine, &target.machine, func() {
			target.step(consensus.Received{From: from, Body: body})
		})
		return
	}
	if answer, ok := effect.(consensus.SubmitResult); ok {
		done := c.pendingWrites[answer.Token]
		delete(c.pendingWrites, answer.Token)
		if done != nil {
			done(answer)
		}
		return
	}
	if wrote, ok := effect.(consensus.TableCommitted); ok {
		c.distributor.Publish(wrote.Table)
		c.fleet.recordServedSets(c.name, c.distributor.Snapshot().Sets)
		c.flushUpdates()
		return
	}
	if turned, ok := effect.(consensus.EpochChanged); ok {
		c.simulator.record("%s epoch %d primary %s backup %s: %s", c.name, turned.Record.Epoch, turned.Record.Primary, turned.Record.Backup, turned.Reason)
		c.distributor.EpochChanged(turned.Record, turned.Table, c.clock())
	}
}

func (c *controlServer) submit(build func(*store.Table) []store.Put, done func(consensus.SubmitResult)) {
	c.lastToken++
	token := c.lastToken
	c.pendingWrites[token] = done
	c.step(consensus.Submit{Token: token, Build: build})
}

func (c *controlServer) flushUpdates() {
	c.distributor.SetClockTrusted(c.consensus.IsClockConfirmed())
	for _, reply := range c.distributor.Flush(c.isPrimary(), c.wallNow(), c.clock()) {
		answer := c.pendingUpdates[reply.Token]
		delete(c.pendingUpdates, reply.Token)
		answer(reply.Update)
	}
}

func (c *controlServer) onUpdateRequest(request distribution.UpdateRequest, answer func(distribution.Update)) {
	if !c.isPrimary() {
		answer(distribution.Update{Record: c.consensus.Record()})
		return
	}
	c.lastToken++
	c.pendingUpdates[c.lastToken] = answer
	c.distributor.HandleRequest(request, c.lastToken, c.clock())
	c.flushUpdates()
}

func (c *controlServer) submitDueWrites() {
	if !c.isPrimary() {
		return
	}
	for _, next := range []func(int64, time.Duration) (distribution.Write, bool){c.distributor.RegisterNodes, c.distributor.NextActivation, c.distributor.NextCollection} {
		if write, due := next(c.wallNow(), c.clock()); due {
			c.submit(write.Build, func(consensus.SubmitResult) { write.Done() })
		}
	}
}

func (c *controlServer) runSingletons() {
	c.after(singleton.TickInterval, c.runSingletons)
	c.flushUpdates()
	c.submitDueWrites()
	at := c.situation()
	isSeeking, isLearning := c.singleton.Due(at, c.clock())
	if !isSeeking {
		return
	}
	primary := c.fleet.findControl(c.consensus.Record().Primary)
	if !isLearning || primary == nil {
		c.pursueRoles(at)
		return
	}
	if primary == c {
		c.singleton.SetDatabases(c.databases())
		c.pursueRoles(at)
		return
	}
	c.simulator.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		databases, synced := primary.databases()
		c.simulator.send(&primary.machine, &c.machine, func() { c.singleton.SetDatabases(databases, synced) })
	})
	c.pursueRoles(at)
}

func (c *controlServer) situation() singleton.NodeState {
	at := singleton.NodeState{Primary: c.isPrimary()}
	for _, writer := range c.distributor.Snapshot().Writers {
		at.FailoverActive = at.FailoverActive || (writer.SyncReplication && writer.Phase != model.PhaseOpen)
	}
	return at
}

// databases names those that this machine knows of, and the synced ones.
func (c *controlServer) databases() (all, synced []string) {
	heard := c.announcementList()
	all = c.distributor.Databases(heard)
	for _, database := range all {
		if c.distributor.UsesSyncReplication(database, heard) {
			synced = append(synced, database)
		}
	}
	return all, synced
}

func (c *controlServer) pursueRoles(at singleton.NodeState) {
	for _, effect := range c.singleton.Campaign(at, c.clock()) {
		if canvass, isCanvass := effect.(singleton.RequestVotes); isCanvass {
			c.requestVotes(canvass)
		}
		if attend, isAttend := effect.(singleton.Evaluate); isAttend && c.singleton.BeginEvaluation(attend.Database) {
			c.requestEvidence(attend)
		}
	}
}

func (c *controlServer) requestVotes(canvass singleton.RequestVotes) {
	for _, name := range canvass.Voters {
		voter := c.fleet.findControl(name)
		c.simulator.send(&c.machine, &voter.machine, func() {
			vote := voter.singleton.OnVoteRequest(c.name, canvass.Request, voter.clock())
			c.simulator.send(&voter.machine, &c.machine, func() {
				if c.singleton.OnVote(voter.name, vote, c.clock()) {
					c.simulator.record("%s won %s", c.name, vote.Role)
				}
			})
		})
	}
}

// hold waits for an answer about a database that is attended to, for a bound;
// what it gives says whether the answer came in time.
func (c *controlServer) awaitAnswer(database string, bound time.Duration) (isInTime func() bool) {
	c.lastAwaited[database]++
	number := c.lastAwaited[database]
	isInTime = func() bool {
		isSame := c.lastAwaited[database] == number
		if isSame {
			c.lastAwaited[database]++
		}
		return isSame
	}
	c.after(bound, func() {
		if isInTime() {
			c.singleton.EndEvaluation(database)
		}
	})
	return isInTime
}

const (
	evidenceTimeout = 300 * time.Millisecond
	recordTimeout   = 2 * time.Second
)

func (c *controlServer) requestEvidence(attend singleton.Evaluate) {
	database := attend.Database
	primary := c.fleet.findControl(c.consensus.Record().Primary)
	if primary == nil {
		c.singleton.EndEvaluation(database)
		return
	}
	isInTime := c.awaitAnswer(database, evidenceTimeout)
	c.simulator.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		heard := primary.announcementList()
		var decide func()
		if attend.Synced {
			at := primary.distributor.SyncFailoverEvidence(database, heard, primary.wallNow(), primary.clock())
			decide = func() { c.decideSyncFailover(primary, at) }
		} else {
			at := primary.distributor.AsyncFailoverEvidence(database, heard, primary.wallNow(), primary.clock())
			decide = func() { c.decideAsyncFailover(primary, at) }
		}
		c.simulator.send(&primary.machine, &c.machine, func() {
			if isInTime() {
				decide()
			}
		})
	})
}

// carryAll carries effects out in order; what follows a record waits until
// that is kept.
func (c *controlServer) applyFailover(primary *controlServer, database string, before model.WriterRole, known bool, effects []any, act func(any), recorded func(failover.Record)) {
	for rank, effect := range effects {
		record, isRecord := effect.(failover.Record)
		if !isRecord {
			act(effect)
			continue
		}
		rest := effects[rank+1:]
		c.recordDecision(primary, database, before, known, record, func() {
			recorded(record)
			c.applyFailover(primary, database, before, known, rest, act, recorded)
		})
		return
	}
	c.singleton.EndEvaluation(database)
}

func (c *controlServer) recordDecision(primary *controlServer, database string, before model.WriterRole, known bool, record failover.Record, then func()) {
	request := distribution.WriterRoleChange{Previous: before, PreviousExists: known, Next: record.Writer, Action: record.Change, Evidence: record.Reason, RequestedBy: c.name}
	isInTime := c.awaitAnswer(database, recordTimeout)
	c.simulator.send(&c.machine, &primary.machine, func() {
		if !primary.isPrimary() {
			return
		}
		accepted := false
		primary.submit(func(held *store.Table) []store.Put {
			puts := distribution.WriterRolePuts(held, request, primary.wallNow())
			accepted = len(puts) > 0
			return puts
		}, func(done consensus.SubmitResult) {
			isKept := done.Committed && accepted
			c.simulator.send(&primary.machine, &c.machine, func() {
				if !isInTime() {
					return
				}
				if !isKept {
					c.singleton.EndEvaluation(database)
					return
				}
				c.simulator.record("%s records %s: %s (%s)", c.name, database, record.Change, record.Reason)
				then()
			})
		})
	})
}

func (c *controlServer) announcementList() []distribution.Observation {
	var list []distribution.Observation
	for _, name := range c.fleet.instanceNames() {
		if heard, isHeard := c.announcements[name]; isHeard {
			list = append(list, heard)
		}
	}
	return list
}

func (c *controlServer) decideAsyncFailover(primary *controlServer, at asyncrepl.Evidence) {
	effects := asyncrepl.Step(at, asyncrepl.DefaultTiming())
	if c.fleet.defects.PromoteWorstReplica && len(effects) == 2 {
		effects = c.withWorstReplica(at, effects[0].(failover.Record))
	}
	c.applyFailover(primary, at.Database, at.Writer, at.Known, effects, func(effect any) {
		if promote, ok := effect.(asyncrepl.Promote); ok {
			c.fleet.platform.promote(c, promote)
		}
	}, func(failover.Record) {})
}

func (c *controlServer) withWorstReplica(at asyncrepl.Evidence, record failover.Record) []any {
	worst := slices.MinFunc(at.Observations, func(a, b asyncrepl.Observation) int {
		isFirst := a.Instance.Name != at.Writer.Primary && (b.Instance.Name == at.Writer.Primary || a.Instance.Position.IsBefore(b.Instance.Position))
		return map[bool]int{true: -1, false: 1}[isFirst]
	}).Instance.Name
	record.Writer.Promoting = worst
	return []any{record, asyncrepl.Promote{Database: at.Database, Instance: worst, Term: at.Writer.Term + 1}}
}
