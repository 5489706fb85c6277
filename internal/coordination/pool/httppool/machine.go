package httppool

import (
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/pool"
)

// Node describes the proxy to which the pool belongs. Weight is the proxy's share
// of the instances' capacity relative to other proxies: the beta of flow control.
type Node struct {
	Name        string
	Zone        string
	Incarnation string
	Weight      float64
}

// Machine is the state machine of one node's pool.
type Machine struct {
	pool.Core

	node   Node
	timing Timing

	databases        pool.Directory[*databaseState]
	instances        pool.Directory[*instanceState]
	windowParameters flowcontrol.Parameters
	peers            flowcontrol.PeerCounter

	sessions          map[string]*clientSession
	sessionOrder      []*clientSession
	sessionsByAddress map[string][]*clientSession
	lastSessionNumber uint64
	lastExpiry        time.Duration

	// unanswered holds the requests that have been accepted and not answered.
	unanswered        map[*Request]bool
	lastRequestNumber uint64
	awaitingLease     []*Request
	requestLog        *idempotency.Machine
	lookups           lookups

	jitterCount uint64
}

// New returns the pool of a node that has just started. The pool calls count
// whenever it increments a counter.
func New(node Node, timing Timing, count func(name string, by int64)) *Machine {
	m := &Machine{
		Core:              pool.NewCore(node.Name, lease.DefaultTiming(), count),
		node:              node,
		timing:            timing,
		windowParameters:  flowcontrol.DefaultParameters(),
		peers:             flowcontrol.PeerCounter{Max: 1},
		sessions:          map[string]*clientSession{},
		sessionsByAddress: map[string][]*clientSession{},
		unanswered:        map[*Request]bool{},
		requestLog:        idempotency.New(node.Name, node.Incarnation, idempotency.DefaultTiming()),
		lookups:           newLookups(),
	}
	m.windowParameters.Beta = node.Weight
	return m
}

// RequestLog returns the node's records of request ids.
func (m *Machine) RequestLog() *idempotency.Machine { return m.requestLog }

// Tick handles everything that depends on the passage of time, and must be called
// at short, regular intervals. liveProxies is the number of live proxies, including
// this one. weight is the weight of this node.
func (m *Machine) Tick(liveProxies int, weight float64, now time.Duration) {
	m.updatePeers(liveProxies, weight, now)
	for _, instance := range m.instances.All() {
		instance.window.Tick(now)
		m.closeOverdue(instance, now)
	}
	m.expireSessions(now)
	m.retryLookups(now)
	m.dispatchAll(now)
}

func (m *Machine) database(name string) *databaseState {
	return m.databases.GetOrAdd(name, func() *databaseState { return &databaseState{name: name} })
}

// jitterSteps is the number of different delays that jitter returns in rotation.
const jitterSteps = 16

// jitter returns a delay that differs from call to call, so that clients that are
// rejected at the same time do not retry at the same time.
func (m *Machine) jitter(step time.Duration) time.Duration {
	m.jitterCount++
	return time.Duration(m.jitterCount%jitterSteps) * step
}
