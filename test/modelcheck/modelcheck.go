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
type Defect struct {
	// IsBlankVoting: a machine with a blank disk takes itself for founded.
	BlankDiskVotes bool
	// IsUnsynced: what rests on votes does not wait for their file, which is
	// synced with the next round.
	VotesUnsynced bool
	// IsHasty: the primary takes the backup's word for given.
	AssumesBackupAck bool
	// IsSameDisk: a machine that lost its disk and starts again takes itself for the
	// voter that it was.
	ReusesIncarnation bool
	// IsOldVoter: a machine that starts again counts the voters that the fleet was
	// founded with.
	UsesBootstrapVoters bool
}

// Shape bounds a search.
type Config struct {
	// Machines vote at first, Standbys have blank disks.
	Machines, Standbys int
	// Round is how long a round lasts, 100 ms where it is not given.
	RoundDuration time.Duration
	// Faults is how many things go other than by default, Wipes how many disks of
	// all may be lost, Rounds how many rounds are played after the first fault may
	// come, Writes how many writes are asked for.
	MaxFaults, MaxWipes, Rounds, Writes int
	// Copies is how many disks, less those lost before, must hold what is
	// acknowledged.
	RequiredReplicas int
	// Only, where given, names the faults that may come.
	AllowedFaults []string
	// At, where given, names the machines to which they come; messages may suffer
	// anywhere.
	FaultHosts []string
	// IsSpaced lets faults come to machines only while the fleet is whole.
	FaultsWhenHealthyOnly bool
	Defect                Defect
	// Most, where given, ends the search after so many states.
	MaxStates int
}

// Result is what a search met.
type Result struct {
	// States counts states that differ, Steps events played.
	States, Steps int
	// Epochs is the highest epoch reached, Acked the most writes acknowledged.
	HighestEpoch uint64
	AckedWrites  int
	// IsCut says that the search ended at its count of states.
	Truncated bool
	// Fault is the first rule broken, and Course how it came about.
	Violation string
	Trace     []string
}

// course is how a world came about, each step after the one before.
type traceStep struct {
	previous *traceStep
	at       time.Duration
	host     string
	message  *message
	action   string
}

func (c *traceStep) String() string {
	text := fmt.Sprintf("%v %s", c.at-time.Hour, c.host)
	if c.message != nil {
		text += fmt.Sprintf("%T from %s to %s ", c.message.body, c.message.from, c.message.to)
	}
	return text + c.action
}

type world struct {
	config    *Config
	now       time.Duration
	hosts     []*host
	inFlight  []message
	delayed   []message
	acked     []string
	published []string
	records   map[uint64]consensus.Record
	submitter string
	writes    int
	maxWrites int
	faults    int
	wipes     int
	rounds    int
	violation string
	trace     *traceStep
	// isVoid says that the course is no other than one played without it.
	redundant bool
}

func (w *world) clone() *world {
	other := *w
	other.hosts = slices.Clone(w.hosts)
	other.inFlight, other.delayed = slices.Clone(w.inFlight), slices.Clone(w.delayed)
	return &other
}

// own gives a host that this world may change.
func (w *world) mutableHost(at int) *host {
	w.hosts[at] = w.hosts[at].clone()
	return w.hosts[at]
}

func (w *world) violate(format string, parts ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, parts...)
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

func (w *world) send(one message) {
	if at := w.find(one.to); at >= 0 && !w.hosts[at].isolated && !w.hosts[w.find(one.from)].isolated {
		w.inFlight = append(w.inFlight, one)
	}
}

func (w *world) key() Key {
	p := encoder{now: w.now, data: make([]byte, 0, 2048)}
	for _, one := range w.hosts {
		key := one.key(w.now)
		p.data = append(p.data, key[:]...)
	}
	for _, list := range [][]message{w.inFlight, w.delayed} {
		p.number(uint64(len(list)))
		for _, one := range list {
			p.message(one)
		}
	}
	p.value(w.acked)
	p.value(w.published)
	p.value(w.records)
	p.text(w.submitter)
	p.number(uint64(w.writes))
	p.number(uint64(w.wipes))
	return p.key()
}

func (w *world) bootstrapped(self string) consensus.PersistentState {
	names := w.names()[:w.config.Machines]
	var members []consensus.Member
	for _, name := range names {
		members = append(members, consensus.Member{Name: name})
	}
	record := consensus.Record{Epoch: 1, Primary: names[0], Backup: names[1], Voters: consensus.NewVoters(members...)}
	return consensus.PersistentState{
		Identity:   &consensus.Identity{Cluster: "x", Self: self, Voters: names, Formed: true},
		VoterState: &consensus.VoterState{Sequence: 1, Decided: record},
		Table:      store.New(),
	}
}

func newWorld(shape *Config) *world {
	w := &world{config: shape, now: time.Hour, maxWrites: 1, records: map[uint64]consensus.Record{}}
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
		saved := w.bootstrapped(one.name)
		w.records[1] = saved.VoterState.Decided
		one.files = files{identity: store.Encode(*saved.Identity), voterState: saved.VoterState, table: store.Encode(*saved.Table)}
		w.start(one)
	}
	for range 12 {
		for len(w.inFlight) > 0 {
			w.deliver(0)
		}
		w.startRound()
	}
	for len(w.inFlight) > 0 {
		w.deliver(0)
	}
	w.trace, w.maxWrites = nil, 1+shape.Writes
	return w
}

// deliver hands over one of the messages under way.
func (w *world) deliver(at int) {
	one := w.inFlight[at]
	w.inFlight = slices.Delete(w.inFlight, at, at+1)
	h := w.mutableHost(w.find(one.to))
	if !h.running || h.isolated || w.hosts[w.find(one.from)].isolated {
		return
	}
	if h.frozen {
		h.inbox = append(h.inbox, one)
		return
	}
	w.receive(h, one)
}

func (w *world) receive(h *host, one message) {
	w.step(h, consensus.Received{From: one.from, Body: one.body})
}

// turn plays the start of the next round.
func (w *world) startRound() {
	w.now += w.config.RoundDuration
	w.rounds++
	for at := range w.hosts {
		if !w.hosts[at].running || w.hosts[at].frozen {
			continue
		}
		h := w.mutableHost(at)
		if h.delayedSave != nil {
			persist(h, h.delayedSave)
			h.delayedSave = nil
		}
		w.sync(h)
		w.step(h, consensus.Tick{WallNanos: h.incarnation, SyncPending: h.gate.SyncPending(w.now)})
		if w.now < h.leaseUntil && w.submitter == "" && w.writes < w.maxWrites {
			w.writes++
			w.submitter = h.name
			key := keyOf(uint64(w.writes))
			w.step(h, consensus.Submit{Token: uint64(w.writes), Build: func(*store.Table) []store.Put {
				return []store.Put{{Key: key, Data: []byte("x")}}
			}})
		}
	}
}

// check holds the rules that speak of a moment.
func (w *world) checkInvariants() {
	leader := ""
	for _, one := range w.hosts {
		if !one.running || w.now >= one.leaseUntil {
			continue
		}
		if leader != "" {
			w.violate("%s and %s hold primacy at once", leader, one.name)
		}
		leader = one.name
		for _, list := range [][]string{w.acked, w.published} {
			for _, key := range list {
				if !slices.Contains(one.published, key) {
					w.violate("%s serves without %s, which was acknowledged or shown", one.name, key)
				}
			}
		}
		for _, key := range one.published {
			if !slices.Contains(w.published, key) {
				w.published = append(slices.Clone(w.published), key)
			}
		}
	}
}

type budget struct{ faults, wipes, rounds int }

func (b budget) covers(other budget) bool {
	return b.faults >= other.faults && b.rounds >= other.rounds
}

func (w *world) remaining() budget {
	return budget{faults: w.config.MaxFaults - w.faults, rounds: w.config.Rounds - w.rounds}
}

// Run searches, and ends at the first rule broken. The same shape gives the same
// result.
func Run(shape Config) Result {
	shape.RoundDuration = cmp.Or(shape.RoundDuration, 100*time.Millisecond)
	first := newWorld(&shape)
	first.rounds = 0
	var result Result
	met := map[Key]budget{}
	stack := []*world{first}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		w.checkInvariants()
		result.Steps++
		for number := range maps.Keys(w.records) {
			result.HighestEpoch = max(result.HighestEpoch, number)
		}
		result.AckedWrites = max(result.AckedWrites, len(w.acked))
		if w.violation != "" {
			result.Violation = w.violation
			for at := w.trace; at != nil; at = at.previous {
				result.Trace = append(result.Trace, at.String())
			}
			slices.Reverse(result.Trace)
			break
		}
		key := w.key()
		known, isMet := met[key]
		if isMet && known.covers(w.remaining()) {
			continue
		}
		met[key] = w.remaining()
		if shape.MaxStates > 0 && len(met) >= shape.MaxStates {
			result.Truncated = true
			break
		}
		if w.rounds >= shape.Rounds && len(w.inFlight) == 0 {
			continue
		}
		stack = append(stack, w.successors()...)
	}
	result.States = len(met)
	return result
}
