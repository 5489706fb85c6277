package simulation

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
)

const (
	controlStartDelay    = time.Millisecond
	controlTickInterval  = 20 * time.Millisecond
	singletonsStartDelay = 5 * time.Millisecond
	// keptFileVersions is the number of versions of each file that a control
	// server keeps.
	keptFileVersions = 4
)

// controlServer is a control server. It runs the product's consensus,
// distribution and singleton state machines on a simulated disk.
type controlServer struct {
	machine
	plane       *controlPlane
	disk        *disk
	store       *versionfile.Store
	consensus   *consensus.Machine
	distributor *distribution.Machine
	singleton   *singleton.Machine
	// syncFailover holds the server's observations of instances that replicate
	// synchronously.
	syncFailover *syncrepl.Observer
	// announcements has the newest announcement of each instance, by name.
	announcements map[string]distribution.Observation

	gate consensus.SyncGate
	// primacyUntil is the time on the server's clock at which its lease as
	// primary ends.
	primacyUntil time.Duration
	// pendingWrites and pendingUpdates have the callbacks of writes and of
	// requests for updates that are not yet answered, by token.
	pendingWrites  map[uint64]func(consensus.SubmitResult)
	pendingUpdates map[uint64]func(distribution.Update)
	lastToken      uint64
	// lastAwaited has, by database, the number of the last awaited answer. It is
	// incremented when the wait begins and when it ends.
	lastAwaited map[string]int
	// writesUntilCrash is the number of the upcoming write before which the
	// server crashes. 0 means that it does not crash.
	writesUntilCrash int
	// joinedLater is true if the server was added after the fleet was formed.
	joinedLater bool
}

func (c *controlServer) start() {
	c.markStarted()
	c.gate, c.primacyUntil = consensus.SyncGate{}, 0
	c.pendingWrites = map[uint64]func(consensus.SubmitResult){}
	c.pendingUpdates = map[uint64]func(distribution.Update){}
	c.announcements = map[string]distribution.Observation{}
	c.lastAwaited = map[string]int{}
	c.syncFailover = syncrepl.NewObserver(c.name)
	c.store = versionfile.NewStore(c.disk, keptFileVersions)
	saved, err := consensus.Load(c.store, func(kind string, skipped int) {
		c.simulator.record("%s skipped corrupt files: %d %s", c.name, skipped, kind)
	})
	if err != nil {
		c.simulator.record("%s cannot read its disk: %v", c.name, err)
		c.running = false
		return
	}
	now := c.clock()
	c.consensus = consensus.NewWithBootstrap(c.name, c.bootstrapConfig(), consensus.DefaultTiming(), saved, now)
	c.distributor = distribution.New(c.name, lease.DefaultTiming(), c.consensus.Record(), c.consensus.CommittedTable(), now)
	c.singleton = singleton.New(c.name, now)
	c.simulator.record("%s up", c.name)
	c.after(controlStartDelay, c.tick)
	c.after(singletonsStartDelay, c.runSingletons)
}

func (c *controlServer) bootstrapConfig() consensus.BootstrapConfig {
	config := consensus.BootstrapConfig{ExactVoters: c.plane.foundingServers, RequireBackup: true}
	if c.joinedLater {
		config.ExactVoters = 0
	}
	return config
}

func (c *controlServer) isPrimary() bool { return c.clock() < c.primacyUntil }

// wallNow returns the wall time of the server's consensus machine, in Unix
// nanoseconds.
func (c *controlServer) wallNow() int64 { return c.consensus.WallNanos(c.clock()) }

func (c *controlServer) tick() {
	names := controlNames(c.plane.controls)
	slices.Sort(names)
	c.step(consensus.Peers{Names: names})
	c.step(consensus.Tick{WallNanos: c.wallClock(), SyncPending: c.gate.SyncPending(c.clock())})
	c.after(controlTickInterval, c.tick)
}

// step passes an event to the consensus machine. Effects that depend on a disk
// sync wait in the gate.
func (c *controlServer) step(event any) {
	c.applyEffects(c.gate.Pass(c.consensus.Step(event, c.clock()), c.clock()))
}

// applyEffects carries out effects. It shortens primacy before the effects. It
// extends primacy only after them, because they may belong to a change of epoch,
// and not while a change of epoch waits in the gate.
func (c *controlServer) applyEffects(effects []consensus.Effect) {
	leaseUntil := time.Duration(0)
	if c.consensus.IsPrimary(c.clock()) {
		leaseUntil = c.consensus.LeaseUntil()
	}
	c.primacyUntil = min(c.primacyUntil, leaseUntil)
	c.singleton.SetVoters(c.consensus.Electorate(), c.clock())
	for _, effect := range effects {
		c.applyEffect(effect)
	}
	if !c.gate.IsEpochChangeBlocked() {
		c.primacyUntil = leaseUntil
	}
	c.startWrite()
}

func (c *controlServer) applyEffect(effect consensus.Effect) {
	if send, ok := effect.(consensus.Send); ok {
		c.sendToControl(send)
		return
	}
	if result, ok := effect.(consensus.SubmitResult); ok {
		c.finishSubmit(result)
		return
	}
	if committed, ok := effect.(consensus.TableCommitted); ok {
		c.distributor.Publish(committed.Table)
		c.plane.recorder.addServedSets(c.name, c.distributor.Snapshot().Sets, c.simulator.now)
		c.flushUpdates()
		return
	}
	if changed, ok := effect.(consensus.EpochChanged); ok {
		record := changed.Record
		c.simulator.record("%s epoch %d primary %s backup %s: %s", c.name, record.Epoch, record.Primary, record.Backup, changed.Reason)
		c.distributor.EpochChanged(record, changed.Table, c.clock())
	}
}

func (c *controlServer) sendToControl(send consensus.Send) {
	target := c.plane.findControl(send.To)
	c.simulator.send(&c.machine, &target.machine, func() {
		target.step(consensus.Received{From: c.name, Body: send.Body})
	})
}

// submit submits a write of the table. done is called with the result, unless
// the server crashes.
func (c *controlServer) submit(build func(*store.Table) []store.Put, done func(consensus.SubmitResult)) {
	c.lastToken++
	token := c.lastToken
	c.pendingWrites[token] = done
	c.step(consensus.Submit{Token: token, Build: build})
}

func (c *controlServer) finishSubmit(result consensus.SubmitResult) {
	done := c.pendingWrites[result.Token]
	delete(c.pendingWrites, result.Token)
	if done != nil {
		done(result)
	}
}

// onUpdateRequest answers a node's request for an update, at once or as soon as
// there is an update.
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

func (c *controlServer) flushUpdates() {
	c.distributor.SetClockTrusted(c.consensus.IsClockConfirmed())
	for _, reply := range c.distributor.Flush(c.isPrimary(), distribution.IdleLinks{}, c.wallNow(), c.clock()) {
		answer := c.pendingUpdates[reply.Token]
		delete(c.pendingUpdates, reply.Token)
		answer(reply.Update)
	}
}

// submitDueWrites submits the due writes of the distributor, if the server is
// primary.
func (c *controlServer) submitDueWrites() {
	if !c.isPrimary() {
		c.distributor.RejectDepartures().Reply(false)
		return
	}
	c.writeDepartures()
	sources := []func(int64, time.Duration) (distribution.Write, bool){
		c.distributor.RegisterNodes, c.distributor.NextActivation, c.distributor.NextCollection,
	}
	for _, next := range sources {
		if write, due := next(c.wallNow(), c.clock()); due {
			c.submit(write.Build, func(consensus.SubmitResult) { write.Done() })
		}
	}
}

// announcementsByName returns the announcements sorted by instance name.
func (c *controlServer) announcementsByName() []distribution.Observation {
	var list []distribution.Observation
	for _, name := range slices.Sorted(maps.Keys(c.announcements)) {
		list = append(list, c.announcements[name])
	}
	return list
}
