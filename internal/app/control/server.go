package control

import (
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
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
	"tansyseam/internal/transport/worker"
)

// ErrDataDir says that a data directory cannot be used.
const ErrDataDir = errors.ConstError("data folder cannot be used")

const (
	// tickInterval is how often the consensus machine is stepped while nothing
	// else happens.
	tickInterval = 50 * time.Millisecond
	// taskQueueSize bounds the steps of the consensus machine that wait.
	taskQueueSize = 4096
	// fileVersions is how many versions of each stored file are retained.
	fileVersions = 4
	// platformPollTimeout bounds how long a proxy's request for an update is
	// left open in platform mode.
	platformPollTimeout = 500 * time.Millisecond
)

// Server is one node of the control plane.
type Server struct {
	node     *node.Node
	logger   hclog.Logger
	store    *versionfile.Store
	adapters Adapters
	// platform makes the promote calls for asynchronously replicated databases.
	platform *platformClient

	// The fields up to the mutex belong to the loop that runs the tasks.

	// tasks are the steps of the consensus machine that wait.
	tasks     chan func()
	consensus *consensus.Machine
	// gate holds back effects that must wait for a file to be synced.
	gate consensus.SyncGate
	// runOnDisk writes files: on a worker of its own, and until Start at once.
	runOnDisk func(work func())
	// diskFailing says that the last write of a file failed.
	diskFailing bool
	// peersRefreshedAt is when the consensus machine was last told the peers.
	peersRefreshedAt time.Duration
	// onReleased, where set, is called once no role is held any more.
	onReleased func()

	mutex sync.Mutex
	// lastToken is the last one given to a submitted write or a request.
	lastToken uint64
	// writeWaiters take the outcomes of submitted writes, by token.
	writeWaiters map[uint64]func(consensus.SubmitResult)
	// updateWaiters take the replies to requests for an update, by token.
	updateWaiters map[uint64]func(any)
	distributor   *distribution.Machine
	singletons    *singleton.Machine
	// observer is what this node itself learns from instances and platform.
	observer *syncrepl.Observer
	// voters are those of the newest epoch record known, sorted; there are none
	// before the cluster is formed.
	voters []string
	// appliedVersion is that of this node's replica of the control state.
	appliedVersion store.Version
	// primaryUntil is when this node stops to act as the control primary.
	primaryUntil time.Duration
	// wallNanos is the cluster's wall time in ns since 1970, as of wallReadAt.
	wallNanos  int64
	wallReadAt time.Duration

	// These belong to the loop that runs the singletons.

	// registrySweptAt is when instances that no longer count were last removed.
	registrySweptAt time.Duration
	// primacyAnnounced says that the proxies were told of this node's primacy.
	primacyAnnounced bool
}

// Open makes the server with the files of the configured data directory, or
// gives ErrDataDir. The adapters, where given, connect it to synchronously
// replicated instances and their platform.
func Open(node *node.Node, cfg config.Config, adapters *Adapters) (*Server, error) {
	directory, err := versionfile.OpenDirectory(cfg.DataDir)
	if err != nil {
		return nil, errors.WithType(err, ErrDataDir)
	}
	return OpenOn(node, cfg, directory, adapters)
}

// OpenOn does the same with the files of any Disk.
func OpenOn(node *node.Node, cfg config.Config, disk versionfile.Disk, adapters *Adapters) (*Server, error) {
	s := &Server{
		node: node, logger: node.Log, store: versionfile.NewStore(disk, fileVersions), platform: newPlatformClient(node),
		tasks: make(chan func(), taskQueueSize), runOnDisk: func(work func()) { work() },
		writeWaiters: map[uint64]func(consensus.SubmitResult){}, updateWaiters: map[uint64]func(any){},
		observer: syncrepl.NewObserver(cfg.Name),
	}
	if adapters != nil {
		s.adapters = *adapters
	}
	saved, err := consensus.Load(s.store, s.onCorruptFiles)
	if err != nil {
		return nil, errors.WithType(err, ErrDataDir)
	}
	now := node.Now()
	s.consensus = consensus.NewWithBootstrap(cfg.Name, bootstrapConfig(cfg), consensus.DefaultTiming(), saved, now)
	s.singletons = singleton.New(cfg.Name, now)
	s.distributor = distribution.New(cfg.Name, leaseTiming(cfg), s.consensus.Record(), s.consensus.CommittedTable(), now)
	node.ObserveEpoch(s.consensus.Record())
	s.registerHandlers()
	s.registerEndpoints()
	return s, nil
}

func (s *Server) onCorruptFiles(kind string, count int) {
	s.node.Counters.Add("files_unsound", int64(count))
	s.logger.Warn("corrupt files ignored", "kind", kind, "count", count)
}

func bootstrapConfig(cfg config.Config) consensus.BootstrapConfig {
	if cfg.TolerableLosses == 0 {
		return consensus.BootstrapConfig{ExactVoters: cfg.ControlNodes, RequireBackup: true}
	}
	return consensus.BootstrapConfig{
		Voters: 2*cfg.TolerableLosses + 1, MayBootstrap: cfg.Bootstrap, Seeds: cfg.SeedRPCAddresses(), RequireBackup: true,
	}
}

func leaseTiming(cfg config.Config) lease.Timing {
	timing := lease.DefaultTiming()
	timing.ActivationDeadline = cfg.ActivationBound
	if cfg.Mode == config.ModePlatform {
		timing.PollTimeout = platformPollTimeout
	}
	return timing
}

// Start begins to act; the node must have been started.
func (s *Server) Start() {
	disk := worker.NewPool(s.node.Workers, "disk", 1, 1, func(work func()) { work() })
	s.runOnDisk = func(work func()) { disk.TrySubmit(work) }
	s.node.Workers.Loop(s.tasks, tickInterval, s.tick)
	s.node.Workers.Loop(nil, singleton.TickInterval, s.runPeriodicWork)
}

// Leave hands the roles of this node over to others, and waits until that is
// done and written to disk, or until the timeout. Singleton roles expire by
// themselves.
func (s *Server) Leave(timeout time.Duration) {
	done := make(chan struct{})
	s.enqueue(func() {
		s.onReleased = sync.OnceFunc(func() { close(done) })
		s.step(consensus.Leave{})
	})
	worker.Await(done, timeout)
}
