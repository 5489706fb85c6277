// Package distribution is the machine of the control primary beside the epoch
// machine: news and leases for the data plane, the evidence behind the
// writer roles, and the landing of binding sets. It has no clock, no links
// and no disk of its own.
package distribution

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/schedule"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Report is what one node sees of one instance. Of an instance of which the
// control primary has all by an earlier ask of the same run, it holds only the
// name, and the position where that turned.
type Report struct {
	Instance model.Instance
	// Announced, of instances that are not synced, and Answered are how long
	// ago.
	Announced time.Duration
	Answered  time.Duration
	// Placed is how long ago it was asked for the place that it then told.
	Placed time.Duration
	// Lagging is the longest that a commit here has waited for it.
	Lagging time.Duration
	// Refused counts the connections refused since it last answered, Overdue
	// is the age of the oldest statement that is out while nothing was heard
	// of it; both of synced instances only.
	Refused int
	Overdue time.Duration
}

// AskNews asks for news with the stamp held, and for a lease.
type AskNews struct {
	Node    string
	Kind    string
	Have    store.Stamp
	Reports []Report
	Highs   map[string]model.Position
	// Shows is the sequence of the set in force at the node.
	Shows uint64
	// Via names the peer that passes the ask on.
	Via string
	// Roll is the newest roll of instances held.
	Roll Roll
	// Birth names the run of the asking program; where it is given, Number
	// rises with each ask of that run, so that one that comes late is known.
	Birth  int64
	Number uint64
	// Known numbers the tenure that has, by earlier asks, what Reports and
	// Highs leave out; 0 says that they leave out nothing.
	Known uint64
	// IsDelta says that the asker takes a Doc of what was written after Have.
	IsDelta bool
	// IsBare says that the node holds no lease, nor will by an earlier grant. An
	// ask that goes two ways says nothing of it.
	IsBare bool
}

// Roll numbers the lists of instances that one tenure of the control primary
// gives out.
type Roll struct {
	Tenure string
	Number uint64
}

// Told brings reports beside an ask that is out.
type Told struct {
	Node    string
	Reports []Report
	Highs   map[string]model.Position
	// Known is that of AskNews.
	Known uint64
}

// News answers AskNews; Doc is nil where there is none newer, and only of what
// was written since where the asker takes that and has one of this tenure.
type News struct {
	IsPrimary bool
	Record    consensus.Record
	Lease     time.Duration
	Wall      int64
	// Held is how long the ask waited for its answer.
	Held time.Duration
	Doc  *model.Doc
	// Tenure numbers the tenure that took in the ask. Where the ask left out
	// what that one has not, nothing of it was taken in, and there is no lease.
	Tenure uint64
	// Roll numbers Instances, which are those that turned since the asker's
	// roll, all of them where that is of another tenure. What is not among
	// them may still live; what has gone is marked so.
	Roll      Roll
	Instances []model.Instance
}

// Wait is the longest that an ask waits for news where the timing names none.
const Wait = 250 * time.Millisecond

type waiter struct {
	ask   AskNews
	token uint64
	came  time.Duration
	// run counts the tenures here when it came; isUnfit says that it left out
	// what this tenure has not.
	run     uint64
	isUnfit bool
}

// Reply is an effect: the answer to the ask of a token.
type Reply struct {
	Token uint64
	News  News
}

// Write is an effect: puts to be decided against the state at their turn.
// Done must be called when the write has ended, however it ended.
type Write struct {
	Build func(*store.Table) []store.Put
	Done  func()
}

type reported struct {
	report Report
	at     time.Duration
}

type settledAt struct {
	stamp  store.Stamp
	since  time.Duration
	mark   model.Position
	isMark bool
}

// Machine is the control primary's side.
type Machine struct {
	self    string
	timing  lease.Timing
	record  consensus.Record
	table   *store.Table
	doc     model.Doc
	desk    *lease.Desk
	waiters []waiter
	// reports are by instance and node, reportsOn names the instances of each
	// database among them, and told is when a node last brought any.
	reports   map[string]map[string]reported
	reportsOn map[string]map[string]bool
	told      map[string]time.Duration
	// isWhole says of which nodes this tenure has all that they told.
	isWhole     map[string]bool
	highs       map[string]model.Position
	shows       map[string]uint64
	shown       uint64
	settled     map[string]settledAt
	isLand      bool
	isTidy      bool
	tenure      string
	number      uint64
	runs        uint64
	isEnrolling map[string]bool
	inherited   store.Stamp
	// from is the epoch in which this tenure began, and first the stamp of the
	// first write that it published; a node that has that has no other past.
	from   uint64
	first  store.Stamp
	isSure bool

	roll     map[string]listed
	rollNo   uint64
	births   map[string]lives
	lapses   uint64
	evidence map[string]time.Duration
	event    uint64
	covered  map[string]uint64
	marks    map[string]model.Position
	phases   map[string]phaseAt
}

// New makes the machine with the record and state held on disk.
func New(self string, timing lease.Timing, record consensus.Record, held *store.Table, now time.Duration) *Machine {
	m := &Machine{self: self, timing: timing, record: record, from: record.Epoch + 1}
	m.Wrote(held)
	m.clear(now)
	return m
}

func (m *Machine) clear(now time.Duration) {
	m.desk = lease.NewDesk(m.timing, m.known(), now)
	m.isEnrolling = map[string]bool{}
	m.tenure, m.number = "", 0
	m.runs++
	m.reports, m.reportsOn = map[string]map[string]reported{}, map[string]map[string]bool{}
	m.told, m.isWhole = map[string]time.Duration{}, map[string]bool{}
	m.highs = map[string]model.Position{}
	m.shows, m.shown = map[string]uint64{}, 0
	m.settled = map[string]settledAt{}
	m.isLand, m.isTidy = false, false
	m.inherited = m.table.Stamp
	m.clearSynced()
}

func (m *Machine) known() []string {
	var names []string
	for _, key := range m.table.Keys(model.KeyNode) {
		names = append(names, key[len(model.KeyNode):])
	}
	return names
}

func (m *Machine) isKnown(node string) bool {
	_, isHeld := m.table.Records[model.KeyNode+node]
	return isHeld
}

// Enroll gives the write that puts on record the nodes that ask for a lease
// and are not, and strikes those long without one.
func (m *Machine) Enroll(wall int64, now time.Duration) (Write, bool) {
	var puts []store.Put
	var names []string
	for _, held := range m.waiters {
		node := held.ask.Node
		if held.ask.Kind == model.KindData && !m.isKnown(node) && !m.isEnrolling[node] {
			m.isEnrolling[node] = true
			names = append(names, node)
			puts = append(puts, store.Put{Key: model.KeyNode + node, Data: store.Encode(wall)})
		}
	}
	for _, node := range m.desk.Lapsed(now, forget) {
		if m.isKnown(node) && !m.isEnrolling[node] {
			m.isEnrolling[node] = true
			names = append(names, node)
			puts = append(puts, store.Put{Key: model.KeyNode + node, IsGone: true})
		}
	}
	if len(puts) == 0 {
		return Write{}, false
	}
	return Write{
		Build: func(*store.Table) []store.Put { return puts },
		Done: func() {
			for _, node := range names {
				delete(m.isEnrolling, node)
				if !m.isKnown(node) {
					m.forget(node)
					delete(m.births, node)
				}
			}
		},
	}, true
}

const forget = 2 * time.Minute

func (m *Machine) forget(node string) {
	m.desk.Forget(node)
	delete(m.told, node)
	delete(m.isWhole, node)
	delete(m.shows, node)
	for _, by := range m.reports {
		delete(by, node)
	}
}

// Turn takes an epoch record; it gives true when this machine has become
// primary, with nothing known of what an earlier one gave out.
func (m *Machine) Turn(record consensus.Record, held *store.Table, now time.Duration) bool {
	isNew := record.Primary == m.self && m.record.Primary != m.self
	m.record = record
	if isNew {
		m.from, m.first = record.Epoch, store.Stamp{}
	}
	m.Wrote(held)
	if isNew {
		m.clear(now)
	}
	return isNew
}

// Trust says whether the primary's clock may be relied on. Where it may not,
// how long ago an earlier primary took a pending set is not known.
func (m *Machine) Trust(isSure bool) { m.isSure = isSure }

// Wrote takes the state that is safe to publish.
func (m *Machine) Wrote(held *store.Table) {
	before := m.doc
	m.doc, _ = model.DocFrom(held, before, m.table)
	m.table = held
	if m.first == (store.Stamp{}) && held.Stamp.Epoch >= m.from {
		m.first = held.Stamp
	}
	if m.doc.Stamp.IsBefore(m.first) {
		m.doc.Stamp = m.first
	}
	if before.IsPending() && !m.doc.IsPending() && m.desk != nil {
		m.desk.Thaw()
	}
	m.noteTerms(before)
}

// Record gives the epoch record.
func (m *Machine) Record() consensus.Record { return m.record }

// Table gives the published state, to be read only.
func (m *Machine) Table() *store.Table { return m.table }

// Doc gives the data plane's part of it.
func (m *Machine) Doc() model.Doc { return m.doc }

// Held lists the nodes that may hold a lease, with what each has taken up.
func (m *Machine) Held(now time.Duration) map[string]store.Stamp { return m.desk.Held(now) }

// Shows gives the sequence in force at a node, as it last said.
func (m *Machine) Shows(node string) uint64 { return m.shows[node] }

// Ask takes an ask; it is answered by Flush.
func (m *Machine) Ask(ask AskNews, token uint64, now time.Duration) {
	isUnfit := ask.Known != 0 && (ask.Known != m.number || !m.isWhole[ask.Node])
	if ask.Kind == model.KindData && !isUnfit {
		m.watch(now)
		isLate := !m.noteAsk(ask)
		m.desk.OnAsk(ask.Node, ask.Have, now)
		if ask.IsBare && !isLate && ask.Birth != 0 {
			m.desk.OnBare(ask.Node, now)
		}
		if !isLate {
			m.isWhole[ask.Node] = true
			m.gather(ask.Node, ask.Reports, true, now)
		}
		m.raise(ask.Highs)
		m.shows[ask.Node] = ask.Shows
		m.shown = max(m.shown, ask.Shows)
	}
	m.waiters = append(m.waiters, waiter{ask: ask, token: token, came: now, run: m.runs, isUnfit: isUnfit})
}

// Gather takes in what a node sees, told beside its asks.
func (m *Machine) Gather(told Told, now time.Duration) {
	m.gather(told.Node, told.Reports, false, now)
	m.raise(told.Highs)
}

func (m *Machine) gather(node string, reports []Report, isAsk bool, now time.Duration) {
	for _, report := range reports {
		base, isHeld := m.reports[report.Instance.Name][node]
		isBrief := report.Instance.Database == ""
		if isBrief && !isHeld {
			continue
		}
		if isBrief || (isHeld && !isAsk && report.Instance.IsSynced) {
			report.Instance = with(base.report.Instance, report.Instance)
		}
		m.note(node, report, now)
		m.noteEvidence(report, now)
	}
}

// with gives the instance that a node had told of, at the place that it tells
// now. What comes beside the asks may come late, so the rest stays as the
// node's asks have it, which later ones build on.
func with(before, brief model.Instance) model.Instance {
	if brief.Position != (model.Position{}) {
		before.Position = brief.Position
	}
	return before
}

func (m *Machine) raise(highs map[string]model.Position) {
	for name, high := range highs {
		m.highs[name] = m.highs[name].Later(high)
	}
}

func (m *Machine) note(node string, report Report, now time.Duration) {
	name, database := report.Instance.Name, report.Instance.Database
	if m.reports[name] == nil {
		m.reports[name] = map[string]reported{}
	}
	if m.reportsOn[database] == nil {
		m.reportsOn[database] = map[string]bool{}
	}
	m.reports[name][node] = reported{report: report, at: now}
	m.reportsOn[database][name] = true
	m.told[node] = now
}

func (m *Machine) room(wall int64) time.Duration {
	if len(m.catchUp(wall)) > 0 {
		return 0
	}
	room := m.timing.Full
	for _, set := range m.doc.Sets {
		if set.Moment > wall && set.By != m.tenure && !m.isSure {
			return 0
		}
		if set.Moment == 0 && !m.isSure && !m.inherited.IsBefore(m.table.Records[SetKey(set.Sequence)].Stamp) {
			return 0
		}
		if set.Moment == 0 || set.Moment > wall {
			room = min(room, max(time.Duration(max(set.Taken, set.Due)-wall)+m.timing.Patience(), 0))
		}
		if set.Moment == 0 {
			room = min(room, max(time.Duration(set.Taken-wall)+m.timing.Reach(), 0))
		}
	}
	return room
}

// Flush answers the asks for which there is news, and those whose wait is
// over. A lease goes only with the newest state.
func (m *Machine) Flush(isPrimary bool, wall int64, now time.Duration) []Reply {
	var replies []Reply
	var kept []waiter
	for _, held := range m.waiters {
		if isPrimary && (held.isUnfit || held.run != m.runs) {
			m.tenureOf(wall)
			replies = append(replies, Reply{held.token, News{IsPrimary: true, Record: m.record, Wall: wall, Held: now - held.came, Tenure: m.number}})
			continue
		}
		isRested := now >= held.came+calm
		isNews := held.ask.Have.IsBefore(m.doc.Stamp) && (isRested || !m.isCalm(held.ask))
		isRoll := isPrimary && m.isRollNews(held.ask, wall) && (isRested || held.ask.Roll.Tenure != m.tenure)
		isOut := m.isOver(held.came, wall, now) || now >= held.came+m.wait()
		if !isNews && !isRoll && !isOut && isPrimary {
			kept = append(kept, held)
			continue
		}
		news := News{IsPrimary: isPrimary, Record: m.record, Wall: wall, Held: now - held.came}
		if isPrimary {
			m.tenureOf(wall)
			news.Tenure = m.number
			if held.ask.Have.IsBefore(m.doc.Stamp) {
				news.Doc = m.docSince(held.ask)
			}
			if m.isRollNews(held.ask, wall) {
				news.Roll, news.Instances = Roll{Tenure: m.tenureOf(wall), Number: m.rollNo}, m.rollSince(held.ask.Roll)
			}
			if held.ask.Kind == model.KindData && m.isKnown(held.ask.Node) && !m.isEnrolling[held.ask.Node] {
				news.Lease = m.desk.Grant(held.ask.Node, m.room(wall), now)
			}
		}
		replies = append(replies, Reply{held.token, news})
	}
	m.waiters = kept
	return replies
}

// calm is how long an ask waits before news that nothing hangs on: what comes
// one by one then goes together.
const calm = 100 * time.Millisecond

// isCalm says whether all that was written since an ask's stamp is of writer
// roles of synced databases that never moved.
func (m *Machine) isCalm(ask AskNews) bool {
	if m.first == (store.Stamp{}) || ask.Have.IsBefore(m.first) {
		return false
	}
	isAfter := func(key string) bool { return ask.Have.IsBefore(m.table.Records[key].Stamp) }
	if slices.ContainsFunc(m.doc.Sets, func(set model.Set) bool { return isAfter(model.SetKey(set.Sequence)) }) {
		return false
	}
	for name, writer := range m.doc.Writers {
		isResting := writer.IsSynced && writer.Phase == model.PhaseOpen && writer.Holder == ""
		if !isResting && isAfter(model.KeyDB+name) {
			return false
		}
	}
	return true
}

func (m *Machine) docSince(ask AskNews) *model.Doc {
	doc := m.doc
	if ask.IsDelta && m.first != (store.Stamp{}) && !ask.Have.IsBefore(m.first) {
		doc = doc.After(ask.Have, m.table)
	}
	return &doc
}

// Heard is an instance as this machine itself heard it.
type Heard struct {
	Instance model.Instance
	At       time.Duration
}

// Databases names the databases that are known.
func (m *Machine) Databases(heard []Heard) []string {
	names := map[string]bool{}
	for _, one := range heard {
		names[one.Instance.Database] = true
	}
	for name := range m.doc.Writers {
		names[name] = true
	}
	var list []string
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Case puts together what a database's duty decides on.
func (m *Machine) Case(database string, heard []Heard, wall int64, now time.Duration) asyncrepl.Case {
	writer, isKnown := m.doc.Writers[database]
	writer = model.CloneWriter(writer)
	writer.High = writer.High.Later(m.highs[database])
	at := asyncrepl.Case{Database: database, Writer: writer, IsKnown: isKnown, Wall: wall, Age: now - m.desk.Began()}
	for name, told := range m.told {
		if now-told < time.Second && m.desk.IsHeld(name, now) {
			at.Asked++
		}
	}
	for _, one := range heard {
		if one.Instance.Database == database {
			at.Sights = append(at.Sights, m.sight(one, now))
		}
	}
	m.settle(&at, now)
	return at
}

const never = time.Hour

func (m *Machine) sight(heard Heard, now time.Duration) asyncrepl.Sight {
	sight := asyncrepl.Sight{Instance: heard.Instance, Heard: now - heard.At, Placed: never}
	told := sight.Heard
	reports := m.reports[heard.Instance.Name]
	for _, node := range slices.Sorted(maps.Keys(reports)) {
		one := reports[node]
		if now-one.at > time.Second || !m.desk.IsHeld(node, now) {
			continue
		}
		sight.Asked++
		nearest := min(one.report.Announced, one.report.Answered) + now - one.at
		sight.Heard = min(sight.Heard, nearest)
		age := now - one.at
		if since := age + min(one.report.Announced, max(one.report.Placed, one.report.Answered)); since < told {
			told, sight.Placed, sight.Instance = since, one.report.Placed+age, one.report.Instance
		}
		if nearest > asyncrepl.DefaultTiming().Silence {
			sight.Silent++
		}
		sight.Lagging = max(sight.Lagging, one.report.Lagging)
	}
	return sight
}

func (m *Machine) settle(at *asyncrepl.Case, now time.Duration) {
	record, isHeld := m.table.Records[model.KeyDB+at.Database]
	if !isHeld || !m.desk.Settled(record.Stamp, now) {
		delete(m.settled, at.Database)
		return
	}
	known, isKnown := m.settled[at.Database]
	if !isKnown || known.stamp != record.Stamp {
		known = settledAt{stamp: record.Stamp, since: now}
	}
	if !known.isMark {
		for _, sight := range at.Sights {
			if sight.Instance.Name == at.Writer.Primary && sight.Heard < now-known.since {
				known.mark, known.isMark = sight.Instance.Position, true
			}
		}
	}
	m.settled[at.Database] = known
	at.IsSettled, at.SettledFor = true, now-known.since
	at.Mark, at.HasMark = known.mark, known.isMark
}

// RecordCase asks the primary to write a writer record in place of the one
// the case showed.
type RecordCase struct {
	Before   model.Writer
	IsKnown  bool
	After    model.Writer
	What     string
	Evidence string
	By       string
}

// Record gives the puts of a RecordCase, or none where the record has
// changed since the case was shown.
func Record(held *store.Table, ask RecordCase, wall int64) []store.Put {
	key := model.KeyDB + ask.After.Database
	now, isKnown := store.Get[model.Writer](held, key)
	isSame := isKnown == ask.IsKnown && now.Term == ask.Before.Term && now.Phase == ask.Before.Phase &&
		now.Intent == ask.Before.Intent && now.Calls == ask.Before.Calls && now.Fence == ask.Before.Fence &&
		(!now.IsSynced || now.Since == ask.Before.Since) &&
		isSameSet(now.Required, ask.Before.Required) && isSameSet(now.Candidates, ask.Before.Candidates)
	if !isSame {
		return nil
	}
	puts := []store.Put{{Key: key, Data: store.Encode(ask.After)}}
	return append(puts, EntryPuts(held, wall, "database "+ask.After.Database, ask.What, ask.Evidence+" (duty held by "+ask.By+")")...)
}

func isSameSet(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, birth := range a {
		if b[name] != birth {
			return false
		}
	}
	return true
}

const entriesKept = 400

// EntryPuts adds a line to the fleet's own account of what it did.
func EntryPuts(held *store.Table, wall int64, subject, what, evidence string) []store.Put {
	keys := held.Keys(model.KeyEntry)
	order := uint64(1)
	if len(keys) > 0 {
		if last, isHeld := store.Get[model.Entry](held, keys[len(keys)-1]); isHeld {
			order = last.Order + 1
		}
	}
	puts := []store.Put{{
		Key:  fmt.Sprintf("%s%012d", model.KeyEntry, order),
		Data: store.Encode(model.Entry{Order: order, At: wall, Subject: subject, What: what, Evidence: evidence}),
	}}
	for at := 0; at+entriesKept < len(keys); at++ {
		puts = append(puts, store.Put{Key: keys[at], IsGone: true})
	}
	return puts
}

// SetKey is the key of a binding set.
func SetKey(sequence uint64) string { return model.SetKey(sequence) }

// Land gives the next write that brings a booked or pending set on its way,
// if one is due: a booking is taken a little before its moment, and a set
// that every leased node has taken up gets its common moment.
func (m *Machine) Land(wall int64, now time.Duration) (Write, bool) {
	if m.isLand {
		return Write{}, false
	}
	m.tenureOf(wall)
	done := func() {
		m.isLand = false
		m.desk.Thaw()
	}
	if _, isDue := nextBooking(m.table, wall); isDue {
		m.isLand = true
		return Write{Build: func(held *store.Table) []store.Put { return takeBooking(held, wall) }, Done: done}, true
	}
	if moved := m.catchUp(wall); len(moved) > 0 && m.mayMove(moved, now) {
		m.isLand = true
		return Write{Build: func(held *store.Table) []store.Put {
			var puts []store.Put
			for _, set := range moved {
				if _, isHeld := held.Records[SetKey(set.Sequence)]; isHeld {
					puts = append(puts, store.Put{Key: SetKey(set.Sequence), Data: store.Encode(set)})
				}
			}
			return puts
		}, Done: done}, true
	}
	if !m.doc.IsPending() || !m.desk.Settled(m.table.Records[SetKey(m.doc.Newest().Sequence)].Stamp, now) {
		return Write{}, false
	}
	earliest := m.desk.Latest(now) + m.timing.Margin
	m.desk.Freeze(earliest)
	if isFirst := m.doc.Sets[0].Moment == 0; isFirst {
		earliest = now + m.timing.Margin
	}
	m.isLand = true
	moment := wall + int64(earliest-now)
	seen, by := m.doc.Stamp, m.tenure
	return Write{Build: func(held *store.Table) []store.Put { return setMoments(held, seen, moment, wall, by) }, Done: done}, true
}

func (m *Machine) catchUp(wall int64) []model.Set {
	if !slices.ContainsFunc(m.doc.Sets, func(set model.Set) bool { return set.Moment > wall }) {
		return nil
	}
	var moved []model.Set
	for _, set := range m.doc.Sets {
		isAhead := set.Moment > wall
		isOld := set.By != m.tenure && wall >= set.Due && !m.isHonest(set, wall)
		if isAhead && (set.Sequence <= m.shown || isOld) {
			set.Moment = 1
			moved = append(moved, set)
		}
	}
	return moved
}

// mayMove says whether moments may be brought forward: where a node shows each set
// already, or once no lease of an earlier tenure is left, by which a node that has not
// heard of it would serve under the set before until the moment that it was told.
func (m *Machine) mayMove(moved []model.Set, now time.Duration) bool {
	isShown := !slices.ContainsFunc(moved, func(set model.Set) bool { return set.Sequence > m.shown })
	return isShown || now >= m.desk.Began()+m.timing.Full
}

// isHonest says whether a moment set by an earlier tenure may lie ahead by the
// clock: one is set that far ahead, and all who hold a lease past it know it.
func (m *Machine) isHonest(set model.Set, wall int64) bool {
	return m.isSure && time.Duration(set.Moment-wall) < m.timing.Full+m.timing.Margin
}

func nextBooking(held *store.Table, wall int64) (model.Booking, bool) {
	var bookings []model.Booking
	for _, key := range held.Keys(model.KeyBook) {
		if booking, isHeld := store.Get[model.Booking](held, key); isHeld {
			bookings = append(bookings, booking)
		}
	}
	return schedule.Next(bookings, wall)
}

func takeBooking(held *store.Table, wall int64) []store.Put {
	booking, isDue := nextBooking(held, wall)
	if !isDue {
		return nil
	}
	key := model.KeyBook + booking.ID
	newest := model.DocOf(held).Newest()
	set := follow(newest, model.Set{Bindings: booking.Bindings, Due: booking.At, Taken: wall, Source: "booking " + booking.ID})
	puts := []store.Put{{Key: key, IsGone: true}, {Key: SetKey(set.Sequence), Data: store.Encode(set)}}
	return append(puts, EntryPuts(held, wall, "bindings", fmt.Sprintf("booked change %s taken as sequence %d", booking.ID, set.Sequence), "its moment is near")...)
}

func setMoments(held *store.Table, seen store.Stamp, moment, wall int64, by string) []store.Put {
	doc := model.DocOf(held)
	var puts []store.Put
	last := uint64(0)
	for _, set := range schedule.Moment(doc.Sets, moment) {
		if stamp := held.Records[SetKey(set.Sequence)].Stamp; !seen.IsBefore(stamp) {
			set.By = by
			puts = append(puts, store.Put{Key: SetKey(set.Sequence), Data: store.Encode(set)})
			last = set.Sequence
		}
	}
	if len(puts) == 0 {
		return nil
	}
	what := fmt.Sprintf("sequence %d takes effect at %d", last, moment/int64(time.Millisecond))
	return append(puts, EntryPuts(held, wall, "bindings", what, "every leased node has taken it up")...)
}

// Tidy gives the write that drops sets which every leased node has left
// behind, if there are any.
func (m *Machine) Tidy(wall int64, now time.Duration) (Write, bool) {
	lowest := m.doc.Effective(wall).Sequence
	isDue := !m.isTidy && now > m.desk.Began()+m.timing.Full
	if !isDue || len(m.doc.Sets) == 0 || m.doc.Sets[0].Sequence >= lowest {
		return Write{}, false
	}
	for node := range m.desk.Held(now) {
		lowest = min(lowest, m.shows[node])
	}
	if m.doc.Sets[0].Sequence >= lowest {
		return Write{}, false
	}
	m.isTidy = true
	return Write{Build: func(held *store.Table) []store.Put {
		var puts []store.Put
		for _, set := range model.DocOf(held).Sets {
			if set.Sequence < lowest {
				puts = append(puts, store.Put{Key: SetKey(set.Sequence), IsGone: true})
			}
		}
		raws := held.Keys(model.KeyRaw)
		for at, key := range raws {
			if at+1 < len(raws) && key < RawKey(lowest) {
				puts = append(puts, store.Put{Key: key, IsGone: true})
			}
		}
		return puts
	}, Done: func() { m.isTidy = false }}, true
}
