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

// ErrDataDir is returned when the data directory cannot be used.
const ErrDataDir = errors.ConstError("data folder cannot be used")

const (
	// tickInterval is how often the consensus machine is stepped while there are no
	// other events.
	tickInterval = 50 * time.Millisecond
	// taskQueueSize is the maximum number of queued steps of the consensus machine.
	taskQueueSize = 4096
	// fileVersions is how many versions of each stored file are retained.
	fileVersions = 4
	// platformPollTimeout bounds how long a proxy's update request is held open in
	// platform mode.
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

	// The fields up to the mutex are used only on the loop that runs the tasks.

	// tasks are the queued steps of the consensus machine.
	tasks     chan func()
	consensus *consensus.Machine
	// gate delays effects that must wait for a file to be synced.
	gate consensus.SyncGate
	// runOnDisk runs a function that writes files. Until Start it calls the function
	// directly; afterwards a worker for the disk runs the function.
	runOnDisk func(work func())
	// diskFailing is true if the last write of a file failed.
	diskFailing bool
	// peersRefreshedAt is when the consensus machine last received the list of peers.
	peersRefreshedAt time.Duration
	// onReleased, if set, is called once this node no longer holds a role.
	onReleased func()

	mutex sync.Mutex
	// lastToken is the last token given to a submitted write or an update request.
	lastToken uint64
	// writeWaiters holds the callbacks for the outcomes of submitted writes, by token.
	writeWaiters map[uint64]func(consensus.SubmitResult)
	// updateWaiters holds the callbacks for the replies to update requests, by token.
	updateWaiters map[uint64]func(any)
	distributor   *distribution.Machine
	singletons    *singleton.Machine
	// observer holds the results of this node's own commands and promote calls.
	observer *syncrepl.Observer
	// voters are the voters of the newest epoch record that this node has, sorted. The
	// list is empty until the cluster is formed.
	voters []string
	// appliedVersion is the version of this node's replica of the control state.
	appliedVersion store.Version
	// primaryUntil is when this node stops acting as the control primary.
	primaryUntil time.Duration
	// wallNanos is the cluster's wall time in ns since 1970, as of wallReadAt.
	wallNanos  int64
	wallReadAt time.Duration

	// The fields below are used only on the loop that runs runPeriodicWork.

	// registrySweptAt is when instances past their retention were last removed.
	registrySweptAt time.Duration
	// primacyAnnounced is true if the proxies were notified that this node is the
	// control primary.
	primacyAnnounced bool
}

// Open returns a server that uses the files of the configured data directory. The
// error is ErrDataDir if the directory cannot be used. The adapters, if not nil,
// connect the server to synchronously replicated instances and their platform.
func Open(node *node.Node, cfg config.Config, adapters *Adapters) (*Server, error) {
	directory, err := versionfile.OpenDirectory(cfg.DataDir)
	if err != nil {
		return nil, errors.WithType(err, ErrDataDir)
	}
	return OpenOn(node, cfg, directory, adapters)
}

// OpenOn is like Open, but uses the files of the given disk.
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
	s.registerGauges()
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

// Start starts the server's loops. The node must have been started before.
func (s *Server) Start() {
	disk := worker.NewPool(s.node.Workers, "disk", 1, 1, func(work func()) { work() })
	s.runOnDisk = func(work func()) { disk.TrySubmit(work) }
	s.node.Workers.Loop(s.tasks, tickInterval, s.tick)
	s.node.Workers.Loop(nil, singleton.TickInterval, s.runPeriodicWork)
}

// Leave hands this node's role in the epoch over to other nodes. It returns once the
// handover is complete and written to disk, or after the timeout. Singleton roles
// need no handover, because their leases expire.
func (s *Server) Leave(timeout time.Duration) {
	done := make(chan struct{})
	s.enqueue(func() {
		s.onReleased = sync.OnceFunc(func() { close(done) })
		s.step(consensus.Leave{})
	})
	worker.Await(done, timeout)
}
