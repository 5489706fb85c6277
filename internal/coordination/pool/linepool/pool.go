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
	Timeout time.Duration
	// Away is how long a statement waits where not room is wanting, but the
	// lease or the writer role; it is then told when to come back.
	Away time.Duration
	// Patience is the part of its time that a statement may wait in line.
	Patience float64
	// Welcome is how long a connect may wait for a lease and a set.
	Welcome time.Duration
	// Open bounds the opening of a connection.
	Open time.Duration
	// Settle is how long commits that are out may still be answered by a
	// primary whose term is closing.
	Settle time.Duration
	// Reap is when a connection is shut whose answer nobody waits for.
	Reap time.Duration
	// Inside is how long a transaction may rest where the manifest names
	// nothing.
	Inside time.Duration
	// RestFirst and RestMost bound the rest after a connection was refused.
	RestFirst, RestMost time.Duration
	// Spare is how long a connection over the node's rights may rest.
	Spare time.Duration
	// Pause is how long a statement that was refused waits, for each time that
	// it was, and Tries how often it may be put back.
	Pause time.Duration
	Tries int
	// Leaving is how long an instance that leaves is still sent what must go
	// there: statements of open transactions, and all that needs the primary.
	Leaving time.Duration
	// Late is what is left of that where an instance was leaving already when
	// the node first heard of it.
	Late time.Duration
	// Lagging is how long a replica that lagged is passed over.
	Lagging time.Duration
	// Caught is the age from which a session's own commit is taken to have
	// reached the replicas.
	Caught time.Duration
	// Linger is how long a node that stops goes on as before, so that no new
	// sessions are sent to it any more; Turns is when open transactions are
	// ended, and Finish when all is.
	Linger, Turns, Finish time.Duration
	// Line and Clients bound a line and the node's clients, Inbox what a
	// client may send ahead, Shapes what is prepared on one connection.
	Line, Clients, Inbox, Shapes int
	// Reference is the target at which a latency counts as it is: others are
	// brought to it in proportion, as the size of the work.
	Reference time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		Timeout: 5 * time.Second, Away: 700 * time.Millisecond, Patience: 0.45, Welcome: 1800 * time.Millisecond, Open: 700 * time.Millisecond, Settle: 150 * time.Millisecond,
		Reap: 10 * time.Second, Inside: 3 * time.Second, RestFirst: 40 * time.Millisecond, RestMost: 400 * time.Millisecond,
		Spare: 40 * time.Millisecond,
		Pause: 20 * time.Millisecond, Tries: 8,
		Leaving: 5 * time.Second, Late: 2 * time.Second, Lagging: 150 * time.Millisecond, Caught: 300 * time.Millisecond,
		Linger: 2300 * time.Millisecond, Turns: 2900 * time.Millisecond, Finish: 5400 * time.Millisecond,
		Line: 4096, Clients: 3000, Inbox: 16, Shapes: 200, Reference: 200 * time.Millisecond,
	}
}

// Within fits the bounds to a stop that is waited for as long as grace, and to
// instances that serve on for drain after they were heard to leave.
func (t Timing) Within(grace, drain time.Duration) Timing {
	t.Turns, t.Finish = grace/2-100*time.Millisecond, grace-600*time.Millisecond
	t.Linger = min(t.Linger, t.Finish-600*time.Millisecond)
	t.Leaving = max(drain-2*time.Second, drain/2)
	t.Late = t.Leaving * 2 / 5
	return t
}

// Outs are what the node sends to an instance.
type OutKind int

// Kinds of Out.
const (
	OutText OutKind = iota
	OutBegin
	OutBeginRead
	OutRollback
	OutReset
	OutSet
	OutPrepare
	OutRun
)

// Out is one message to an instance. ID and Text are the client's; the others
// are the node's own.
type Out struct {
	Kind        OutKind
	ID, Text    string
	Name, Value string
	Floor       model.Position
}

// Effects.
type (
	// Effect is one of the types below.
	Effect any
	// Say answers a client, all in one.
	Say struct {
		Client   *Client
		Messages []lineproto.Message
	}
	// Close ends a client's session.
	Close struct{ Client *Client }
	// Open opens a connection to an instance.
	Open struct {
		Conn                        *Conn
		Address, Database, Instance string
	}
	// Send sends to an instance, all in one.
	Send struct {
		Conn *Conn
		Outs []Out
	}
	// Shut closes a connection to an instance.
	Shut struct{ Conn *Conn }
	// Report tells the control primary what is seen, before the next ask.
	Report struct{}
	// Turned tells a writer role that moved, Shown a set come in force.
	Turned struct{ Moved routing.Moved }
	Shown  struct{ Set model.Set }
)

// Place is the node's own.
type Place struct {
	Name, Zone string
	Birth      int64
	Beta       float64
}

type shape struct {
	text    string
	isWrite bool
}

// Client is one session.
type Client struct {
	// Token belongs to whoever brought the session.
	Token    any
	name     string
	values   map[string]string
	shapes   map[string]shape
	marks    map[string]mark
	state    byte
	turn     *turn
	job      *Job
	inbox    []Asked
	rank     uint64
	used     time.Duration
	isMet    bool
	isGone   bool
	isEnding bool
}

type mark struct {
	position model.Position
	at       time.Duration
}

type turn struct {
	binding model.Binding
	isRead  bool
	isLost  bool
	// hasWrites says that a write was passed on, if only to be refused.
	hasWrites bool
	conn      *Conn
}

// Asked is one query of a client.
type Asked struct {
	ID, Text  string
	Statement lineproto.Statement
}

type phase int

const (
	phaseLease phase = iota
	phaseLine
	phaseOut
	phaseConfirm
	phaseEnded
)

// Job is one statement on its way.
type Job struct {
	client   *Client
	asked    Asked
	shape    shape
	binding  model.Binding
	isWrite  bool
	isCommit bool
	isStrict bool
	turn     *turn
	arrived  time.Duration
	deadline time.Duration
	phase    phase
	legs     []*leg
	isTwin   bool
	tries    int
	restAt   time.Duration
	// avoid is the instance that failed it last, failed how often one did.
	avoid    *back
	failed   int
	term     uint64
	floor    model.Position
	answer   []lineproto.Message
	position model.Position
}

// mayLast says whether the statement, once run, may keep something for good.
func (j *Job) mayLast() bool {
	return (j.isCommit && (!j.turn.isRead || j.turn.hasWrites)) || (j.isWrite && j.turn == nil)
}

// isSent says whether the statement itself has been passed on.
func (j *Job) isSent() bool {
	if j.phase != phaseOut {
		return j.phase == phaseConfirm
	}
	for _, held := range j.legs {
		if held.isBegun {
			return true
		}
	}
	return false
}

func (j *Job) isFree() bool { return !j.isWrite && !j.isCommit && j.turn == nil }

type leg struct {
	job       *Job
	conn      *Conn
	sentAt    time.Duration
	isDropped bool
	// isBegun says that the statement itself has been sent, and not only the
	// begin before it.
	isBegun bool
	rows    []lineproto.Message
	end     lineproto.Message
	hasEnd  bool
}

type connState int

const (
	connOpening connState = iota
	connIdle
	connBusy
	connOver
)

// Conn is one connection to an instance.
type Conn struct {
	// Link belongs to whoever opened it.
	Link    any
	back    *back
	state   connState
	values  map[string]string
	shapes  map[string]string
	names   int
	isDirty bool
	isSet   bool
	owner   *Client
	leg     *leg
	waits   []wait
	opened  time.Duration
	rested  time.Duration
	term    uint64
}

type wait struct {
	kind OutKind
	leg  *leg
}

type back struct {
	info      model.Instance
	database  int
	share     connquota.Share
	grade     outlier.Grade
	window    *flowcontrol.Window
	idle      []*Conn
	conns     []*Conn
	opening   int
	restAt    time.Duration
	rest      time.Duration
	answered  time.Duration
	refused   int
	lagUntil  time.Duration
	leavingAt time.Duration
	position  model.Position
	told      int
}

type sample struct {
	at       time.Duration
	position model.Position
}

type base struct {
	name     string
	writes   []*Job
	reads    []*Job
	turns    []*Job
	out      []*Job
	confirms []*Job
	samples  []sample
	high     model.Position
	closedAt time.Duration
	// isDropped says that the control primary may have been told that nothing
	// is told kept any more in the term that is closing.
	isDropped bool
}

// Machine is one node's state. It does no I/O and has no clock.
type Machine struct {
	place     Place
	timing    Timing
	tuning    flowcontrol.Tuning
	count     func(name string, by int64)
	serve     *routing.Machine
	names     *symbol.Index
	bases     []*base
	backNames *symbol.Index
	backs     []*back
	clients   map[*Client]bool
	leaseless []*Job
	guests    []*Client
	ranks     uint64
	roll      distribution.Roll
	sharers   connquota.Names
	leftAt    time.Duration
	leasedAt  time.Duration
	hasBeaten bool
	looked    time.Duration
	isLeaving bool
	effects   []Effect
}

// New makes a node that knows nothing yet; count hears of each counter that
// rises.
func New(place Place, timing Timing, leases lease.Timing, count func(string, int64)) *Machine {
	m := &Machine{
		place: place, timing: timing, tuning: flowcontrol.Defaults(), count: count, serve: routing.New(place.Name, leases),
		names: symbol.NewIndex(), backNames: symbol.NewIndex(), clients: map[*Client]bool{},
	}
	m.tuning.Beta = place.Beta
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
func (m *Machine) Serve() *routing.Machine { return m.serve }

func (m *Machine) base(name string) *base {
	rank := m.names.Rank(name)
	for len(m.bases) <= rank {
		m.bases = append(m.bases, &base{name: m.names.Name(len(m.bases))})
	}
	return m.bases[rank]
}

func (m *Machine) baseOf(held *back) *base { return m.bases[held.database] }

func (m *Machine) back(name string) *back {
	rank, isKnown := m.backNames.Find(name)
	if !isKnown {
		return nil
	}
	return m.backs[rank]
}

func (m *Machine) writer(one *base) (model.Writer, *back, bool) {
	writer := m.serve.Writer(one.name)
	target := m.back(writer.Primary)
	return writer, target, writer.Phase == model.PhaseOpen && target != nil && !target.info.IsGone
}

func (m *Machine) isHead(held *back) bool {
	_, target, isOpen := m.writer(m.baseOf(held))
	return isOpen && target == held
}

// Ready says whether the node may be given sessions, and why not.
func (m *Machine) Ready(now time.Duration) (bool, string) {
	checks := []struct {
		isBad bool
		why   string
	}{
		{m.isLeaving, "stopping"},
		{!m.serve.IsLeased(now), "no lease from the control primary"},
		{m.effective(now).Sequence == 0, "no bindings in force"},
	}
	for _, check := range checks {
		if check.isBad {
			return false, check.why
		}
	}
	return true, ""
}

// Effective gives the set in force.
func (m *Machine) Effective(now time.Duration) model.Set { return m.effective(now) }

func (m *Machine) effective(now time.Duration) model.Set {
	current, isNew := m.serve.Effective(now)
	if isNew {
		m.count("sets_shown", 1)
		m.emit(Shown{Set: current})
	}
	return current
}

// Beat is the regular clock event; live names the data-plane nodes that live,
// beta is this node's weight.
func (m *Machine) Beat(live []string, beta float64, now time.Duration) {
	m.size(live, beta, now)
	if !m.hasBeaten || m.serve.IsLeased(now) {
		m.hasBeaten, m.leasedAt = true, now
	}
	for _, held := range m.backs {
		held.window.Tick(now)
		m.tend(held, now)
	}
	m.expire(now)
	m.twins(now)
	m.leaving(now)
	m.watch(now)
	m.pumpAll(now)
}

// isCutOff says whether the lease has been gone for so long that nothing new
// waits for it.
func (m *Machine) isCutOff(now time.Duration) bool {
	return m.hasBeaten && !m.serve.IsLeased(now) && now-m.leasedAt > m.timing.Away
}

func (m *Machine) size(live []string, beta float64, now time.Duration) {
	if isNew := m.sharers.Note(live, now); isNew || beta != m.tuning.Beta {
		m.tuning.Beta = beta
		for _, held := range m.backs {
			m.retune(held)
		}
	}
}

func (m *Machine) retune(held *back) {
	held.share = m.sharers.Of(m.place.Name, held.info.Name, held.info.Connections)
	held.window.Retune(m.tuning.Beta, float64(held.share.Most))
}

func (m *Machine) pumpAll(now time.Duration) {
	m.rebind(now)
	for _, one := range m.bases {
		m.settleConfirms(one, now)
		m.pump(one, now)
	}
}

// Clients counts the sessions.
func (m *Machine) Clients() int { return len(m.clients) }

// Backed is what the node shows of an instance.
type Backed struct {
	Info      model.Instance      `json:"instance"`
	AnsweredM int64               `json:"answered_ms"`
	Position  model.Position      `json:"position"`
	Admission flowcontrol.Reading `json:"admission"`
	Refused   int                 `json:"refused"`
	Sessions  int                 `json:"sessions"`
	Idle      int                 `json:"idle"`
	Share     int                 `json:"share"`
	Kept      int                 `json:"kept"`
}

// Lined is what it shows of a database's lines.
type Lined struct {
	Database string         `json:"database"`
	Turns    int            `json:"turns"`
	Writes   int            `json:"writes"`
	Reads    int            `json:"reads"`
	Out      int            `json:"out"`
	Confirms int            `json:"confirms"`
	High     model.Position `json:"high"`
}

// Show gives what the node shows to operators.
func (m *Machine) Show(now time.Duration) (instances []Backed, lines []Lined) {
	instances, lines = []Backed{}, []Lined{}
	for _, held := range m.backs {
		instances = append(instances, Backed{
			Info: held.info, AnsweredM: (now - held.answered).Milliseconds(), Position: held.position, Admission: held.window.Read(),
			Refused: held.refused, Sessions: len(held.conns), Idle: len(held.idle), Share: held.share.Most, Kept: held.share.Kept,
		})
	}
	for _, one := range m.bases {
		lines = append(lines, Lined{
			Database: one.name, Turns: len(one.turns), Writes: len(one.writes), Reads: len(one.reads), Out: len(one.out),
			Confirms: len(one.confirms), High: one.high,
		})
	}
	return instances, lines
}
