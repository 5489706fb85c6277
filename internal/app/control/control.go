// Package control is the control plane's program: one disk machine's epoch
// machine with its files, the desk of leases, the operators' calls, and the
// duties. Lock order: Control.mutex, then the node's.
package control

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
	"tansyseam/internal/transport/worker"
)

// ErrFolder says that a data folder cannot be used.
const ErrFolder = errors.ConstError("data folder cannot be used")

// Control is the program's state.
type Control struct {
	node  *node.Node
	log   hclog.Logger
	store *versionfile.Store

	queue     chan func()
	machine   *consensus.Machine
	gate      consensus.Gate
	disk      func(work func())
	isRefused bool
	// onFree is called once no role is held, where the program is to end.
	onFree func()

	mutex   sync.Mutex
	answers map[uint64]func(consensus.Answer)
	token   uint64
	steer   *distribution.Machine
	voters  []string
	held    store.Stamp
	primacy time.Duration
	wallAt  time.Duration
	wall    int64
	asks    map[uint64]func(any)
	duty    *singleton.Machine
	holder  *syncrepl.Holder
	rollAt  time.Duration
	peersAt time.Duration
	isTold  bool
	seams   Seams
}

// Open reads the data folder and makes the program; seams tells, where given,
// how the platform and synced instances are spoken to.
func Open(node *node.Node, place config.Settings, seams *Seams) (*Control, error) {
	folder, err := versionfile.OpenFolder(place.Data)
	if err != nil {
		return nil, errors.WithType(err, ErrFolder)
	}
	return OpenOn(node, place, folder, seams)
}

// OpenOn does the same on any Disk.
func OpenOn(node *node.Node, place config.Settings, disk versionfile.Disk, seams *Seams) (*Control, error) {
	c := &Control{
		node: node, log: node.Log, store: versionfile.NewStore(disk, 4), disk: func(work func()) { work() },
		queue: make(chan func(), 4096), answers: map[uint64]func(consensus.Answer){},
		asks:   map[uint64]func(any){},
		holder: syncrepl.NewHolder(place.Name),
	}
	if seams != nil {
		c.seams = *seams
	}
	saved, err := consensus.Load(c.store, func(kind string, passed int) {
		node.Counts.Add("files_unsound", int64(passed))
		node.Log.Warn("unsound files passed over", "kind", kind, "count", passed)
	})
	if err != nil {
		return nil, errors.WithType(err, ErrFolder)
	}
	now := node.Now()
	c.machine = consensus.NewFounding(place.Name, founding(place), consensus.DefaultTiming(), saved, now)
	c.duty = singleton.New(place.Name, now)
	c.steer = distribution.New(place.Name, leases(place), c.machine.Record(), c.machine.Table(), now)
	node.Saw(c.machine.Record())
	c.listen()
	c.serveCalls()
	return c, nil
}

func founding(place config.Settings) consensus.Founding {
	if place.Losses == 0 {
		return consensus.Founding{Disks: place.Disks, IsPaired: true}
	}
	return consensus.Founding{Voters: 2*place.Losses + 1, IsFounder: place.IsFounder, Seeds: place.SeedLinks(), IsPaired: true}
}

const quietWait = 500 * time.Millisecond

func leases(place config.Settings) lease.Timing {
	timing := lease.DefaultTiming()
	timing.InForce = place.InForce
	if place.Manner == config.MannerPlatform {
		timing.Wait = quietWait
	}
	return timing
}

const (
	beatPace  = 50 * time.Millisecond
	peersPace = 300 * time.Millisecond
)

// Start begins to act; the node must have been started.
func (c *Control) Start() {
	stage := worker.NewStage(c.node.Crew, "disk", 1, 1, func(work func()) { work() })
	c.disk = func(work func()) { stage.Offer(work) }
	c.node.Crew.Loop(c.queue, beatPace, c.beat)
	c.node.Crew.Loop(nil, singleton.Pace, c.duties)
}

func (c *Control) listen() {
	c.node.OnAll(consensus.Messages(), func(from string, body any, _ func(any)) {
		c.do(func() { c.step(consensus.Heard{From: from, Body: body}) })
	})
	node.On(c.node, func(from string, ask proposal.Ask, answer func(any)) {
		c.mutex.Lock()
		vote := c.duty.OnAsk(from, ask, c.node.Now())
		c.mutex.Unlock()
		answer(vote)
	})
	node.On(c.node, func(_ string, ask distribution.AskNews, answer func(any)) { c.onAskNews(ask, answer) })
	node.On(c.node, func(_ string, told distribution.Told, _ func(any)) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.steer.Gather(told, c.node.Now())
	})
	node.On(c.node, func(_ string, call message.Announce, answer func(any)) { answer(c.takeAnnouncement(call.Instance)) })
	node.On(c.node, func(_ string, mark syncrepl.Mark, _ func(any)) { c.cover(mark) })
	c.node.OnSynced(c.onSynced)
	node.On(c.node, func(_ string, ask message.AskCase, answer func(any)) { answer(c.onAskCase(ask)) })
	node.On(c.node, func(_ string, record distribution.RecordCase, answer func(any)) { c.onRecordCase(record, answer) })
	node.On(c.node, func(_ string, call message.Operate, answer func(any)) { c.onOperate(call, answer) })
	node.On(c.node, func(_ string, query message.Query, answer func(any)) {
		answer(message.QueryAnswer{Body: c.query(query.What)})
	})
}

func (c *Control) do(work func()) {
	select {
	case c.queue <- work:
	case <-c.node.Crew.Stopping():
	}
}

func (c *Control) beat() {
	if now := c.node.Now(); now >= c.peersAt+peersPace {
		c.peersAt = now
		peers := consensus.Peers{Links: map[string]string{}, Zones: map[string]string{}}
		for _, node := range c.node.Nodes(model.KindControl, membership.IsLive, membership.IsDead) {
			peers.Names = append(peers.Names, node.Name)
			peers.Links[node.Link] = node.Name
			peers.Zones[node.Name] = node.Zone
		}
		slices.Sort(peers.Names)
		c.step(peers)
	}
	c.step(consensus.Tick{Wall: time.Now().UnixNano(), Owed: c.gate.Owed(c.node.Now())})
}

func (c *Control) step(event any) {
	now := c.node.Now()
	c.pass(c.gate.Pass(c.machine.Step(event, now), now), now)
}

// pass lowers primacy before the effects are carried out, and raises it after
// them, once what a change of role rests on is synced.
func (c *Control) pass(effects []consensus.Effect, now time.Duration) {
	primacy := time.Duration(0)
	if c.machine.IsPrimary(now) {
		primacy = c.machine.Primacy()
	}
	c.mutex.Lock()
	c.primacy = min(c.primacy, primacy)
	c.wall, c.wallAt = c.machine.Wall(now), now
	c.steer.Trust(c.machine.IsClockSure())
	c.voters = c.machine.Voters()
	c.duty.Elect(c.machine.Electorate(), now)
	c.held = c.machine.Copy().Stamp
	c.mutex.Unlock()
	for _, effect := range effects {
		c.carry(effect)
	}
	if !c.gate.IsTurning() {
		c.mutex.Lock()
		c.primacy = primacy
		c.mutex.Unlock()
	}
	c.keep(now)
	c.free(now)
}

func (c *Control) keep(now time.Duration) {
	work, isDue := c.gate.Next(now)
	if !isDue {
		return
	}
	c.disk(func() {
		began := time.Now()
		err := c.write(work)
		c.node.Counts.Add("files_sync_us", time.Since(began).Microseconds())
		c.do(func() { c.kept(err) })
	})
}

func (c *Control) write(work consensus.Effect) error {
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

func (c *Control) kept(err error) {
	name := "files_synced"
	if err != nil {
		name = "files_refused"
	}
	c.node.Counts.Add(name, 1)
	if isRefused := err != nil; isRefused != c.isRefused {
		c.isRefused = isRefused
		c.log.Warn("disk", "refuses", isRefused, "error", err)
	}
	now := c.node.Now()
	c.pass(c.gate.Done(err == nil, now), now)
}

func (c *Control) carry(effect any) {
	if send, isOne := effect.(consensus.Send); isOne {
		if node, isKnown := c.node.Find(send.To); isKnown {
			c.node.Hub.Send(node.Link, send.Body)
		}
		return
	}
	if answer, isOne := effect.(consensus.Answer); isOne {
		c.mutex.Lock()
		act := c.answers[answer.Token]
		delete(c.answers, answer.Token)
		c.mutex.Unlock()
		if act != nil {
			act(answer)
		}
		return
	}
	if wrote, isOne := effect.(consensus.Wrote); isOne {
		c.node.Counts.Add("state_writes", 1)
		c.publish(wrote.Table)
		return
	}
	if turned, isOne := effect.(consensus.Turned); isOne {
		c.onTurned(turned)
	}
}

func (c *Control) publish(held *store.Table) {
	c.mutex.Lock()
	c.steer.Wrote(held)
	c.mutex.Unlock()
	c.flush()
}

func (c *Control) onTurned(turned consensus.Turned) {
	record := turned.Record
	self := c.node.Place().Name
	c.node.Saw(record)
	role := "witness"
	for named, as := range map[string]string{record.Backup: "backup", record.Primary: "primary"} {
		if named == self {
			role = as
		}
	}
	c.mutex.Lock()
	isNew := c.steer.Turn(record, turned.Table, c.node.Now())
	c.mutex.Unlock()
	c.node.Counts.Add("epochs_seen", 1)
	c.log.Info("epoch", "epoch", record.Epoch, "primary", record.Primary, "backup", record.Backup, "role", role, "why", turned.Why)
	if isNew {
		c.roster()
		c.note("control", "took primacy in epoch "+fmt.Sprint(record.Epoch), turned.Why)
	}
}

func (c *Control) submit(build func(*store.Table) []store.Put, done func(consensus.Answer)) {
	c.mutex.Lock()
	c.token++
	token := c.token
	if done != nil {
		c.answers[token] = done
	}
	c.mutex.Unlock()
	c.do(func() { c.step(consensus.Submit{Token: token, Build: build}) })
}

func (c *Control) isPrimary() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.node.Now() < c.primacy
}

func (c *Control) wallNow() int64 { return c.wall + int64(c.node.Now()-c.wallAt) }

func (c *Control) note(subject, what, evidence string) {
	c.mutex.Lock()
	wall := c.wallNow()
	c.mutex.Unlock()
	c.submit(func(held *store.Table) []store.Put {
		return distribution.EntryPuts(held, wall, subject, what, evidence)
	}, nil)
}

func (c *Control) onAskNews(ask distribution.AskNews, answer func(any)) {
	now := c.node.Now()
	c.mutex.Lock()
	if now >= c.primacy {
		record := c.steer.Record()
		c.mutex.Unlock()
		answer(distribution.News{Record: record})
		return
	}
	c.token++
	c.asks[c.token] = answer
	c.steer.Ask(ask, c.token, now)
	c.mutex.Unlock()
	c.flush()
}

func (c *Control) flush() {
	now := c.node.Now()
	c.mutex.Lock()
	replies := c.steer.Flush(now < c.primacy, c.wallNow(), now)
	answers := make([]func(any), len(replies))
	for at, reply := range replies {
		answers[at] = c.asks[reply.Token]
		delete(c.asks, reply.Token)
	}
	c.mutex.Unlock()
	for at, answer := range answers {
		answer(replies[at].News)
	}
}

const knownFor = 5 * time.Minute

func heardOf(list []node.Heard) []distribution.Heard {
	var all []distribution.Heard
	for _, one := range list {
		all = append(all, distribution.Heard{Instance: one.Instance, At: one.At})
	}
	return all
}

func (c *Control) heard() []distribution.Heard { return heardOf(c.node.Instances(knownFor)) }

func (c *Control) onAskCase(ask message.AskCase) message.CaseAnswer {
	if ask.Database != "" {
		return c.caseOf(ask.Database)
	}
	heard := c.heard()
	now := c.node.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now >= c.primacy {
		return message.CaseAnswer{}
	}
	answer := message.CaseAnswer{IsPrimary: true, Databases: c.steer.Databases(heard)}
	for _, database := range answer.Databases {
		if c.steer.IsSynced(database, heard) {
			answer.Synced = append(answer.Synced, database)
		}
	}
	return answer
}

func (c *Control) caseOf(database string) message.CaseAnswer {
	heard := heardOf(c.node.InstancesOf(database, knownFor))
	now := c.node.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now >= c.primacy {
		return message.CaseAnswer{}
	}
	answer := message.CaseAnswer{IsPrimary: true}
	if c.steer.IsSynced(database, heard) {
		answer.Takeover = c.steer.Takeover(database, heard, c.wallNow(), now)
		return answer
	}
	answer.Case = c.steer.Case(database, heard, c.wallNow(), now)
	return answer
}

func (c *Control) onRecordCase(ask distribution.RecordCase, answer func(any)) {
	c.mutex.Lock()
	wall := c.wallNow()
	c.mutex.Unlock()
	isTaken := false
	c.submit(func(held *store.Table) []store.Put {
		puts := distribution.Record(held, ask, wall)
		isTaken = len(puts) > 0
		return puts
	}, func(done consensus.Answer) { answer(message.Recorded{IsKept: done.IsKept && isTaken}) })
}

func (c *Control) move() {
	now := c.node.Now()
	c.mutex.Lock()
	var writes []distribution.Write
	if now < c.primacy {
		for _, next := range []func(int64, time.Duration) (distribution.Write, bool){c.steer.Enroll, c.steer.Land, c.steer.Tidy} {
			if write, isDue := next(c.wallNow(), now); isDue {
				writes = append(writes, write)
			}
		}
	}
	c.mutex.Unlock()
	for _, write := range writes {
		c.submit(write.Build, func(consensus.Answer) {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			write.Done()
		})
	}
}
