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
	"tansyseam/internal/coordination/audit"
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
const ErrDataDir = errors.ConstError("data folder cannot be used")

// Control is the program's state.
type Server struct {
	node   *node.Node
	logger hclog.Logger
	store  *versionfile.Store

	tasks       chan func()
	consensus   *consensus.Machine
	gate        consensus.SyncGate
	runOnDisk   func(work func())
	diskFailing bool
	// onFree is called once no role is held, where the program is to end.
	onReleased func()

	mutex            sync.Mutex
	writeWaiters     map[uint64]func(consensus.SubmitResult)
	lastToken        uint64
	distributor      *distribution.Machine
	voters           []string
	appliedStamp     store.Version
	primaryUntil     time.Duration
	wallReadAt       time.Duration
	wall             int64
	updateWaiters    map[uint64]func(any)
	singletons       *singleton.Machine
	evidence         *syncrepl.Observer
	registrySweptAt  time.Duration
	peersRefreshedAt time.Duration
	primacyAnnounced bool
	adapters         Adapters
}

// Open reads the data folder and makes the program; seams tells, where given,
// how the platform and synced instances are spoken to.
func Open(node *node.Node, cfg config.Config, adapters *Adapters) (*Server, error) {
	folder, err := versionfile.OpenDirectory(cfg.DataDir)
	if err != nil {
		return nil, errors.WithType(err, ErrDataDir)
	}
	return OpenOn(node, cfg, folder, adapters)
}

// OpenOn does the same on any Disk.
func OpenOn(node *node.Node, cfg config.Config, disk versionfile.Disk, adapters *Adapters) (*Server, error) {
	s := &Server{
		node: node, logger: node.Log, store: versionfile.NewStore(disk, 4), runOnDisk: func(work func()) { work() },
		tasks: make(chan func(), 4096), writeWaiters: map[uint64]func(consensus.SubmitResult){},
		updateWaiters: map[uint64]func(any){},
		evidence:      syncrepl.NewObserver(cfg.Name),
	}
	if adapters != nil {
		s.adapters = *adapters
	}
	saved, err := consensus.Load(s.store, func(kind string, passed int) {
		node.Counters.Add("files_unsound", int64(passed))
		node.Log.Warn("unsound files passed over", "kind", kind, "count", passed)
	})
	if err != nil {
		return nil, errors.WithType(err, ErrDataDir)
	}
	now := node.Now()
	s.consensus = consensus.NewWithBootstrap(cfg.Name, foundingOf(cfg), consensus.DefaultTiming(), saved, now)
	s.singletons = singleton.New(cfg.Name, now)
	s.distributor = distribution.New(cfg.Name, leaseTiming(cfg), s.consensus.Record(), s.consensus.CommittedTable(), now)
	node.ObserveEpoch(s.consensus.Record())
	s.registerHandlers()
	s.registerEndpoints()
	return s, nil
}

func foundingOf(cfg config.Config) consensus.BootstrapConfig {
	if cfg.TolerableLosses == 0 {
		return consensus.BootstrapConfig{ExactVoters: cfg.ControlNodes, RequireBackup: true}
	}
	return consensus.BootstrapConfig{Voters: 2*cfg.TolerableLosses + 1, MayBootstrap: cfg.Bootstrap, Seeds: cfg.SeedRPCAddresses(), RequireBackup: true}
}

const platformQuietPeriod = 500 * time.Millisecond

func leaseTiming(cfg config.Config) lease.Timing {
	timing := lease.DefaultTiming()
	timing.ActivationDeadline = cfg.ActivationBound
	if cfg.Mode == config.ModePlatform {
		timing.PollTimeout = platformQuietPeriod
	}
	return timing
}

const (
	tickInterval         = 50 * time.Millisecond
	peersRefreshInterval = 300 * time.Millisecond
)

// Start begins to act; the node must have been started.
func (s *Server) Start() {
	stage := worker.NewPool(s.node.Workers, "disk", 1, 1, func(work func()) { work() })
	s.runOnDisk = func(work func()) { stage.TrySubmit(work) }
	s.node.Workers.Loop(s.tasks, tickInterval, s.tick)
	s.node.Workers.Loop(nil, singleton.TickInterval, s.runSingletons)
}

func (s *Server) registerHandlers() {
	s.node.HandleMessages(consensus.Messages(), func(from string, body any, _ func(any)) {
		s.enqueue(func() { s.step(consensus.Received{From: from, Body: body}) })
	})
	node.HandleMessage(s.node, func(from string, ask proposal.VoteRequest, answer func(any)) {
		s.mutex.Lock()
		vote := s.singletons.OnVoteRequest(from, ask, s.node.Now())
		s.mutex.Unlock()
		answer(vote)
	})
	node.HandleMessage(s.node, func(_ string, ask distribution.UpdateRequest, answer func(any)) { s.onUpdateRequest(ask, answer) })
	node.HandleMessage(s.node, func(_ string, report distribution.NodeReport, _ func(any)) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.distributor.HandleReport(report, s.node.Now())
	})
	node.HandleMessage(s.node, func(_ string, call message.InstanceAnnouncement, answer func(any)) {
		answer(s.acceptAnnouncement(call.Instance))
	})
	node.HandleMessage(s.node, func(_ string, mark syncrepl.ReportBound, _ func(any)) { s.confirmPosition(mark) })
	s.node.OnSyncedAnnouncement(s.onSyncAnnouncement)
	node.HandleMessage(s.node, func(_ string, ask message.EvidenceRequest, answer func(any)) { answer(s.onEvidenceRequest(ask)) })
	node.HandleMessage(s.node, func(_ string, record distribution.WriterRoleChange, answer func(any)) {
		s.onRecordDecision(record, answer)
	})
	node.HandleMessage(s.node, func(_ string, call message.OperatorCall, answer func(any)) { s.onOperate(call, answer) })
	node.HandleMessage(s.node, func(_ string, query message.QueryRequest, answer func(any)) {
		answer(message.QueryResponse{Body: s.report(query.What)})
	})
}

func (s *Server) enqueue(work func()) {
	select {
	case s.tasks <- work:
	case <-s.node.Workers.Stopping():
	}
}

func (s *Server) tick() {
	if now := s.node.Now(); now >= s.peersRefreshedAt+peersRefreshInterval {
		s.peersRefreshedAt = now
		peers := consensus.Peers{ByAddress: map[string]string{}, Zones: map[string]string{}}
		for _, node := range s.node.Nodes(model.KindControl, membership.StatusLive, membership.StatusDead) {
			peers.Names = append(peers.Names, node.Name)
			peers.ByAddress[node.RPCAddress] = node.Name
			peers.Zones[node.Name] = node.Zone
		}
		slices.Sort(peers.Names)
		s.step(peers)
	}
	s.step(consensus.Tick{WallNanos: time.Now().UnixNano(), SyncPending: s.gate.SyncPending(s.node.Now())})
}

func (s *Server) step(event any) {
	now := s.node.Now()
	s.applyEffects(s.gate.Pass(s.consensus.Step(event, now), now), now)
}

// pass lowers primacy before the effects are carried out, and raises it after
// them, once what a change of role rests on is synced.
func (s *Server) applyEffects(effects []consensus.Effect, now time.Duration) {
	primacy := time.Duration(0)
	if s.consensus.IsPrimary(now) {
		primacy = s.consensus.LeaseUntil()
	}
	s.mutex.Lock()
	s.primaryUntil = min(s.primaryUntil, primacy)
	s.wall, s.wallReadAt = s.consensus.WallNanos(now), now
	s.distributor.SetClockTrusted(s.consensus.IsClockConfirmed())
	s.voters = s.consensus.Voters()
	s.singletons.SetVoters(s.consensus.Electorate(), now)
	s.appliedStamp = s.consensus.ReplicaTable().Version
	s.mutex.Unlock()
	for _, effect := range effects {
		s.execute(effect)
	}
	if !s.gate.IsEpochChangeBlocked() {
		s.mutex.Lock()
		s.primaryUntil = primacy
		s.mutex.Unlock()
	}
	s.startDiskWrite(now)
	s.checkReleased(now)
}

func (s *Server) startDiskWrite(now time.Duration) {
	work, due := s.gate.Next(now)
	if !due {
		return
	}
	s.runOnDisk(func() {
		began := time.Now()
		err := s.writeToDisk(work)
		s.node.Counters.Add("files_sync_us", time.Since(began).Microseconds())
		s.enqueue(func() { s.onDiskWritten(err) })
	})
}

func (s *Server) writeToDisk(work consensus.Effect) error {
	if save, ok := work.(consensus.Save); ok {
		return s.store.Put(save.Kind, save.Sequence, save.Data)
	}
	for _, kind := range consensus.FileKinds() {
		if err := s.store.RemoveCorrupt(kind); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) onDiskWritten(err error) {
	name := "files_synced"
	if err != nil {
		name = "files_refused"
	}
	s.node.Counters.Add(name, 1)
	if failing := err != nil; failing != s.diskFailing {
		s.diskFailing = failing
		s.logger.Warn("disk", "refuses", failing, "error", err)
	}
	now := s.node.Now()
	s.applyEffects(s.gate.Done(err == nil, now), now)
}

func (s *Server) execute(effect any) {
	if send, ok := effect.(consensus.Send); ok {
		if node, known := s.node.FindNode(send.To); known {
			s.node.Hub.Send(node.RPCAddress, send.Body)
		}
		return
	}
	if answer, ok := effect.(consensus.SubmitResult); ok {
		s.mutex.Lock()
		act := s.writeWaiters[answer.Token]
		delete(s.writeWaiters, answer.Token)
		s.mutex.Unlock()
		if act != nil {
			act(answer)
		}
		return
	}
	if wrote, ok := effect.(consensus.TableCommitted); ok {
		s.node.Counters.Add("state_writes", 1)
		s.publish(wrote.Table)
		return
	}
	if event, ok := effect.(consensus.EpochChanged); ok {
		s.onEpochChanged(event)
	}
}

func (s *Server) publish(stateTable *store.Table) {
	s.mutex.Lock()
	s.distributor.Publish(stateTable)
	s.mutex.Unlock()
	s.flushUpdates()
}

func (s *Server) onEpochChanged(event consensus.EpochChanged) {
	record := event.Record
	self := s.node.Config().Name
	s.node.ObserveEpoch(record)
	role := "witness"
	for named, as := range map[string]string{record.Backup: "backup", record.Primary: "primary"} {
		if named == self {
			role = as
		}
	}
	s.mutex.Lock()
	changed := s.distributor.EpochChanged(record, event.Table, s.node.Now())
	s.mutex.Unlock()
	s.node.Counters.Add("epochs_seen", 1)
	s.logger.Info("epoch", "epoch", record.Epoch, "primary", record.Primary, "backup", record.Backup, "role", role, "why", event.Reason)
	if changed {
		s.refreshRegistry()
		s.recordEvent("control", "took primacy in epoch "+fmt.Sprint(record.Epoch), event.Reason)
	}
}

func (s *Server) submit(build func(*store.Table) []store.Put, done func(consensus.SubmitResult)) {
	s.mutex.Lock()
	s.lastToken++
	token := s.lastToken
	if done != nil {
		s.writeWaiters[token] = done
	}
	s.mutex.Unlock()
	s.enqueue(func() { s.step(consensus.Submit{Token: token, Build: build}) })
}

func (s *Server) isPrimary() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.node.Now() < s.primaryUntil
}

func (s *Server) wallNow() int64 { return s.wall + int64(s.node.Now()-s.wallReadAt) }

func (s *Server) recordEvent(subject, what, evidence string) {
	s.mutex.Lock()
	wallTime := s.wallNow()
	s.mutex.Unlock()
	s.submit(func(stateTable *store.Table) []store.Put {
		return audit.Puts(stateTable, model.AuditEntry{At: wallTime, Subject: subject, Action: what, Evidence: evidence})
	}, nil)
}

func (s *Server) onUpdateRequest(ask distribution.UpdateRequest, answer func(any)) {
	now := s.node.Now()
	s.mutex.Lock()
	if now >= s.primaryUntil {
		record := s.distributor.Record()
		s.mutex.Unlock()
		answer(distribution.Update{Record: record})
		return
	}
	s.lastToken++
	s.updateWaiters[s.lastToken] = answer
	s.distributor.HandleRequest(ask, s.lastToken, now)
	s.mutex.Unlock()
	s.flushUpdates()
}

func (s *Server) flushUpdates() {
	now := s.node.Now()
	s.mutex.Lock()
	replies := s.distributor.Flush(now < s.primaryUntil, s.wallNow(), now)
	answers := make([]func(any), len(replies))
	for at, reply := range replies {
		answers[at] = s.updateWaiters[reply.Token]
		delete(s.updateWaiters, reply.Token)
	}
	s.mutex.Unlock()
	for at, answer := range answers {
		answer(replies[at].Update)
	}
}

const instanceRetention = 5 * time.Minute

func observationsOf(list []node.AnnouncedInstance) []distribution.Observation {
	var all []distribution.Observation
	for _, one := range list {
		all = append(all, distribution.Observation{Instance: one.Instance, ObservedAt: one.AnnouncedAt})
	}
	return all
}

func (s *Server) observations() []distribution.Observation {
	return observationsOf(s.node.Instances(instanceRetention))
}

func (s *Server) onEvidenceRequest(ask message.EvidenceRequest) message.EvidenceResponse {
	if ask.Database != "" {
		return s.evidenceFor(ask.Database)
	}
	observed := s.observations()
	now := s.node.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now >= s.primaryUntil {
		return message.EvidenceResponse{}
	}
	answer := message.EvidenceResponse{FromPrimary: true, Databases: s.distributor.Databases(observed)}
	for _, database := range answer.Databases {
		if s.distributor.UsesSyncReplication(database, observed) {
			answer.SyncedDatabases = append(answer.SyncedDatabases, database)
		}
	}
	return answer
}

func (s *Server) evidenceFor(database string) message.EvidenceResponse {
	observed := observationsOf(s.node.DatabaseInstances(database, instanceRetention))
	now := s.node.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now >= s.primaryUntil {
		return message.EvidenceResponse{}
	}
	answer := message.EvidenceResponse{FromPrimary: true}
	if s.distributor.UsesSyncReplication(database, observed) {
		answer.SyncedEvidence = s.distributor.SyncFailoverEvidence(database, observed, s.wallNow(), now)
		return answer
	}
	answer.Evidence = s.distributor.AsyncFailoverEvidence(database, observed, s.wallNow(), now)
	return answer
}

func (s *Server) onRecordDecision(ask distribution.WriterRoleChange, answer func(any)) {
	s.mutex.Lock()
	wallTime := s.wallNow()
	s.mutex.Unlock()
	accepted := false
	s.submit(func(stateTable *store.Table) []store.Put {
		puts := distribution.WriterRolePuts(stateTable, ask, wallTime)
		accepted = len(puts) > 0
		return puts
	}, func(done consensus.SubmitResult) { answer(message.RecordResult{Stored: done.Committed && accepted}) })
}

func (s *Server) runMaintenance() {
	now := s.node.Now()
	s.mutex.Lock()
	var writes []distribution.Write
	if now < s.primaryUntil {
		for _, next := range []func(int64, time.Duration) (distribution.Write, bool){s.distributor.RegisterNodes, s.distributor.NextActivation, s.distributor.NextCollection} {
			if write, due := next(s.wallNow(), now); due {
				writes = append(writes, write)
			}
		}
	}
	s.mutex.Unlock()
	for _, write := range writes {
		s.submit(write.Build, func(consensus.SubmitResult) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			write.Done()
		})
	}
}
