package linepool

import (
	"time"

	"tansyseam/internal/coordination/connquota"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/pool"
)

// Node describes the node that a machine runs on.
type Node struct {
	Name, Zone string
	// Incarnation distinguishes successive processes of a node with the same
	// name.
	Incarnation int64
	// Weight is the node's share of the load relative to the other proxy nodes;
	// 1 is the normal weight.
	Weight float64
}

// Machine is the connection pool of one node. Use New to create one.
type Machine struct {
	pool.Core
	node             Node
	timing           Timing
	windowParameters flowcontrol.Parameters
	databases        pool.Directory[*databaseState]
	instances        pool.Directory[*instanceState]
	// clients holds the client sessions. connecting lists the clients whose
	// connect request has not been answered yet; clients that have disconnected
	// since may still be in it.
	clients      map[*Client]bool
	connecting   []*Client
	clientSerial uint64
	// awaitingLease lists the requests in phaseAwaitingLease in order of
	// arrival. Requests that have ended since may still be in it.
	awaitingLease []*Request
	// listVersion is the version of the node's instance list.
	listVersion distribution.ListVersion
	// quotaNodes are the nodes that share the instances' connections.
	quotaNodes    connquota.Members
	drainStarted  time.Duration
	lastIdleCheck time.Duration
	// lastTickWithLease is the time of the last tick under a lease, or of the
	// first tick if no tick has had a lease yet. ticked is true after the first
	// tick.
	lastTickWithLease time.Duration
	ticked            bool
}

// New returns the pool of a node that has no lease, no bindings and no
// instances yet. It calls count for each counter that increases.
func New(node Node, timing Timing, leases lease.Timing, count pool.Counter) *Machine {
	m := &Machine{
		Core:             pool.NewCore(node.Name, leases, count),
		node:             node,
		timing:           timing,
		windowParameters: flowcontrol.DefaultParameters(),
		clients:          map[*Client]bool{},
	}
	m.windowParameters.Beta = node.Weight
	return m
}

// database returns the state of a database, and creates it if it does not
// exist.
func (m *Machine) database(name string) *databaseState {
	return m.databases.GetOrAdd(name, func() *databaseState { return &databaseState{name: name} })
}

// Tick handles the regular clock event. live holds the names of the live proxy
// nodes, including this one, and weight is this node's weight.
func (m *Machine) Tick(live []string, weight float64, now time.Duration) {
	m.updatePeers(live, weight, now)
	if !m.ticked || m.Routing().HasLease(now) {
		m.ticked, m.lastTickWithLease = true, now
	}
	for _, instance := range m.instances.All() {
		instance.window.Tick(now)
		m.maintainConns(instance, now)
	}
	m.expireRequests(now)
	m.hedgeReads(now)
	m.admitConnecting(now)
	m.closeIdleClients(now)
	m.reportSuspects(now)
	m.dispatchAll(now)
}
