// Package modelcheck plays control's epoch machines through every course of events
// within bounds: all fleets of a few machines in which at most so many things go
// other than by default, at any point of so many rounds. In a round each machine has its tick and all messages are delivered; what may go
// otherwise is in the table of faults. States met before are not played again.
package modelcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// Plant is a defect put on purpose around the machines.
type Plant struct {
	// IsBlankVoting: a machine with a blank disk takes itself for founded.
	IsBlankVoting bool
	// IsUnsynced: what rests on votes does not wait for their file, which is
	// synced with the next round.
	IsUnsynced bool
	// IsHasty: the primary takes the backup's word for given.
	IsHasty bool
	// IsSameDisk: a machine that lost its disk and starts again takes itself for the
	// voter that it was.
	IsSameDisk bool
	// IsOldVoter: a machine that starts again counts the voters that the fleet was
	// founded with.
	IsOldVoter bool
}

// Shape bounds a search.
type Shape struct {
	// Machines vote at first, Standbys have blank disks.
	Machines, Standbys int
	// Round is how long a round lasts, 100 ms where it is not given.
	Round time.Duration
	// Faults is how many things go other than by default, Wipes how many disks of
	// all may be lost, Rounds how many rounds are played after the first fault may
	// come, Writes how many writes are asked for.
	Faults, Wipes, Rounds, Writes int
	// Copies is how many disks, less those lost before, must hold what is
	// acknowledged.
	Copies int
	// Only, where given, names the faults that may come.
	Only []string
	// At, where given, names the machines to which they come; messages may suffer
	// anywhere.
	At []string
	// IsSpaced lets faults come to machines only while the fleet is whole.
	IsSpaced bool
	Plant    Plant
	// Most, where given, ends the search after so many states.
	Most int
}

// Result is what a search met.
type Result struct {
	// States counts states that differ, Steps events played.
	States, Steps int
	// Epochs is the highest epoch reached, Acked the most writes acknowledged.
	Epochs uint64
	Acked  int
	// IsCut says that the search ended at its count of states.
	IsCut bool
	// Fault is the first rule broken, and Course how it came about.
	Fault  string
	Course []string
}

// course is how a world came about, each step after the one before.
type course struct {
	before *course
	at     time.Duration
	who    string
	one    *message
	what   string
}

func (c *course) String() string {
	text := fmt.Sprintf("%v %s", c.at-time.Hour, c.who)
	if c.one != nil {
		text += fmt.Sprintf("%T from %s to %s ", c.one.body, c.one.from, c.one.to)
	}
	return text + c.what
}

type world struct {
	shape   *Shape
	now     time.Duration
	hosts   []*host
	net     []message
	late    []message
	acked   []string
	shown   []string
	records map[uint64]consensus.Record
	asked   string
	writes  int
	limit   int
	faults  int
	wipes   int
	rounds  int
	fault   string
	course  *course
	// isVoid says that the course is no other than one played without it.
	isVoid bool
}

func (w *world) clone() *world {
	other := *w
	other.hosts = slices.Clone(w.hosts)
	other.net, other.late = slices.Clone(w.net), slices.Clone(w.late)
	return &other
}

// own gives a host that this world may change.
func (w *world) own(at int) *host {
	w.hosts[at] = w.hosts[at].clone()
	return w.hosts[at]
}

func (w *world) miss(format string, parts ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, parts...)
	}
}

func (w *world) names() []string {
	var names []string
	for _, one := range w.hosts {
		names = append(names, one.name)
	}
	return names
}

func (w *world) find(name string) int {
	return slices.IndexFunc(w.hosts, func(one *host) bool { return one.name == name })
}

func (w *world) post(one message) {
	if at := w.find(one.to); at >= 0 && !w.hosts[at].isAlone && !w.hosts[w.find(one.from)].isAlone {
		w.net = append(w.net, one)
	}
}

func (w *world) key() Key {
	p := printer{now: w.now, data: make([]byte, 0, 2048)}
	for _, one := range w.hosts {
		key := one.key(w.now)
		p.data = append(p.data, key[:]...)
	}
	for _, list := range [][]message{w.net, w.late} {
		p.number(uint64(len(list)))
		for _, one := range list {
			p.message(one)
		}
	}
	p.value(w.acked)
	p.value(w.shown)
	p.value(w.records)
	p.text(w.asked)
	p.number(uint64(w.writes))
	p.number(uint64(w.wipes))
	return p.key()
}

func (w *world) founded(self string) consensus.Saved {
	names := w.names()[:w.shape.Machines]
	var members []consensus.Member
	for _, name := range names {
		members = append(members, consensus.Member{Name: name})
	}
	record := consensus.Record{Epoch: 1, Primary: names[0], Backup: names[1], Voters: consensus.NewVoters(members...)}
	return consensus.Saved{
		Identity: &consensus.Identity{Cluster: "x", Self: self, Voters: names, IsFormed: true},
		Ballots:  &consensus.Ballots{Sequence: 1, Decided: record},
		Table:    store.New(),
	}
}

func begin(shape *Shape) *world {
	w := &world{shape: shape, now: time.Hour, limit: 1, records: map[uint64]consensus.Record{}}
	for at := range shape.Machines + shape.Standbys {
		w.hosts = append(w.hosts, &host{
			name: fmt.Sprintf("c%d", at+1), promises: map[uint64]proposal.Number{}, accepts: map[uint64]proposal.Number{},
		})
	}
	for at, one := range w.hosts {
		if at >= shape.Machines {
			w.start(one)
			continue
		}
		saved := w.founded(one.name)
		w.records[1] = saved.Ballots.Decided
		one.files = files{identity: store.Encode(*saved.Identity), ballots: saved.Ballots, table: store.Encode(*saved.Table)}
		w.start(one)
	}
	for range 12 {
		for len(w.net) > 0 {
			w.deliver(0)
		}
		w.turn()
	}
	for len(w.net) > 0 {
		w.deliver(0)
	}
	w.course, w.limit = nil, 1+shape.Writes
	return w
}

// deliver hands over one of the messages under way.
func (w *world) deliver(at int) {
	one := w.net[at]
	w.net = slices.Delete(w.net, at, at+1)
	h := w.own(w.find(one.to))
	if !h.isUp || h.isAlone || w.hosts[w.find(one.from)].isAlone {
		return
	}
	if h.isFrozen {
		h.inbox = append(h.inbox, one)
		return
	}
	w.hear(h, one)
}

func (w *world) hear(h *host, one message) {
	w.step(h, consensus.Heard{From: one.from, Body: one.body})
}

// turn plays the start of the next round.
func (w *world) turn() {
	w.now += w.shape.Round
	w.rounds++
	for at := range w.hosts {
		if !w.hosts[at].isUp || w.hosts[at].isFrozen {
			continue
		}
		h := w.own(at)
		if h.lagging != nil {
			kept(h, h.lagging)
			h.lagging = nil
		}
		w.sync(h)
		w.step(h, consensus.Tick{Wall: h.lives, Owed: h.gate.Owed(w.now)})
		if w.now < h.primacy && w.asked == "" && w.writes < w.limit {
			w.writes++
			w.asked = h.name
			key := keyOf(uint64(w.writes))
			w.step(h, consensus.Submit{Token: uint64(w.writes), Build: func(*store.Table) []store.Put {
				return []store.Put{{Key: key, Data: []byte("x")}}
			}})
		}
	}
}

// check holds the rules that speak of a moment.
func (w *world) check() {
	leader := ""
	for _, one := range w.hosts {
		if !one.isUp || w.now >= one.primacy {
			continue
		}
		if leader != "" {
			w.miss("%s and %s hold primacy at once", leader, one.name)
		}
		leader = one.name
		for _, list := range [][]string{w.acked, w.shown} {
			for _, key := range list {
				if !slices.Contains(one.public, key) {
					w.miss("%s serves without %s, which was acknowledged or shown", one.name, key)
				}
			}
		}
		for _, key := range one.public {
			if !slices.Contains(w.shown, key) {
				w.shown = append(slices.Clone(w.shown), key)
			}
		}
	}
}

type bounds struct{ faults, wipes, rounds int }

func (b bounds) covers(other bounds) bool {
	return b.faults >= other.faults && b.rounds >= other.rounds
}

func (w *world) left() bounds {
	return bounds{faults: w.shape.Faults - w.faults, rounds: w.shape.Rounds - w.rounds}
}

// Run searches, and ends at the first rule broken. The same shape gives the same
// result.
func Run(shape Shape) Result {
	shape.Round = cmp.Or(shape.Round, 100*time.Millisecond)
	first := begin(&shape)
	first.rounds = 0
	var result Result
	met := map[Key]bounds{}
	stack := []*world{first}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		w.check()
		result.Steps++
		for number := range maps.Keys(w.records) {
			result.Epochs = max(result.Epochs, number)
		}
		result.Acked = max(result.Acked, len(w.acked))
		if w.fault != "" {
			result.Fault = w.fault
			for at := w.course; at != nil; at = at.before {
				result.Course = append(result.Course, at.String())
			}
			slices.Reverse(result.Course)
			break
		}
		key := w.key()
		known, isMet := met[key]
		if isMet && known.covers(w.left()) {
			continue
		}
		met[key] = w.left()
		if shape.Most > 0 && len(met) >= shape.Most {
			result.IsCut = true
			break
		}
		if w.rounds >= shape.Rounds && len(w.net) == 0 {
			continue
		}
		stack = append(stack, w.next()...)
	}
	result.States = len(met)
	return result
}
