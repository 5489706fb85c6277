package distribution

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

type phaseAt struct {
	term    uint64
	phase   string
	since   int64
	stamp   store.Stamp
	settled time.Duration
}

func (m *Machine) clearSynced() {
	m.roll, m.rollNo = map[string]listed{}, 0
	m.births, m.lapses = map[string]lives{}, 0
	m.evidence = map[string]time.Duration{}
	m.event = 1
	m.covered, m.marks, m.phases = map[string]uint64{}, map[string]model.Position{}, map[string]phaseAt{}
}

func (m *Machine) wait() time.Duration {
	if m.timing.Wait == 0 {
		return Wait
	}
	return m.timing.Wait
}

// isOver says whether a set's moment has passed since an ask came: leases were
// bounded by it, and are no more.
func (m *Machine) isOver(came time.Duration, wall int64, now time.Duration) bool {
	moment := m.doc.Newest().Moment
	return moment != 0 && moment <= wall && came < now-time.Duration(wall-moment)
}

func (m *Machine) tenureOf(wall int64) string {
	if m.tenure == "" {
		m.tenure = fmt.Sprintf("%s@%d", m.self, wall)
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(m.tenure))
		m.number = sum.Sum64() | 1
	}
	return m.tenure
}

func rollOf(instance model.Instance) model.Instance {
	instance.Position, instance.Term, instance.Calls, instance.Birth = model.Position{}, 0, 0, ""
	return instance
}

type listed struct {
	instance model.Instance
	turned   uint64
}

const lately = time.Second

// Roster takes the instances as this machine heard them; those that are synced
// make the roll, which gets a new number whenever one appears or changes in
// more than its position. It gives true for a new number. What was heard long
// before this tenure is not listed: the nodes may have newer word of it.
func (m *Machine) Roster(list []Heard) bool {
	isMet, isNew := map[string]bool{}, false
	for _, one := range list {
		if one.At < m.desk.Began()-lately {
			continue
		}
		isMet[one.Instance.Name] = true
		isNew = m.Enlist(one.Instance) || isNew
	}
	maps.DeleteFunc(m.roll, func(name string, _ listed) bool { return !isMet[name] })
	return isNew
}

// Enlist takes one instance into the roll, and gives true for a new number.
func (m *Machine) Enlist(instance model.Instance) bool {
	instance = rollOf(instance)
	if !instance.IsSynced || m.roll[instance.Name].instance == instance {
		return false
	}
	m.rollNo++
	m.roll[instance.Name] = listed{instance: instance, turned: m.rollNo}
	return true
}

func (m *Machine) rollSince(held Roll) []model.Instance {
	after := uint64(0)
	if held.Tenure == m.tenure {
		after = held.Number
	}
	var list []model.Instance
	for _, one := range m.roll {
		if one.turned > after {
			list = append(list, one.instance)
		}
	}
	slices.SortFunc(list, func(a, b model.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (m *Machine) isRollNews(ask AskNews, wall int64) bool {
	return ask.Kind == model.KindData && m.rollNo > 0 && ask.Roll != Roll{Tenure: m.tenureOf(wall), Number: m.rollNo}
}

func (m *Machine) watch(now time.Duration) {
	if lapses := m.desk.Lapses(now); lapses != m.lapses {
		m.event++
		m.lapses = lapses
	}
}

// lives is what the asks of one node tell of its runs.
type lives struct {
	birth  int64
	number uint64
	past   []int64
}

// noteAsk takes in which run of its program a node asks from, and gives false
// for an ask that comes late: of a run that is over, or overtaken by another.
func (m *Machine) noteAsk(ask AskNews) bool {
	held := m.births[ask.Node]
	if ask.Birth == 0 {
		return true
	}
	if slices.Contains(held.past, ask.Birth) {
		return false
	}
	if held.birth != ask.Birth {
		if held.birth != 0 {
			m.event++
			held.past = append(held.past, held.birth)
		}
		held.birth, held.number = ask.Birth, 0
	}
	isLate := ask.Number < held.number
	held.number = max(held.number, ask.Number)
	m.births[ask.Node] = held
	return !isLate
}

func (m *Machine) noteEvidence(report Report, now time.Duration) {
	at := now - report.Answered
	if report.Refused > 0 || report.Overdue > 0 {
		at = now
	}
	m.evidence[report.Instance.Name] = max(m.evidence[report.Instance.Name], at)
}

func (m *Machine) noteTerms(before model.Doc) {
	for name, writer := range m.doc.Writers {
		old, isKnown := before.Writers[name]
		if isKnown && writer.Term != old.Term && m.covered != nil {
			m.covered[name] = m.event
		}
	}
}

// Covers takes a position that holds all that was acknowledged before an
// event that this tenure showed.
func (m *Machine) Covers(mark syncrepl.Mark) {
	if mark.Tenure != m.tenure || mark.Event > m.event {
		return
	}
	m.covered[mark.Database] = max(m.covered[mark.Database], mark.Event)
	m.marks[mark.Database] = m.marks[mark.Database].Later(mark.Position)
}

// IsSynced says whether a database's instances judge themselves when a commit
// is safe.
func (m *Machine) IsSynced(database string, heard []Heard) bool {
	isOne := func(one Heard) bool { return one.Instance.Database == database && one.Instance.IsSynced }
	return m.doc.Writers[database].IsSynced || slices.ContainsFunc(heard, isOne)
}

// Takeover puts together what the duty of a synced database decides on.
func (m *Machine) Takeover(database string, heard []Heard, wall int64, now time.Duration) syncrepl.Case {
	m.watch(now)
	writer, isKnown := m.doc.Writers[database]
	writer = model.CloneWriter(writer)
	writer.High = writer.High.Later(m.highs[database])
	at := syncrepl.Case{
		Database: database, Writer: writer, IsKnown: isKnown, Stamp: m.table.Records[model.KeyDB+database].Stamp, Wall: wall,
		Age: now - m.desk.Began(), Tenure: m.tenureOf(wall), Event: m.event, Covered: m.covered[database],
		Bound: m.marks[database].Later(writer.High),
	}
	isMet := map[string]bool{}
	for _, one := range heard {
		if one.Instance.Database == database && one.Instance.IsSynced {
			isMet[one.Instance.Name] = true
			at.Sights = append(at.Sights, m.syncedSight(one.Instance, now-one.At, now))
		}
	}
	for _, instance := range m.reportedOf(database) {
		if !isMet[instance.Name] {
			at.Sights = append(at.Sights, m.syncedSight(instance, time.Hour, now))
		}
	}
	m.settlePhase(&at, now)
	return at
}

func (m *Machine) reportedOf(database string) []model.Instance {
	var list []model.Instance
	for _, name := range slices.Sorted(maps.Keys(m.reportsOn[database])) {
		last, found := "", model.Instance{}
		for node, one := range m.reports[name] {
			if one.report.Instance.IsSynced && one.report.Instance.Address != "" && node > last {
				last, found = node, one.report.Instance
			}
		}
		if last != "" {
			list = append(list, found)
		}
	}
	return list
}

func (m *Machine) syncedSight(instance model.Instance, heard, now time.Duration) syncrepl.Sight {
	sight := syncrepl.Sight{Instance: instance, Heard: heard, Answered: time.Hour, Blank: now - max(m.evidence[instance.Name], m.desk.Began())}
	for node, one := range m.reports[instance.Name] {
		age := now - one.at
		if !m.desk.IsHeld(node, now) {
			continue
		}
		answered, isLately := one.report.Answered+age, age <= time.Second
		sight.Answered = min(sight.Answered, answered)
		sight.Heard = min(sight.Heard, answered)
		isTroubled := isLately && (one.report.Refused > 0 || one.report.Overdue > 0)
		if !isTroubled && answered > time.Second {
			continue
		}
		sight.Tried++
		if isLately && one.report.Refused >= 2 {
			sight.Refused++
		}
		if isLately && one.report.Overdue > syncrepl.DefaultTiming().Overdue {
			sight.Overdue++
		}
	}
	return sight
}

func (m *Machine) settlePhase(at *syncrepl.Case, now time.Duration) {
	writer := at.Writer
	known, isKnown := m.phases[at.Database]
	isSame := isKnown && known.term == writer.Term && known.phase == writer.Phase && known.since == writer.Since
	if !at.IsKnown {
		return
	}
	if !isSame {
		known = phaseAt{term: writer.Term, phase: writer.Phase, since: writer.Since, stamp: at.Stamp}
	}
	isSettled := m.desk.Settled(known.stamp, now)
	if isSettled && known.settled == 0 {
		known.settled = now
	}
	if !isSettled {
		known.settled = 0
	}
	m.phases[at.Database] = known
	if isSettled {
		at.IsSettled, at.SettledFor = true, now-known.settled
	}
}
