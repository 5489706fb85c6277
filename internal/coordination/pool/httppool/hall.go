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
	Deadline time.Duration
	// Grace is how long work at a leaving instance may still last.
	Grace time.Duration
	// Reap is when a connection is shut whose statement nobody waits for.
	Reap time.Duration
	// Inside is how long a transaction may lie idle, Idle a consumer.
	Inside, Idle time.Duration
	// Shed is how long a statement waits for a connection before one is taken
	// from the consumer whose state has lain idle there longest, and the least
	// that it must have lain idle; Spare is how long it must have, unless the
	// statement has waited that long.
	Shed, Spare time.Duration
	// RestFirst and RestMost bound the rest after a connection was refused.
	RestFirst, RestMost time.Duration
	// Line, Consumers and Seeks bound a line, the node's consumers, and the
	// asks that are out at one other node.
	Line, Consumers, Seeks int
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		Deadline: 5 * time.Second, Grace: 5 * time.Second, Reap: 10 * time.Second, Inside: 10 * time.Second,
		Idle: 30 * time.Minute, Shed: 200 * time.Millisecond, Spare: 800 * time.Millisecond, RestFirst: 100 * time.Millisecond, RestMost: time.Second,
		Line: 4096, Consumers: 20000, Seeks: 64,
	}
}

// Acts that a connection can carry.
const (
	ActOpen     = "open"
	ActRun      = "run"
	ActBegin    = "begin"
	ActCommit   = "commit"
	ActRollback = "rollback"
	ActSet      = "set"
	ActPrepare  = "prepare"
)

// Op is one request to an instance.
type Op struct {
	Act       string
	Text      string
	Prepared  string
	Arguments []string
	IsWrite   bool
	Name      string
	Value     string
	Go        string
	Term      uint64
}

// Reply is what an instance answered.
type Reply struct {
	// IsRefused says that the instance did not begin on it.
	IsRefused bool
	// IsFailed says that it ran and failed, keeping nothing.
	IsFailed bool
	Error    string
	Rows     []byte
	Position model.Position
	// IsClean says that the connection holds no state.
	IsClean bool
	// IsInside says that a transaction is open.
	IsInside bool
	Role     string
	Term     uint64
	Birth    string
	IsLeave  bool
}

// Outcomes as consumers are told them.
const (
	OutcomeKept    = "kept"
	OutcomeNot     = "not_kept"
	OutcomeUnknown = "unknown"
	OutcomeRead    = "read"
	OutcomeDone    = "done"
)

// Causes for which nothing was done.
const (
	CauseNoSession = "no such session"
	CauseBusy      = "session busy"
	CauseNoBinding = "no such binding"
	CauseNoTurn    = "no such transaction"
	CauseBadGo     = "bad go"
	CauseFailed    = "failed at the instance"
	CauseNotReady  = "not ready"
)

// Result is what a consumer is told.
type Result struct {
	Outcome  string
	Rows     []byte
	Position model.Position
	Fault    string
	// Cause, where given, says why nothing was done, other than for want of
	// time or room.
	Cause    string
	IsClosed bool
	Retry    time.Duration
	Instance string
	Sequence uint64
	// Marks is the consumer's furthest position for each database.
	Marks map[string]model.Position
}

// Effects.
type (
	// Effect is one of the types below.
	Effect any
	// Tell ends a request.
	Tell struct {
		Job    *Job
		Result Result
	}
	// Admit passes a request on to its line: Join.
	Admit struct{ Job *Job }
	// Forward passes it on towards its instance: Pass.
	Forward struct{ Job *Job }
	// Send sends it.
	Send struct {
		Job  *Job
		Wire *Wire
		Op   Op
	}
	// Open opens a connection: Opened.
	Open struct {
		Wire    *Wire
		Address string
	}
	// Shut closes one.
	Shut struct{ Wire *Wire }
	// Seek asks another node what became of a go: Heard.
	Seek struct {
		Job    *Job
		Target string
	}
	// Watch begins to follow an instance's position.
	Watch struct{ Instance string }
	// Report tells the control primary what is seen, before the next ask.
	Report struct{}
	// Turned tells a writer role that moved, Shown a set come in force.
	Turned struct{ Moved routing.Moved }
	Shown  struct{ Sequence uint64 }
)

type phase int

const (
	phaseNew phase = iota
	phaseLease
	phaseSeek
	phaseJoined
	phaseLine
	phaseTaken
	phaseOut
	phaseConfirm
	phaseEnded
)

// Job is one request on its way.
type Job struct {
	// Token belongs to whoever brought the request.
	Token    any
	op       Op
	consumer *consumer
	database string
	sequence uint64
	fresh    time.Duration
	isStrict bool
	isPinned bool
	isInside bool
	mark     model.Position
	arrived  time.Duration
	deadline time.Duration
	phase    phase
	isTold   bool
	isGhost  bool
	hops     int
	target   string
	wire     *Wire
	back     *back
	term     uint64
	sentAt   time.Duration
	ranAt    time.Duration
	position model.Position
	seen     model.Position
	rows     []byte
}

// Deadline is when the request is given up.
func (j *Job) Deadline() time.Duration { return j.deadline }

// Go is the id of the request's go.
func (j *Job) Go() string { return j.op.Go }

// Instance names where the request was passed on to.
func (j *Job) Instance() string {
	if j.back == nil {
		return ""
	}
	return j.back.sight.Info.Name
}

func (j *Job) isLasting() bool {
	return j.op.Act == ActCommit || (j.op.Act == ActRun && j.op.IsWrite && !j.isInside)
}

func (j *Job) isRead() bool { return j.op.Act == ActRun && !j.op.IsWrite }

type line struct {
	jobs []*Job
	live int
}

func (l *line) add(j *Job) {
	l.jobs = append(l.jobs, j)
	l.live++
}

func (l *line) addFirst(j *Job) {
	l.jobs = append([]*Job{j}, l.jobs...)
	l.live++
}

func (l *line) leave() {
	l.live--
	if len(l.jobs) > 64 && l.live < len(l.jobs)/2 {
		l.tidy()
	}
}

func (l *line) tidy() {
	kept := make([]*Job, 0, l.live)
	for _, j := range l.jobs {
		if j.phase == phaseLine {
			kept = append(kept, j)
		}
	}
	l.jobs = kept
}

func (l *line) first() *Job {
	for len(l.jobs) > 0 && l.jobs[0].phase != phaseLine {
		l.jobs = l.jobs[1:]
	}
	if len(l.jobs) == 0 {
		return nil
	}
	return l.jobs[0]
}

type base struct {
	name     string
	turns    line
	writes   line
	reads    line
	confirms []*Job
}

func (one *base) lineOf(j *Job) *line {
	if j.isPinned {
		return &one.turns
	}
	if j.isStrict {
		return &one.writes
	}
	return &one.reads
}

type back struct {
	sight     *routing.Sight
	database  int
	window    *flowcontrol.Window
	idle      []*Wire
	sessions  int
	opening   int
	leavingAt time.Duration
	restAt    time.Duration
	rest      time.Duration
	out       []*Job
	ghosts    []*Job
	pins      []*consumer
	isWatched bool
}

// Wire is one connection to an instance.
type Wire struct {
	// Link belongs to whoever opened it.
	Link   any
	back   *back
	term   uint64
	birth  string
	isOver bool
	isDead bool
}

type consumer struct {
	id       string
	binding  string
	remote   string
	marks    map[string]model.Position
	pinned   *Wire
	isInside bool
	isBusy   bool
	isShut   bool
	isLost   bool
	used     time.Duration
}

// Place is the node's own.
type Place struct {
	Name  string
	Zone  string
	Birth string
	Beta  float64
}

// Machine is one node's state. It does no I/O and has no clock.
type Machine struct {
	place     Place
	timing    Timing
	tuning    flowcontrol.Tuning
	count     func(name string, by int64)
	serve     *routing.Machine
	goes      *idempotency.Machine
	names     *symbol.Index
	bases     []*base
	backNames *symbol.Index
	backs     []*back
	consumers map[string]*consumer
	roll      []*consumer
	remotes   map[string][]*consumer
	leaseless []*Job
	asks      map[string]int
	seeks     map[string][]*Job
	polls     []poll
	ids       uint64
	spreads   uint64
	peers     flowcontrol.Peers
	swept     time.Duration
	isLeaving bool
	effects   []Effect
}

// New makes a node that knows nothing yet; count hears of each counter that
// rises.
func New(place Place, timing Timing, count func(string, int64)) *Machine {
	m := &Machine{
		place: place, timing: timing, tuning: flowcontrol.Defaults(), count: count,
		serve: routing.New(place.Name, lease.DefaultTiming()), goes: idempotency.New(place.Name, place.Birth, idempotency.DefaultTiming()),
		names: symbol.NewIndex(), backNames: symbol.NewIndex(), consumers: map[string]*consumer{}, remotes: map[string][]*consumer{},
		asks: map[string]int{}, seeks: map[string][]*Job{}, peers: flowcontrol.Peers{Most: 1},
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

// Goes gives the node's record of goes.
func (m *Machine) Goes() *idempotency.Machine { return m.goes }

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

// Announced takes an instance's announcement.
func (m *Machine) Announced(info model.Instance, now time.Duration) {
	one := m.base(info.Database)
	rank := m.backNames.Rank(info.Name)
	for len(m.backs) <= rank {
		database, _ := m.names.Find(info.Database)
		m.backs = append(m.backs, &back{window: flowcontrol.New(m.tuning), database: database, sight: m.serve.Sight(info.Name)})
	}
	held := m.backs[rank]
	known := held.sight.Info
	isBack := known.Name != "" && (known.Role != info.Role || known.Birth != info.Birth || now-held.sight.Announced > 5*time.Second || (known.IsLeaving && !info.IsLeaving))
	isMoved := known.Address != info.Address || known.Birth != info.Birth
	if isBack {
		held.window.Restart()
		held.rest, held.restAt = 0, 0
	}
	if isMoved {
		m.shutIdle(held)
	}
	m.serve.Announced(info, now)
	if info.IsLeaving {
		m.leave(held, now)
	} else {
		held.leavingAt = 0
	}
	m.retune(held)
	if !held.isWatched {
		held.isWatched = true
		m.emit(Watch{Instance: info.Name})
	}
	m.settleConfirms(one, now)
	m.pump(one, now)
}

func (m *Machine) leave(held *back, now time.Duration) {
	if held.leavingAt == 0 {
		held.leavingAt = now
		m.shutIdle(held)
	}
}

// Looked takes an instance's answer on where it stands, asked at a moment.
func (m *Machine) Looked(name string, reply Reply, sent, now time.Duration) {
	held := m.back(name)
	seen := held.sight.Info
	seen.Birth, seen.Role, seen.Term, seen.Position, seen.IsLeaving = reply.Birth, reply.Role, reply.Term, reply.Position, reply.IsLeave
	if m.serve.Looked(name, seen, sent, now) {
		m.emit(Report{})
	}
	if reply.IsLeave {
		m.leave(held, now)
	}
	m.settleConfirms(m.baseOf(held), now)
	m.pump(m.baseOf(held), now)
}

// Following says where an instance is to be looked at next, from which
// position on, and false once it has long been silent and is followed no
// more.
func (m *Machine) Following(name string, now time.Duration) (address string, after model.Position, isOn bool) {
	held := m.back(name)
	if now-held.sight.Announced > time.Minute {
		held.isWatched = false
		return "", model.Position{}, false
	}
	return held.sight.Info.Address, held.sight.Position, true
}

// Ask gives the next ask for news.
func (m *Machine) Ask(now time.Duration) distribution.AskNews {
	m.effective(now)
	return m.serve.Ask(now, m.lags(now))
}

// Told gives what is seen, for the control primary.
func (m *Machine) Told(now time.Duration) distribution.Told { return m.serve.Told(now, m.lags(now)) }

func (m *Machine) lags(now time.Duration) map[string]time.Duration {
	lags := map[string]time.Duration{}
	for _, one := range m.bases {
		for _, j := range one.confirms {
			for _, name := range m.serve.Waits(one.name, j.position) {
				lags[name] = max(lags[name], now-j.ranAt)
			}
		}
	}
	return lags
}

// Took takes news that answers an ask sent at a moment.
func (m *Machine) Took(news distribution.News, sent, now time.Duration) {
	if news.Doc != nil {
		m.count("docs_taken", 1)
	}
	m.count("news_answers", 1)
	for _, moved := range m.serve.Take(news, sent, now) {
		m.base(moved.Database)
		m.emit(Turned{Moved: moved})
		m.onWriterMoved(moved, now)
	}
	m.effective(now)
	m.pumpAll(now)
}

func (m *Machine) pumpAll(now time.Duration) {
	m.rebind(now)
	for _, one := range m.bases {
		m.settleConfirms(one, now)
		m.pump(one, now)
	}
}

func (m *Machine) effective(now time.Duration) model.Set {
	current, isNew := m.serve.Effective(now)
	if isNew {
		m.count("sets_shown", 1)
		m.emit(Shown{Sequence: current.Sequence})
	}
	return current
}

// Beat is the regular clock event; count is the number of data-plane nodes
// that live, beta this node's weight.
func (m *Machine) Beat(count int, beta float64, now time.Duration) {
	m.size(count, beta, now)
	for _, held := range m.backs {
		held.window.Tick(now)
		m.reap(held, now)
	}
	m.sweep(now)
	m.pollAgain(now)
	m.pumpAll(now)
}

func (m *Machine) size(count int, beta float64, now time.Duration) {
	if isNew := m.peers.Note(count, now); isNew || beta != m.tuning.Beta {
		m.tuning.Beta = beta
		for _, held := range m.backs {
			m.retune(held)
		}
	}
}

func (m *Machine) share(held *back) int { return max(held.sight.Info.Connections/(m.peers.Most+1), 1) }

func (m *Machine) retune(held *back) { held.window.Retune(m.tuning.Beta, float64(m.share(held))) }

// Ready says whether the node may be given consumers, and why not.
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

// Backed is what the node shows of an instance.
type Backed struct {
	Info      model.Instance      `json:"instance"`
	HeardMS   int64               `json:"heard_ms"`
	AnsweredM int64               `json:"answered_ms"`
	Position  model.Position      `json:"position"`
	FreshMS   int64               `json:"fresh_ms"`
	Admission flowcontrol.Reading `json:"admission"`
	Sessions  int                 `json:"sessions"`
	Idle      int                 `json:"idle"`
	Pinned    int                 `json:"pinned"`
	Share     int                 `json:"share"`
}

// Lined is what it shows of a database's lines.
type Lined struct {
	Database string         `json:"database"`
	Turns    int            `json:"turns"`
	Writes   int            `json:"writes"`
	Reads    int            `json:"reads"`
	Confirms int            `json:"confirms"`
	High     model.Position `json:"high"`
}

// Show gives what the node shows to operators.
func (m *Machine) Show(now time.Duration) (instances []Backed, lines []Lined) {
	instances, lines = []Backed{}, []Lined{}
	for _, held := range m.backs {
		instances = append(instances, Backed{
			Info: held.sight.Info, HeardMS: (now - held.sight.Announced).Milliseconds(), AnsweredM: (now - held.sight.Answered).Milliseconds(),
			Position: held.sight.Position, FreshMS: (now - m.serve.FreshAt(held.sight.Info.Name, now)).Milliseconds(),
			Admission: held.window.Read(), Sessions: held.sessions, Idle: len(held.idle), Pinned: len(held.pins), Share: m.share(held),
		})
	}
	for _, one := range m.bases {
		lines = append(lines, Lined{
			Database: one.name, Turns: one.turns.live, Writes: one.writes.live, Reads: one.reads.live, Confirms: len(one.confirms),
			High: m.serve.High(one.name),
		})
	}
	return instances, lines
}

// Consumers counts those that are let in.
func (m *Machine) Consumers() int { return len(m.consumers) }
