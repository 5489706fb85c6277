// Package routing is the machine by which a data-plane node knows what it may
// do: its lease, the state it has taken up, the positions of the instances,
// and from these what is in force, what is fresh and what is kept.
package routing

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Verdicts on a commit that ran.
const (
	VerdictNone    = ""
	VerdictKept    = "kept"
	VerdictUnknown = "unknown"
)

// FreshMargin is taken off a binding's bound, and is the least bound.
const FreshMargin = 60 * time.Millisecond

type sample struct {
	at       time.Duration
	position model.Position
}

// Sight is what the node itself sees of an instance.
type Sight struct {
	Info      model.Instance
	Position  model.Position
	Announced time.Duration
	Answered  time.Duration
	// Placed is when it was last asked for the place that it then told.
	Placed time.Duration
	rose   time.Duration
}

func (s *Sight) raise(position model.Position, now time.Duration) {
	if s.Position.IsBefore(position) {
		s.Position, s.rose = position, now
	}
}

// Machine is one node's knowledge.
type Machine struct {
	self    string
	holder  *lease.Holder
	doc     model.Doc
	shown   uint64
	asks    uint64
	sights  map[string]*Sight
	samples map[string][]sample
	highs   map[string]model.Position
	moments map[uint64]time.Duration
	teller  Teller
}

// Moved is an effect: a writer role's term or phase has changed.
type Moved struct {
	Database string
	Before   model.Writer
	After    model.Writer
}

// New makes a node that knows nothing yet.
func New(self string, timing lease.Timing) *Machine {
	return &Machine{
		self: self, holder: lease.NewHolder(timing), sights: map[string]*Sight{},
		samples: map[string][]sample{}, highs: map[string]model.Position{},
		moments: map[uint64]time.Duration{},
	}
}

// IsLeased says whether the node may serve at this moment.
func (m *Machine) IsLeased(now time.Duration) bool { return m.holder.IsHeld(now) }

// Left gives what remains of the lease.
func (m *Machine) Left(now time.Duration) time.Duration { return m.holder.Left(now) }

// Epoch gives the highest epoch that granted a lease.
func (m *Machine) Epoch() uint64 { return m.holder.Epoch() }

// Stamp gives the stamp of the state taken up.
func (m *Machine) Stamp() store.Stamp { return m.doc.Stamp }

// Doc gives the state taken up.
func (m *Machine) Doc() model.Doc { return m.doc }

// Writer gives a database's writer role.
func (m *Machine) Writer(database string) model.Writer { return m.doc.Writers[database] }

// Effective gives the set in force and whether it has just come in force.
// Its sequence never falls on a node.
func (m *Machine) Effective(now time.Duration) (model.Set, bool) {
	var current model.Set
	for _, set := range m.doc.Sets {
		moment, isSet := m.moments[set.Sequence]
		if (isSet && moment <= now) || set.Sequence <= m.shown {
			current = set
		}
	}
	isNew := current.Sequence > m.shown
	m.shown = max(m.shown, current.Sequence)
	return current, isNew
}

// Sight gives what is known of an instance, made where it is new.
func (m *Machine) Sight(name string) *Sight {
	held, isHeld := m.sights[name]
	if !isHeld {
		held = &Sight{Announced: -time.Hour, Answered: -time.Hour, Placed: -time.Hour}
		m.sights[name] = held
	}
	return held
}

// Announced takes an instance's announcement.
func (m *Machine) Announced(info model.Instance, now time.Duration) {
	held := m.Sight(info.Name)
	if held.Info.Birth != info.Birth {
		held.Position, held.rose = info.Position, now
	}
	held.raise(info.Position, now)
	info.Position = held.Position
	held.Info, held.Announced = info, now
}

// Looked takes an instance's answer on where it stands; sent is when it was
// asked. Everything that was confirmed before then lies at or before the
// position that the primary gives. An instance that stands behind where it
// stood before it was asked has gone back, and is believed.
func (m *Machine) Looked(name string, info model.Instance, sent, now time.Duration) bool {
	held := m.Sight(name)
	held.Answered = now
	if info.Birth != held.Info.Birth {
		return false
	}
	held.Placed = max(held.Placed, sent)
	isTurned := held.Info.Role != info.Role || held.Info.Term != info.Term || held.Info.IsLeaving != info.IsLeaving
	if held.rose < sent && info.Position.IsBefore(held.Position) {
		held.Position = info.Position
	}
	held.raise(info.Position, now)
	held.Info.Role, held.Info.Term, held.Info.Position, held.Info.IsLeaving = info.Role, info.Term, held.Position, info.IsLeaving
	database := held.Info.Database
	writer := m.doc.Writers[database]
	isWriter := writer.Primary == name && writer.Phase == model.PhaseOpen && writer.Term == info.Term && writer.Birth == info.Birth
	if isWriter && info.Role == model.RolePrimary && m.holder.IsHeld(now) {
		list := append(m.samples[database], sample{at: sent, position: info.Position})
		if len(list) > 512 {
			list = slices.Delete(list, 0, 128)
		}
		m.samples[database] = list
	}
	return isTurned
}

// Ask gives the next ask for news. Lags says how long the oldest commit here
// has waited for each replica.
func (m *Machine) Ask(now time.Duration, lags map[string]time.Duration) distribution.AskNews {
	return m.ask(m.Told(now, lags), now)
}

// AskBrief gives the next ask of a node that tells what it sees itself, less
// what the control primary has by earlier asks of the same run, which the ask
// must then name.
func (m *Machine) AskBrief(told distribution.Told, now time.Duration) distribution.AskNews {
	return m.ask(m.teller.Ask(told, now), now)
}

// Brief gives, in the same way, what is told beside the asks.
func (m *Machine) Brief(told distribution.Told, now time.Duration) distribution.Told {
	return m.teller.Brief(told, now)
}

func (m *Machine) ask(told distribution.Told, now time.Duration) distribution.AskNews {
	current, _ := m.Effective(now)
	m.asks++
	return distribution.AskNews{
		Node: m.self, Kind: model.KindData, Have: m.doc.Stamp, Reports: told.Reports, Highs: told.Highs, Known: told.Known,
		Shows: current.Sequence, Number: m.asks, IsDelta: true, IsBare: m.holder.Bare(now),
	}
}

// Told gives what the node sees, for the control primary.
func (m *Machine) Told(now time.Duration, lags map[string]time.Duration) distribution.Told {
	told := distribution.Told{Node: m.self, Highs: map[string]model.Position{}}
	var names []string
	for name := range m.sights {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		held := m.sights[name]
		if held.Info.Name == "" {
			continue
		}
		told.Reports = append(told.Reports, distribution.Report{
			Instance: held.Info, Announced: now - held.Announced, Answered: now - held.Answered, Placed: now - held.Placed, Lagging: lags[name],
		})
	}
	for database, high := range m.highs {
		told.Highs[database] = high
	}
	return told
}

// Take takes news that answers an ask sent at a moment. What it forbids is
// in force at once, and the next ask tells the primary so. A Doc written after
// another state than the one held brings no lease, since that goes only with
// the newest.
func (m *Machine) Take(news distribution.News, sent, now time.Duration) []Moved {
	var moved []Moved
	m.teller.Took(news.Tenure)
	if news.Doc != nil && m.doc.Stamp.IsBefore(news.Doc.Stamp) {
		whole, isFit := m.doc.With(*news.Doc)
		if !isFit {
			return nil
		}
		moved = m.takeDoc(whole)
	}
	m.holder.OnGrant(lease.Grant{
		Epoch: news.Record.Epoch, Primary: news.Record.Primary, Length: news.Lease, Wall: news.Wall, Held: news.Held,
	}, sent, now)
	m.reckon(now)
	m.Effective(now)
	return moved
}

func (m *Machine) reckon(now time.Duration) {
	if m.holder.Doubt(now) > lease.MostDoubt {
		return
	}
	offset := m.holder.Wall(0)
	moments := map[uint64]time.Duration{}
	for _, set := range m.doc.Sets {
		if set.Moment == 0 {
			continue
		}
		moment := max(time.Duration(set.Moment-offset), 0)
		if held, isHeld := m.moments[set.Sequence]; isHeld && held < moment {
			moment = held
		}
		moments[set.Sequence] = moment
	}
	m.moments = moments
}

func (m *Machine) takeDoc(doc model.Doc) []Moved {
	before := m.doc.Writers
	m.doc = doc
	var names []string
	for name := range doc.Writers {
		names = append(names, name)
	}
	slices.Sort(names)
	var moved []Moved
	for _, name := range names {
		writer := doc.Writers[name]
		if before[name].Term == writer.Term && before[name].Phase == writer.Phase {
			continue
		}
		if before[name].Term != writer.Term {
			delete(m.samples, name)
		}
		moved = append(moved, Moved{Database: name, Before: before[name], After: writer})
	}
	return moved
}

// MayWrite says whether a write may go to an instance in a term now.
func (m *Machine) MayWrite(database string, term uint64, now time.Duration) bool {
	writer := m.doc.Writers[database]
	return m.holder.IsHeld(now) && writer.Phase == model.PhaseOpen && writer.Term == term
}

// FreshAt gives the latest moment up to which a replica is known to hold
// everything confirmed: that of the last look at the primary whose position
// it has reached. While a term is closed nothing is confirmed, and every
// candidate at or past what was confirmed before the term holds all that was.
func (m *Machine) FreshAt(name string, now time.Duration) time.Duration {
	held := m.Sight(name)
	database := held.Info.Database
	writer := m.doc.Writers[database]
	isShut := writer.Phase == model.PhaseClosed || writer.Phase == model.PhaseIntent
	birth, isCandidate := writer.Candidates[name]
	if isShut && isCandidate && birth == held.Info.Birth && !held.Position.IsBefore(writer.High) {
		return now
	}
	list := m.samples[database]
	for at := len(list) - 1; at >= 0; at-- {
		if !held.Position.IsBefore(list[at].position) {
			return list[at].at
		}
	}
	return -time.Hour
}

// MayRead says whether an instance may answer a read that came at a moment:
// the primary always, a replica that holds all that was confirmed up to the
// bound, and the consumer's own writes.
func (m *Machine) MayRead(name string, came, bound time.Duration, mark model.Position, now time.Duration) bool {
	held := m.Sight(name)
	writer := m.doc.Writers[held.Info.Database]
	if name == writer.Primary {
		return writer.Phase == model.PhaseOpen && held.Info.Role == model.RolePrimary && held.Info.Birth == writer.Birth
	}
	if bound == 0 || held.Info.Role != model.RoleReplica || now-held.Announced > 3*time.Second || held.Position.IsBefore(mark) {
		return false
	}
	return m.FreshAt(name, now) >= came-max(bound, FreshMargin)+FreshMargin
}

// Waits names the replicas that do not yet hold a position that a commit of
// an open term must reach.
func (m *Machine) Waits(database string, position model.Position) []string {
	var names []string
	for name, birth := range m.doc.Writers[database].Required {
		held := m.Sight(name)
		if held.Info.Birth != birth || held.Position.IsBefore(position) {
			names = append(names, name)
		}
	}
	return names
}

// Judge gives what is shown of a commit that ran in a term at a position: it
// is kept once every replica that may be promoted holds it, or if the next
// term began past it; it is unknown once its term is over otherwise.
func (m *Machine) Judge(database string, term uint64, position model.Position, now time.Duration) string {
	writer := m.doc.Writers[database]
	if !m.holder.IsHeld(now) {
		return VerdictNone
	}
	if writer.Term == term {
		isOpen := writer.Phase == model.PhaseOpen && len(writer.Required) > 0
		if !isOpen || len(m.Waits(database, position)) > 0 {
			return VerdictNone
		}
		m.highs[database] = m.highs[database].Later(position)
		return VerdictKept
	}
	if writer.Before == term && position.Term <= term && position.Index < writer.Base.Index {
		m.highs[database] = m.highs[database].Later(position)
		return VerdictKept
	}
	return VerdictUnknown
}

// High gives the furthest position confirmed here.
func (m *Machine) High(database string) model.Position { return m.highs[database] }
