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
	// Incarnation distinguishes the lives of nodes of one name.
	Incarnation int64
	// Weight is the node's part of the load among the proxy nodes, 1 being
	// ordinary.
	Weight float64
}

// Machine is one node's pool. Use New to make one.
type Machine struct {
	pool.Core
	node             Node
	timing           Timing
	windowParameters flowcontrol.Parameters
	databases        pool.Directory[*databaseState]
	instances        pool.Directory[*instanceState]
	// clients are the sessions, connecting those of them whose connect is not
	// answered yet.
	clients      map[*Client]bool
	connecting   []*Client
	clientSerial uint64
	// awaitingLease are the requests in phaseAwaitingLease, in the order of
	// their arrival, and some that have ended since.
	awaitingLease []*Request
	// listVersion is that of the instance list that the node has.
	listVersion distribution.ListVersion
	// quotaNodes are the nodes with which the instances' connections are
	// shared.
	quotaNodes    connquota.Members
	drainStarted  time.Duration
	lastIdleCheck time.Duration
	// lastTickWithLease is the last tick under a lease; before the first such tick it is
	// the first tick of all. ticked says that there was one.
	lastTickWithLease time.Duration
	ticked            bool
}

// New returns the pool of a node that has no lease and knows no bindings and
// no instances yet. It calls count for each counter that rises.
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

// database returns the state of a database, and adds one that is not known.
func (m *Machine) database(name string) *databaseState {
	return m.databases.GetOrAdd(name, func() *databaseState { return &databaseState{name: name} })
}

// Tick is the regular clock event. It takes the names of the live proxy nodes,
// this one among them, and its weight.
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
