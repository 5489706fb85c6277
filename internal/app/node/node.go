package node

import (
	"maps"
	"net/http"
	"os"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"tansyseam/internal/app/config"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/rpc"
	"tansyseam/internal/transport/worker"
)

// stopTimeout is how long Stop waits for the workers.
const stopTimeout = 2 * time.Second

// Node is one process of the cluster.
type Node struct {
	Workers  *worker.Group
	Counters *worker.Counters
	Log      hclog.Logger
	Hub      *rpc.Hub
	Schemas  *schema.Validator
	// Program is the kind of the node, model.KindControl or model.KindProxy.
	Program string
	// Translate, if set, translates calls of another API to calls of the product's
	// own API.
	Translate adapter.TranslateFunc

	// mutex guards the fields of this block.
	mutex          sync.Mutex
	membership     *membership.Machine
	instances      instanceTable
	epochRecord    consensus.Record
	primaryChanged chan struct{}
	config         config.Config
	nodesByName    map[string]model.Node
	nodesByNameAt  time.Duration

	// The fields of this block are set before the addresses are opened and only read
	// afterwards.
	callHandlers         map[string]CallHandler
	messageHandlers      map[reflect.Type]MessageHandler
	onDisconnect         func(remoteAddress string)
	onInstance           func(model.Instance)
	onSyncedAnnouncement SyncedAnnouncementHandler
	gauges               map[string]func() int64

	server  *httpserver.Server
	stopped atomic.Bool
}

// New returns a node with handlers for the calls that both programs have in common.
// New does not open the node's addresses; Start does.
func New(program string, nodeConfig config.Config, log hclog.Logger) (*Node, error) {
	message.Register()
	schemas, err := schema.NewValidator()
	if err != nil {
		return nil, errors.Trace(err)
	}
	self := model.Node{
		Name:        nodeConfig.Name,
		Kind:        program,
		Zone:        nodeConfig.Zone,
		RPCAddress:  nodeConfig.AdvertiseRPCAddress,
		HTTPAddress: nodeConfig.AdvertiseHTTPAddress,
		Incarnation: time.Now().UnixNano(),
		Version:     rpc.ProtocolVersion,
		Weight:      nodeConfig.Weight,
	}
	n := &Node{
		Workers:         worker.NewGroup(),
		Counters:        &worker.Counters{},
		Log:             log,
		Schemas:         schemas,
		Program:         program,
		membership:      membership.New(self, nodeConfig.SeedRPCAddresses(), membership.DefaultTiming()),
		instances:       newInstanceTable(),
		primaryChanged:  make(chan struct{}),
		config:          nodeConfig,
		callHandlers:    map[string]CallHandler{},
		messageHandlers: map[reflect.Type]MessageHandler{},
		gauges:          map[string]func() int64{},
	}
	n.HandleCall("/v1/announce", n.onAnnounce)
	n.HandleCall("/v1/counters", n.onCounters)
	HandleMessage(n, n.onGossip)
	HandleMessage(n, n.onEpochChanged)
	return n, nil
}

// Start opens the RPC and HTTP addresses and starts sending heartbeats.
func (n *Node) Start() error {
	nodeConfig := n.Config()
	n.Hub = rpc.NewHub(nodeConfig.Name, nodeConfig.RPCAddress, n.Workers, n.Counters, n.dispatchMessage)
	n.addResourceGauges()
	if err := n.Hub.Listen(); err != nil {
		return errors.Trace(err)
	}
	n.stepMembership(membership.Tick{})
	n.Workers.Loop(nil, membership.DefaultTiming().HeartbeatInterval, func() { n.stepMembership(membership.Tick{}) })
	server, err := httpserver.Listen(nodeConfig.HTTPAddress, http.HandlerFunc(n.serveHTTP), n.onDisconnect)
	if err != nil {
		return errors.Trace(err)
	}
	n.server = server
	n.Workers.Loop(nil, resourceLogInterval, n.logResources)
	n.Log.Info("node started", "rpc_address", nodeConfig.RPCAddress, "http_address", nodeConfig.HTTPAddress,
		"zone", nodeConfig.Zone, "version", config.Version, "pid", os.Getpid())
	return nil
}

// Leave marks the node as shutting down. Its heartbeats report this to the other
// nodes.
func (n *Node) Leave() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.membership.Leave()
}

// Stop closes the node's addresses and connections and ends its workers.
func (n *Node) Stop() {
	n.stopped.Store(true)
	n.server.Close()
	n.Workers.Stop(stopTimeout)
	n.Hub.Close()
}

// Now returns the node's monotonic time.
func (n *Node) Now() time.Duration { return n.Workers.Now() }

// Config returns the configuration in force.
func (n *Node) Config() config.Config {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.config
}

// Reconfigure replaces the configuration. Of the node's own settings, the seeds
// and the weight take effect at once.
func (n *Node) Reconfigure(nodeConfig config.Config) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.config = nodeConfig
	n.membership.Reconfigure(nodeConfig.SeedRPCAddresses(), nodeConfig.Weight)
}

func (n *Node) onCounters(*fastjson.Value, []byte, *http.Request) (int, any) {
	counters := n.Counters.Snapshot()
	maps.Copy(counters, n.readGauges())
	return http.StatusOK, countersResponse{Counters: counters, Node: n.Self().Name}
}
