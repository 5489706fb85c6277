// Package linepool is the machine by which a data-plane node carries clients'
// sessions to synced instances: transactions, values and prepared shapes, the
// lines in which statements wait, the windows and connections of the
// instances, what each statement came to, and the drain. Each method is one
// event; Effects gives what it caused, to be carried out in order.
package linepool

import (
	"time"

	"tansyseam/internal/coordination/connquota"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/outlier"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/symbol"
)

// Timing holds the machine's bounds.
type Timing struct {
	// Timeout bounds a statement whose binding names none.
	DefaultTimeout time.Duration
	// Away is how long a statement waits where not room is wanting, but the
	// lease or the writer role; it is then told when to come back.
	UnavailableWait time.Duration
	// Patience is the part of its time that a statement may wait in line.
	QueueFraction float64
	// Welcome is how long a connect may wait for a lease and a set.
	ConnectWait time.Duration
	// Open bounds the opening of a connection.
	OpenTimeout time.Duration
	// Settle is how long commits that are out may still be answered by a
	// primary whose term is closing.
	ClosingGrace time.Duration
	// Reap is when a connection is shut whose answer nobody waits for.
	AbandonedTimeout time.Duration
	// Inside is how long a transaction may rest where the manifest names
	// nothing.
	IdleInTransaction time.Duration
	// RestFirst and RestMost bound the rest after a connection was refused.
	BackoffMin, BackoffMax time.Duration
	// Spare is how long a connection over the node's rights may rest.
	SurplusIdle time.Duration
	// Pause is how long a statement that was refused waits, for each time that
	// it was, and Tries how often it may be put back.
	RetryDelay time.Duration
	MaxRetries int
	// Leaving is how long an instance that leaves is still sent what must go
	// there: statements of open transactions, and all that needs the primary.
	DrainWindow time.Duration
	// Late is what is left of that where an instance was leaving already when
	// the node first heard of it.
	LateDrainWindow time.Duration
	// Lagging is how long a replica that lagged is passed over.
	LaggingPause time.Duration
	// Caught is the age from which a session's own commit is taken to have
	// reached the replicas.
	ReplicationBound time.Duration
	// Linger is how long a node that stops goes on as before, so that no new
	// sessions are sent to it any more; Turns is when open transactions are
	// ended, and Finish when all is.
	Linger, EndTransactions, EndSessions time.Duration
	// Line and Clients bound a line and the node's clients, Inbox what a
	// client may send ahead, Shapes what is prepared on one connection.
	MaxQueue, MaxClients, MaxPipelined, MaxPrepared int
	// Reference is the target at which a latency counts as it is: others are
	// brought to it in proportion, as the size of the work.
	ReferenceTarget time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		DefaultTimeout: 5 * time.Second, UnavailableWait: 700 * time.Millisecond, QueueFraction: 0.45, ConnectWait: 1800 * time.Millisecond, OpenTimeout: 700 * time.Millisecond, ClosingGrace: 150 * time.Millisecond,
		AbandonedTimeout: 10 * time.Second, IdleInTransaction: 3 * time.Second, BackoffMin: 40 * time.Millisecond, BackoffMax: 400 * time.Millisecond,
		SurplusIdle: 40 * time.Millisecond,
		RetryDelay:  20 * time.Millisecond, MaxRetries: 8,
		DrainWindow: 5 * time.Second, LateDrainWindow: 2 * time.Second, LaggingPause: 150 * time.Millisecond, ReplicationBound: 300 * time.Millisecond,
		Linger: 2300 * time.Millisecond, EndTransactions: 2900 * time.Millisecond, EndSessions: 5400 * time.Millisecond,
		MaxQueue: 4096, MaxClients: 3000, MaxPipelined: 16, MaxPrepared: 200, ReferenceTarget: 200 * time.Millisecond,
	}
}

// Within fits the bounds to a stop that is waited for as long as grace, and to
// instances that serve on for drain after they were heard to leave.
func (t Timing) Within(grace, drain time.Duration) Timing {
	t.EndTransactions, t.EndSessions = grace/2-100*time.Millisecond, grace-600*time.Millisecond
	t.Linger = min(t.Linger, t.EndSessions-600*time.Millisecond)
	t.DrainWindow = max(drain-2*time.Second, drain/2)
	t.LateDrainWindow = t.DrainWindow * 2 / 5
	return t
}

// Outs are what the node sends to an instance.
type CommandKind int

// Kinds of Out.
const (
	CommandText CommandKind = iota
	CommandBegin
	CommandBeginReadOnly
	CommandRollback
	CommandReset
	CommandSet
	CommandPrepare
	CommandExecute
)

// Out is one message to an instance. ID and Text are the client's; the others
// are the node's own.
type Command struct {
	Kind        CommandKind
	ID, Text    string
	Name, Value string
	MinPosition model.Position
}

// Effects.
type (
	// Effect is one of the types below.
	Effect any
	// Say answers a client, all in one.
	Respond struct {
		Client   *Client
		Messages []lineproto.Message
	}
	// Close ends a client's session.
	CloseClient struct{ Client *Client }
	// Open opens a connection to an instance.
	OpenConn struct {
		Conn                        *Conn
		Address, Database, Instance string
	}
	// Send sends to an instance, all in one.
	Send struct {
		Conn     *Conn
		Commands []Command
	}
	// Shut closes a connection to an instance.
	CloseConn struct{ Conn *Conn }
	// Report tells the control primary what is seen, before the next ask.
	Report struct{}
	// Turned tells a writer role that moved, Shown a set come in force.
	WriterChanged     struct{ Change routing.WriterRoleChanged }
	BindingsActivated struct{ Set model.BindingSet }
)

// Place is the node's own.
type Node struct {
	Name, Zone  string
	Incarnation int64
	Weight      float64
}

type preparedStatement struct {
	text  string
	write bool
}

// Client is one session.
type Client struct {
	// Token belongs to whoever brought the session.
	Token       any
	binding     string
	variables   map[string]string
	prepared    map[string]preparedStatement
	ownCommits  map[string]ownCommit
	state       byte
	transaction *transactionState
	request     *Request
	pipelined   []Query
	serial      uint64
	lastUsed    time.Duration
	connected   bool
	closed      bool
	isEnding    bool
}

type ownCommit struct {
	position model.Position
	at       time.Duration
}

type transactionState struct {
	binding  model.Binding
	readOnly bool
	lost     bool
	// hasWrites says that a write was passed on, if only to be refused.
	hasWrites bool
	conn      *Conn
}

// Asked is one query of a client.
type Query struct {
	ID, Text  string
	Statement lineproto.Statement
}

type phase int

const (
	phaseAwaitingLease phase = iota
	phaseQueued
	phaseInFlight
	phaseUnconfirmed
	phaseEnded
)

// Job is one statement on its way.
type Request struct {
	client      *Client
	query       Query
	prepared    preparedStatement
	binding     model.Binding
	write       bool
	commit      bool
	strict      bool
	transaction *transactionState
	arrivedAt   time.Duration
	deadline    time.Duration
	phase       phase
	attempts    []*requestAttempt
	hedged      bool
	retries     int
	notBefore   time.Duration
	// avoid is the instance that failed it last, failed how often one did.
	avoid       *instanceState
	failures    int
	term        uint64
	minPosition model.Position
	answer      []lineproto.Message
	position    model.Position
}

// mayLast says whether the statement, once run, may keep something for good.
func (request *Request) mayPersist() bool {
	return (request.commit && (!request.transaction.readOnly || request.transaction.hasWrites)) || (request.write && request.transaction == nil)
}

// isSent says whether the statement itself has been passed on.
func (request *Request) isSent() bool {
	if request.phase != phaseInFlight {
		return request.phase == phaseUnconfirmed
	}
	for _, attempt := range request.attempts {
		if attempt.statementSent {
			return true
		}
	}
	return false
}

func (request *Request) isRetryableRead() bool {
	return !request.write && !request.commit && request.transaction == nil
}

type requestAttempt struct {
	request   *Request
	conn      *Conn
	sentAt    time.Duration
	abandoned bool
	// isBegun says that the statement itself has been sent, and not only the
	// begin before it.
	statementSent bool
	rows          []lineproto.Message
	result        lineproto.Message
	hasResult     bool
}

type connState int

const (
	connOpening connState = iota
	connIdle
	connBusy
	connClosed
)

// Conn is one connection to an instance.
type Conn struct {
	// Link belongs to whoever opened it.
	Transport     any
	instance      *instanceState
	state         connState
	variables     map[string]string
	prepared      map[string]string
	preparedCount int
	dirty         bool
	changed       bool
	owner         *Client
	attempt       *requestAttempt
	pending       []pendingAnswer
	openedAt      time.Duration
	idleSince     time.Duration
	term          uint64
}

type pendingAnswer struct {
	kind    CommandKind
	attempt *requestAttempt
}

type instanceState struct {
	info          model.Instance
	databaseID    int
	quota         connquota.Quota
	health        outlier.FailureRate
	window        *flowcontrol.Window
	idle          []*Conn
	conns         []*Conn
	opening       int
	backoffUntil  time.Duration
	backoff       time.Duration
	lastResponse  time.Duration
	refusals      int
	laggingUntil  time.Duration
	drainingSince time.Duration
	position      model.Position
	reportedLevel int
}

type positionSample struct {
	takenAt  time.Duration
	position model.Position
}

type databaseState struct {
	name             string
	primaryQueue     []*Request
	readQueue        []*Request
	transactionQueue []*Request
	inFlight         []*Request
	unconfirmed      []*Request
	samples          []positionSample
	highWatermark    model.Position
	writerClosedAt   time.Duration
	// isDropped says that the control primary may have been told that nothing
	// is told kept any more in the term that is closing.
	closeReported bool
}

// Machine is one node's state. It does no I/O and has no clock.
type Machine struct {
	node             Node
	timing           Timing
	windowParameters flowcontrol.Parameters
	count            func(name string, by int64)
	routing          *routing.Machine
	databaseNames    *symbol.Table
	databases        []*databaseState
	instanceNames    *symbol.Table
	instances        []*instanceState
	clients          map[*Client]bool
	awaitingLease    []*Request
	connecting       []*Client
	clientSerial     uint64
	listVersion      distribution.ListVersion
	quotaNodes       connquota.Members
	drainStarted     time.Duration
	lastLeased       time.Duration
	ticked           bool
	lastIdleCheck    time.Duration
	draining         bool
	effects          []Effect
}

// New makes a node that knows nothing yet; count hears of each counter that
// rises.
func New(place Node, timing Timing, leases lease.Timing, count func(string, int64)) *Machine {
	m := &Machine{
		node: place, timing: timing, windowParameters: flowcontrol.DefaultParameters(), count: count, routing: routing.New(place.Name, leases),
		databaseNames: symbol.NewTable(), instanceNames: symbol.NewTable(), clients: map[*Client]bool{},
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

func (m *Machine) writer(database *databaseState) (model.WriterRole, *instanceState, bool) {
	writer := m.routing.WriterRole(database.name)
	target := m.instance(writer.Primary)
	return writer, target, writer.Phase == model.PhaseOpen && target != nil && !target.info.Stopped
}

func (m *Machine) isPrimary(instance *instanceState) bool {
	_, target, open := m.writer(m.databaseOf(instance))
	return open && target == instance
}

// Ready says whether the node may be given sessions, and why not.
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

func (m *Machine) effectiveSet(now time.Duration) model.BindingSet {
	current, changed := m.routing.ActiveSet(now)
	if changed {
		m.count("sets_shown", 1)
		m.emit(BindingsActivated{Set: current})
	}
	return current
}

// Beat is the regular clock event; live names the data-plane nodes that live,
// beta is this node's weight.
func (m *Machine) Tick(live []string, weight float64, now time.Duration) {
	m.updatePeers(live, weight, now)
	if !m.ticked || m.routing.HasLease(now) {
		m.ticked, m.lastLeased = true, now
	}
	for _, instance := range m.instances {
		instance.window.Tick(now)
		m.maintainConns(instance, now)
	}
	m.expireRequests(now)
	m.hedgeReads(now)
	m.closeIdleClients(now)
	m.reportSuspects(now)
	m.dispatchAll(now)
}

// isCutOff says whether the lease has been gone for so long that nothing new
// waits for it.
func (m *Machine) isIsolated(now time.Duration) bool {
	return m.ticked && !m.routing.HasLease(now) && now-m.lastLeased > m.timing.UnavailableWait
}

func (m *Machine) updatePeers(live []string, weight float64, now time.Duration) {
	if changed := m.quotaNodes.Update(live, now); changed || weight != m.windowParameters.Beta {
		m.windowParameters.Beta = weight
		for _, instance := range m.instances {
			m.retuneWindow(instance)
		}
	}
}

func (m *Machine) retuneWindow(instance *instanceState) {
	instance.quota = m.quotaNodes.Quota(m.node.Name, instance.info.Name, instance.info.Connections)
	instance.window.Retune(m.windowParameters.Beta, float64(instance.quota.MaxOpen))
}

func (m *Machine) dispatchAll(now time.Duration) {
	m.resumeAwaitingLease(now)
	for _, database := range m.databases {
		m.confirmCommits(database, now)
		m.dispatch(database, now)
	}
}

// Clients counts the sessions.
func (m *Machine) Clients() int { return len(m.clients) }

// Backed is what the node shows of an instance.
type InstanceStatus struct {
	Instance      model.Instance      `json:"instance"`
	AnsweredAgeMS int64               `json:"answered_ms"`
	Position      model.Position      `json:"position"`
	Window        flowcontrol.Reading `json:"admission"`
	Refusals      int                 `json:"refused"`
	Connections   int                 `json:"sessions"`
	Idle          int                 `json:"idle"`
	Quota         int                 `json:"share"`
	QuotaIdle     int                 `json:"kept"`
}

// Lined is what it shows of a database's lines.
type QueueStatus struct {
	Database      string         `json:"database"`
	Transactions  int            `json:"turns"`
	Writes        int            `json:"writes"`
	Reads         int            `json:"reads"`
	InFlight      int            `json:"out"`
	Unconfirmed   int            `json:"confirms"`
	HighWatermark model.Position `json:"high"`
}

// Show gives what the node shows to operators.
func (m *Machine) Status(now time.Duration) (instances []InstanceStatus, lines []QueueStatus) {
	instances, lines = []InstanceStatus{}, []QueueStatus{}
	for _, instance := range m.instances {
		instances = append(instances, InstanceStatus{
			Instance: instance.info, AnsweredAgeMS: (now - instance.lastResponse).Milliseconds(), Position: instance.position, Window: instance.window.Reading(),
			Refusals: instance.refusals, Connections: len(instance.conns), Idle: len(instance.idle), Quota: instance.quota.MaxOpen, QuotaIdle: instance.quota.MaxIdle,
		})
	}
	for _, database := range m.databases {
		lines = append(lines, QueueStatus{
			Database: database.name, Transactions: len(database.transactionQueue), Writes: len(database.primaryQueue), Reads: len(database.readQueue), InFlight: len(database.inFlight),
			Unconfirmed: len(database.unconfirmed), HighWatermark: database.highWatermark,
		})
	}
	return instances, lines
}
