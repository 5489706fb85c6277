package steer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam.example/pooler/coordination/takeover"
	"tansyseam.example/pooler/state/table"
	"tansyseam.example/pooler/state/view"
)

type phaseAt struct {
	term    uint64
	phase   string
	since   int64
	stamp   table.Stamp
	settled time.Duration
}

func (m *Machine) clearSynced() {
	m.roll, m.rollNo = nil, 0
	m.births, m.leased = map[string]lives{}, map[string]bool{}
	m.evidence = map[string]time.Duration{}
	m.event = 1
	m.covered, m.marks, m.phases = map[string]uint64{}, map[string]view.Position{}, map[string]phaseAt{}
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
	}
	return m.tenure
}

func rollOf(instance view.Instance) view.Instance {
	instance.Position, instance.Term, instance.Calls, instance.Birth = view.Position{}, 0, 0, ""
	return instance
}

// Roster takes the instances known to this machine; those that are synced
// make the roll, which gets a new number whenever one appears or changes in
// more than its position. It gives true for a new number.
func (m *Machine) Roster(instances []view.Instance) bool {
	before := map[string]view.Instance{}
	for _, instance := range m.roll {
		before[instance.Name] = instance
	}
	var roll []view.Instance
	isNew := false
	for _, instance := range instances {
		if !instance.IsSynced {
			continue
		}
		instance = rollOf(instance)
		roll = append(roll, instance)
		isNew = isNew || before[instance.Name] != instance
	}
	slices.SortFunc(roll, func(a, b view.Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if isNew {
		m.roll = roll
		m.rollNo++
	}
	return isNew
}

func (m *Machine) isRollNews(ask AskNews, wall int64) bool {
	return ask.Kind == view.KindData && m.rollNo > 0 && ask.Roll != Roll{Tenure: m.tenureOf(wall), Number: m.rollNo}
}

func (m *Machine) watch(now time.Duration) {
	held := map[string]bool{}
	for node := range m.desk.Held(now) {
		held[node] = true
	}
	for node := range m.leased {
		if !held[node] {
			m.event++
			break
		}
	}
	m.leased = held
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

func (m *Machine) noteTerms(before view.Doc) {
	for name, writer := range m.doc.Writers {
		old, isKnown := before.Writers[name]
		if isKnown && writer.Term != old.Term && m.covered != nil {
			m.covered[name] = m.event
		}
	}
}

// Covers takes a position that holds all that was acknowledged before an
// event that this tenure showed.
func (m *Machine) Covers(mark takeover.Mark) {
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
func (m *Machine) Takeover(database string, heard []Heard, wall int64, now time.Duration) takeover.Case {
	m.watch(now)
	writer, isKnown := m.doc.Writers[database]
	writer = view.CloneWriter(writer)
	writer.High = writer.High.Later(m.highs[database])
	at := takeover.Case{
		Database: database, Writer: writer, IsKnown: isKnown, Stamp: m.table.Records[view.KeyDB+database].Stamp, Wall: wall,
		Age: now - m.desk.Began(), Tenure: m.tenureOf(wall), Event: m.event, Covered: m.covered[database],
		Bound: m.marks[database].Later(writer.High),
	}
	held := m.desk.Held(now)
	isMet := map[string]bool{}
	for _, one := range heard {
		if one.Instance.Database == database && one.Instance.IsSynced {
			isMet[one.Instance.Name] = true
			at.Sights = append(at.Sights, m.syncedSight(one.Instance, now-one.At, held, now))
		}
	}
	for _, instance := range m.reportedOf(database) {
		if !isMet[instance.Name] {
			at.Sights = append(at.Sights, m.syncedSight(instance, time.Hour, held, now))
		}
	}
	m.settlePhase(&at, now)
	return at
}

func (m *Machine) reportedOf(database string) []view.Instance {
	found := map[string]view.Instance{}
	for _, node := range slices.Sorted(maps.Keys(m.reports)) {
		for name, one := range m.reports[node] {
			if one.report.Instance.Database == database && one.report.Instance.IsSynced && one.report.Instance.Address != "" {
				found[name] = one.report.Instance
			}
		}
	}
	var list []view.Instance
	for _, name := range slices.Sorted(maps.Keys(found)) {
		list = append(list, found[name])
	}
	return list
}

func (m *Machine) syncedSight(instance view.Instance, heard time.Duration, held map[string]table.Stamp, now time.Duration) takeover.Sight {
	sight := takeover.Sight{Instance: instance, Heard: heard, Answered: time.Hour, Blank: now - max(m.evidence[instance.Name], m.desk.Began())}
	for node := range m.reports {
		one, isReported := m.reports[node][instance.Name]
		age := now - one.at
		if _, isLeased := held[node]; !isLeased || !isReported || age > time.Second {
			continue
		}
		answered := one.report.Answered + age
		sight.Answered = min(sight.Answered, answered)
		sight.Heard = min(sight.Heard, answered)
		if one.report.Refused == 0 && one.report.Overdue == 0 && answered > time.Second {
			continue
		}
		sight.Tried++
		if one.report.Refused >= 2 {
			sight.Refused++
		}
		if one.report.Overdue > takeover.DefaultTiming().Overdue {
			sight.Overdue++
		}
	}
	return sight
}

func (m *Machine) settlePhase(at *takeover.Case, now time.Duration) {
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
