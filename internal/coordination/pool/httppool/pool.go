// Package httppool is the machine by which a data-plane node carries consumers'
// statements: the consumers and what state they hold at an instance, the
// lines in which statements wait, the windows and connections of the
// instances, what each statement came to, and the drain. Each method is one
// event; Effects gives what it caused, to be carried out in order.
package httppool

import (
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/symbol"
)

// Timing holds the machine's bounds.
type Timing struct {
	// Deadline is that of a request that names none.
	DefaultDeadline time.Duration
	// Grace is how long work at a leaving instance may still last.
	LeaveGrace time.Duration
	// Reap is when a connection is shut whose statement nobody waits for.
	AbandonedTimeout time.Duration
	// Inside is how long a transaction may lie idle, Idle a consumer.
	IdleInTransaction, SessionIdleTimeout time.Duration
	// Shed is how long a statement waits for a connection before one is taken
	// from the consumer whose state has lain idle there longest, and the least
	// that it must have lain idle; Spare is how long it must have, unless the
	// statement has waited that long.
	ReclaimAfter, ReclaimMinIdle time.Duration
	// RestFirst and RestMost bound the rest after a connection was refused.
	BackoffMin, BackoffMax time.Duration
	// Line, Consumers and Seeks bound a line, the node's consumers, and the
	// asks that are out at one other node.
	MaxQueue, MaxSessions, MaxLookups int
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		DefaultDeadline: 5 * time.Second, LeaveGrace: 5 * time.Second, AbandonedTimeout: 10 * time.Second, IdleInTransaction: 10 * time.Second,
		SessionIdleTimeout: 30 * time.Minute, ReclaimAfter: 200 * time.Millisecond, ReclaimMinIdle: 800 * time.Millisecond, BackoffMin: 100 * time.Millisecond, BackoffMax: time.Second,
		MaxQueue: 4096, MaxSessions: 20000, MaxLookups: 64,
	}
}

// Acts that a connection can carry.
const (
	OpOpen     = "open"
	OpRun      = "run"
	OpBegin    = "begin"
	OpCommit   = "commit"
	OpRollback = "rollback"
	OpSet      = "set"
	OpPrepare  = "prepare"
)

// Op is one request to an instance.
type Op struct {
	Kind      string
	Text      string
	Prepared  string
	Arguments []string
	Write     bool
	Name      string
	Value     string
	RequestID string
	Term      uint64
}

// Reply is what an instance answered.
type Reply struct {
	// IsRefused says that the instance did not begin on it.
	Rejected bool
	// IsFailed says that it ran and failed, keeping nothing.
	Failed   bool
	Error    string
	Rows     []byte
	Position model.Position
	// IsClean says that the connection holds no state.
	Clean bool
	// IsInside says that a transaction is open.
	InTransaction bool
	Role          string
	Term          uint64
	Incarnation   string
	Leaving       bool
}

// Outcomes as consumers are told them.
const (
	OutcomeCommitted    = "kept"
	OutcomeNotCommitted = "not_kept"
	OutcomeUnknown      = "unknown"
	OutcomeRead         = "read"
	OutcomeDone         = "done"
)

// Causes for which nothing was done.
const (
	CauseNoSession        = "no such session"
	CauseSessionBusy      = "session busy"
	CauseNoBinding        = "no such binding"
	CauseNoTransaction    = "no such transaction"
	CauseInvalidRequestID = "bad go"
	CauseStatementFailed  = "failed at the instance"
	CauseNotReady         = "not ready"
)

// Result is what a consumer is told.
type Result struct {
	Outcome  string
	Rows     []byte
	Position model.Position
	Error    string
	// Cause, where given, says why nothing was done, other than for want of
	// time or room.
	Cause           string
	SessionClosed   bool
	RetryAfter      time.Duration
	Instance        string
	BindingSequence uint64
	// Marks is the consumer's furthest position for each database.
	MinPositions map[string]model.Position
}

// Effects.
type (
	// Effect is one of the types below.
	Effect any
	// Tell ends a request.
	Respond struct {
		Request *Request
		Result  Result
	}
	// Admit passes a request on to its line: Join.
	Enqueue struct{ Request *Request }
	// Forward passes it on towards its instance: Pass.
	Forward struct{ Request *Request }
	// Send sends it.
	Send struct {
		Request *Request
		Conn    *Conn
		Op      Op
	}
	// Open opens a connection: Opened.
	OpenConn struct {
		Conn    *Conn
		Address string
	}
	// Shut closes one.
	CloseConn struct{ Conn *Conn }
	// Seek asks another node what became of a go: Heard.
	Lookup struct {
		Request *Request
		Node    string
	}
	// Watch begins to follow an instance's position.
	Watch struct{ Instance string }
	// Report tells the control primary what is seen, before the next ask.
	Report struct{}
	// Turned tells a writer role that moved, Shown a set come in force.
	WriterChanged     struct{ Change routing.WriterRoleChanged }
	BindingsActivated struct{ Sequence uint64 }
)

type phase int

const (
	phaseNew phase = iota
	phaseAwaitingLease
	phaseLookup
	phaseAwaitingFirst
	phaseQueued
	phaseAssigned
	phaseInFlight
	phaseUnconfirmed
	phaseDone
)

// Job is one request on its way.
type Request struct {
	// Token belongs to whoever brought the request.
	Token            any
	op               Op
	session          *clientSession
	databaseName     string
	bindingSequence  uint64
	freshness        time.Duration
	strict           bool
	pinned           bool
	inTransaction    bool
	minPosition      model.Position
	arrivedAt        time.Duration
	deadline         time.Duration
	phase            phase
	responded        bool
	abandoned        bool
	lookupCount      int
	lookupNode       string
	conn             *Conn
	instance         *instanceState
	term             uint64
	sentAt           time.Duration
	executedAt       time.Duration
	position         model.Position
	assignedPosition model.Position
	rows             []byte
}

// Deadline is when the request is given up.
func (request *Request) Deadline() time.Duration { return request.deadline }

// Go is the id of the request's go.
func (request *Request) RequestID() string { return request.op.RequestID }

// Instance names where the request was passed on to.
func (request *Request) Instance() string {
	if request.instance == nil {
		return ""
	}
	return request.instance.observation.Instance.Name
}

func (request *Request) mayPersist() bool {
	return request.op.Kind == OpCommit || (request.op.Kind == OpRun && request.op.Write && !request.inTransaction)
}

func (request *Request) isRead() bool { return request.op.Kind == OpRun && !request.op.Write }

type requestQueue struct {
	requests []*Request
	length   int
}

func (q *requestQueue) pushBack(request *Request) {
	q.requests = append(q.requests, request)
	q.length++
}

func (q *requestQueue) pushFront(request *Request) {
	q.requests = append([]*Request{request}, q.requests...)
	q.length++
}

func (q *requestQueue) removed() {
	q.length--
	if len(q.requests) > 64 && q.length < len(q.requests)/2 {
		q.compact()
	}
}

func (q *requestQueue) compact() {
	kept := make([]*Request, 0, q.length)
	for _, request := range q.requests {
		if request.phase == phaseQueued {
			kept = append(kept, request)
		}
	}
	q.requests = kept
}

func (q *requestQueue) front() *Request {
	for len(q.requests) > 0 && q.requests[0].phase != phaseQueued {
		q.requests = q.requests[1:]
	}
	if len(q.requests) == 0 {
		return nil
	}
	return q.requests[0]
}

type databaseState struct {
	name         string
	transactions requestQueue
	writes       requestQueue
	reads        requestQueue
	unconfirmed  []*Request
}

func (d *databaseState) queueOf(request *Request) *requestQueue {
	if request.pinned {
		return &d.transactions
	}
	if request.strict {
		return &d.writes
	}
	return &d.reads
}

type instanceState struct {
	observation    *routing.Observation
	databaseID     int
	window         *flowcontrol.Window
	idle           []*Conn
	connections    int
	opening        int
	leavingAt      time.Duration
	backoffUntil   time.Duration
	backoff        time.Duration
	inFlight       []*Request
	abandoned      []*Request
	pinnedSessions []*clientSession
	watched        bool
}

// Wire is one connection to an instance.
type Conn struct {
	// Link belongs to whoever opened it.
	Transport   any
	instance    *instanceState
	term        uint64
	incarnation string
	closed      bool
	broken      bool
}

type clientSession struct {
	id            string
	binding       string
	remoteAddress string
	minPositions  map[string]model.Position
	pinnedConn    *Conn
	inTransaction bool
	busy          bool
	closed        bool
	stateLost     bool
	lastUsed      time.Duration
}

// Place is the node's own.
type Node struct {
	Name        string
	Zone        string
	Incarnation string
	Weight      float64
}

// Machine is one node's state. It does no I/O and has no clock.
type Machine struct {
	node              Node
	timing            Timing
	windowParameters  flowcontrol.Parameters
	count             func(name string, by int64)
	routing           *routing.Machine
	requestLog        *idempotency.Machine
	databaseNames     *symbol.Table
	databases         []*databaseState
	instanceNames     *symbol.Table
	instances         []*instanceState
	sessions          map[string]*clientSession
	sessionOrder      []*clientSession
	sessionsByAddress map[string][]*clientSession
	awaitingLease     []*Request
	lookupsInFlight   map[string]int
	queuedLookups     map[string][]*Request
	pendingPolls      []pendingPoll
	lastSessionNumber uint64
	jitterCount       uint64
	peers             flowcontrol.PeerCounter
	lastSweep         time.Duration
	draining          bool
	effects           []Effect
}

// New makes a node that knows nothing yet; count hears of each counter that
// rises.
func New(place Node, timing Timing, count func(string, int64)) *Machine {
	m := &Machine{
		node: place, timing: timing, windowParameters: flowcontrol.DefaultParameters(), count: count,
		routing: routing.New(place.Name, lease.DefaultTiming()), requestLog: idempotency.New(place.Name, place.Incarnation, idempotency.DefaultTiming()),
		databaseNames: symbol.NewTable(), instanceNames: symbol.NewTable(), sessions: map[string]*clientSession{}, sessionsByAddress: map[string][]*clientSession{},
		lookupsInFlight: map[string]int{}, queuedLookups: map[string][]*Request{}, peers: flowcontrol.PeerCounter{Max: 1},
	}
	m.windowParameters.Beta = place.Weight
	return m
}

// Effects gives what the events since the last call caused.
func (m *Machine) Effects() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// Serve gives what the node knows of leases, sets and writer roles, to be
// read only.
func (m *Machine) Routing() *routing.Machine { return m.routing }

// Goes gives the node's record of goes.
func (m *Machine) RequestLog() *idempotency.Machine { return m.requestLog }

func (m *Machine) database(name string) *databaseState {
	rank := m.databaseNames.Intern(name)
	for len(m.databases) <= rank {
		m.databases = append(m.databases, &databaseState{name: m.databaseNames.Name(len(m.databases))})
	}
	return m.databases[rank]
}

func (m *Machine) databaseOf(instance *instanceState) *databaseState {
	return m.databases[instance.databaseID]
}

func (m *Machine) instance(name string) *instanceState {
	rank, found := m.instanceNames.Lookup(name)
	if !found {
		return nil
	}
	return m.instances[rank]
}

// Announced takes an instance's announcement.
func (m *Machine) UpdateInstance(announced model.Instance, now time.Duration) {
	database := m.database(announced.Database)
	rank := m.instanceNames.Intern(announced.Name)
	for len(m.instances) <= rank {
		databaseID, _ := m.databaseNames.Lookup(announced.Database)
		m.instances = append(m.instances, &instanceState{window: flowcontrol.NewWindow(m.windowParameters), databaseID: databaseID, observation: m.routing.Observation(announced.Name)})
	}
	instance := m.instances[rank]
	previous := instance.observation.Instance
	returned := previous.Name != "" && (previous.Role != announced.Role || previous.Incarnation != announced.Incarnation || now-instance.observation.LastAnnouncement > 5*time.Second || (previous.Leaving && !announced.Leaving))
	addressChanged := previous.Address != announced.Address || previous.Incarnation != announced.Incarnation
	if returned {
		instance.window.Reset()
		instance.backoff, instance.backoffUntil = 0, 0
	}
	if addressChanged {
		m.closeIdleConns(instance)
	}
	m.routing.HandleAnnouncement(announced, now)
	if announced.Leaving {
		m.markLeaving(instance, now)
	} else {
		instance.leavingAt = 0
	}
	m.retuneWindow(instance)
	if !instance.watched {
		instance.watched = true
		m.emit(Watch{Instance: announced.Name})
	}
	m.confirmCommits(database, now)
	m.dispatch(database, now)
}

func (m *Machine) markLeaving(instance *instanceState, now time.Duration) {
	if instance.leavingAt == 0 {
		instance.leavingAt = now
		m.closeIdleConns(instance)
	}
}

// Looked takes an instance's answer on where it stands, asked at a moment.
func (m *Machine) InstanceStatusReceived(name string, reply Reply, sent, now time.Duration) {
	instance := m.instance(name)
	reported := instance.observation.Instance
	reported.Incarnation, reported.Role, reported.Term, reported.Position, reported.Leaving = reply.Incarnation, reply.Role, reply.Term, reply.Position, reply.Leaving
	if m.routing.HandlePosition(name, reported, sent, now) {
		m.emit(Report{})
	}
	if reply.Leaving {
		m.markLeaving(instance, now)
	}
	m.confirmCommits(m.databaseOf(instance), now)
	m.dispatch(m.databaseOf(instance), now)
}

// Following says where an instance is to be looked at next, from which
// position on, and false once it has long been silent and is followed no
// more.
func (m *Machine) WatchTarget(name string, now time.Duration) (address string, after model.Position, active bool) {
	instance := m.instance(name)
	if now-instance.observation.LastAnnouncement > time.Minute {
		instance.watched = false
		return "", model.Position{}, false
	}
	return instance.observation.Instance.Address, instance.observation.Position, true
}

// Ask gives the next ask for news.
func (m *Machine) UpdateRequest(now time.Duration) distribution.UpdateRequest {
	m.effectiveSet(now)
	return m.routing.UpdateRequest(now, m.replicaLags(now))
}

// Told gives what is seen, for the control primary.
func (m *Machine) Observations(now time.Duration) distribution.NodeReport {
	return m.routing.Report(now, m.replicaLags(now))
}

func (m *Machine) replicaLags(now time.Duration) map[string]time.Duration {
	lags := map[string]time.Duration{}
	for _, database := range m.databases {
		for _, request := range database.unconfirmed {
			for _, name := range m.routing.LaggingReplicas(database.name, request.position) {
				lags[name] = max(lags[name], now-request.executedAt)
			}
		}
	}
	return lags
}

// Took takes news that answers an ask sent at a moment.
func (m *Machine) ApplyUpdate(update distribution.Update, sent, now time.Duration) {
	if update.Snapshot != nil {
		m.count("docs_taken", 1)
	}
	m.count("news_answers", 1)
	for _, moved := range m.routing.ApplyUpdate(update, sent, now) {
		m.database(moved.Database)
		m.emit(WriterChanged{Change: moved})
		m.onWriterChanged(moved, now)
	}
	m.effectiveSet(now)
	m.dispatchAll(now)
}

func (m *Machine) dispatchAll(now time.Duration) {
	m.resumeAwaitingLease(now)
	for _, database := range m.databases {
		m.confirmCommits(database, now)
		m.dispatch(database, now)
	}
}

func (m *Machine) effectiveSet(now time.Duration) model.BindingSet {
	current, changed := m.routing.ActiveSet(now)
	if changed {
		m.count("sets_shown", 1)
		m.emit(BindingsActivated{Sequence: current.Sequence})
	}
	return current
}

// Beat is the regular clock event; count is the number of data-plane nodes
// that live, beta this node's weight.
func (m *Machine) Tick(count int, beta float64, now time.Duration) {
	m.updatePeers(count, beta, now)
	for _, instance := range m.instances {
		instance.window.Tick(now)
		m.reapAbandoned(instance, now)
	}
	m.expireSessions(now)
	m.retryPolls(now)
	m.dispatchAll(now)
}

func (m *Machine) updatePeers(count int, beta float64, now time.Duration) {
	if changed := m.peers.Observe(count, now); changed || beta != m.windowParameters.Beta {
		m.windowParameters.Beta = beta
		for _, instance := range m.instances {
			m.retuneWindow(instance)
		}
	}
}

func (m *Machine) connectionShare(instance *instanceState) int {
	return max(instance.observation.Instance.Connections/(m.peers.Max+1), 1)
}

func (m *Machine) retuneWindow(instance *instanceState) {
	instance.window.Retune(m.windowParameters.Beta, float64(m.connectionShare(instance)))
}

// Ready says whether the node may be given consumers, and why not.
func (m *Machine) Ready(now time.Duration) (bool, string) {
	checks := []struct {
		isBad bool
		why   string
	}{
		{m.draining, "stopping"},
		{!m.routing.HasLease(now), "no lease from the control primary"},
		{m.effectiveSet(now).Sequence == 0, "no bindings in force"},
	}
	for _, check := range checks {
		if check.isBad {
			return false, check.why
		}
	}
	return true, ""
}

// Effective gives the set in force.
func (m *Machine) EffectiveSet(now time.Duration) model.BindingSet { return m.effectiveSet(now) }

// Backed is what the node shows of an instance.
type InstanceStatus struct {
	Instance       model.Instance      `json:"instance"`
	AnnouncedAgeMS int64               `json:"heard_ms"`
	AnsweredAgeMS  int64               `json:"answered_ms"`
	Position       model.Position      `json:"position"`
	StalenessMS    int64               `json:"fresh_ms"`
	Window         flowcontrol.Reading `json:"admission"`
	Connections    int                 `json:"sessions"`
	Idle           int                 `json:"idle"`
	Pinned         int                 `json:"pinned"`
	Share          int                 `json:"share"`
}

// Lined is what it shows of a database's lines.
type QueueStatus struct {
	Database      string         `json:"database"`
	Transactions  int            `json:"turns"`
	Writes        int            `json:"writes"`
	Reads         int            `json:"reads"`
	Unconfirmed   int            `json:"confirms"`
	HighWatermark model.Position `json:"high"`
}

// Show gives what the node shows to operators.
func (m *Machine) Status(now time.Duration) (instances []InstanceStatus, lines []QueueStatus) {
	instances, lines = []InstanceStatus{}, []QueueStatus{}
	for _, instance := range m.instances {
		instances = append(instances, InstanceStatus{
			Instance: instance.observation.Instance, AnnouncedAgeMS: (now - instance.observation.LastAnnouncement).Milliseconds(), AnsweredAgeMS: (now - instance.observation.LastResponse).Milliseconds(),
			Position: instance.observation.Position, StalenessMS: (now - m.routing.FreshUntil(instance.observation.Instance.Name, now)).Milliseconds(),
			Window: instance.window.Reading(), Connections: instance.connections, Idle: len(instance.idle), Pinned: len(instance.pinnedSessions), Share: m.connectionShare(instance),
		})
	}
	for _, database := range m.databases {
		lines = append(lines, QueueStatus{
			Database: database.name, Transactions: database.transactions.length, Writes: database.writes.length, Reads: database.reads.length, Unconfirmed: len(database.unconfirmed),
			HighWatermark: m.routing.HighWatermark(database.name),
		})
	}
	return instances, lines
}

// Consumers counts those that are let in.
func (m *Machine) SessionCount() int { return len(m.sessions) }
