package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

const (
	// startTime is the monotonic clock at the start, late enough that no span of the
	// machines reaches back to 0.
	startTime = time.Hour
	// settlingRounds are run before the search, so that there is a primary with a
	// lease and one write.
	settlingRounds = 12
	settlingWrites = 1
)

// message is on its way from one node to another.
type message struct {
	from, to string
	body     any
}

// world is the state of a whole cluster. Successors share what does not change: a host
// is copied before it does (mutableHost), the other fields are replaced.
type world struct {
	config   *Config
	now      time.Duration
	hosts    []*host
	inFlight []message
	// delayed are messages that come later than all others.
	delayed []message

	// submitter is the node that a write under way was submitted to.
	submitter string
	writes    int
	maxWrites int

	// What was seen from outside: the keys of writes that were acknowledged, and those
	// that a primary has served, and the record of each epoch.
	acked     []string
	published []string
	records   map[uint64]consensus.Record

	faults int
	wipes  int
	rounds int

	violation string
	trace     *traceStep
	// redundant says that this state is reached without the last fault as well.
	redundant bool
}

// newWorld makes a cluster that is formed and settled.
func newWorld(config *Config) *world {
	w := &world{config: config, now: startTime, maxWrites: settlingWrites, records: map[uint64]consensus.Record{}}
	for number := range config.Voters + config.Standbys {
		w.hosts = append(w.hosts, &host{
			name:     fmt.Sprintf("c%d", number+1),
			promises: map[uint64]proposal.Number{}, accepts: map[uint64]proposal.Number{},
		})
	}
	for index, h := range w.hosts {
		if index < config.Voters {
			saved := w.bootstrapped(h.name)
			w.records[saved.VoterState.Decided.Epoch] = saved.VoterState.Decided
			h.files = files{identity: store.Encode(*saved.Identity), voterState: saved.VoterState, table: store.Encode(*saved.Table)}
		}
		w.start(h)
	}
	for range settlingRounds {
		w.deliverAll()
		w.startRound()
	}
	w.deliverAll()
	w.rounds, w.maxWrites = 0, settlingWrites+config.Writes
	return w
}

// bootstrapped gives the files of a voter of a cluster that was just formed.
func (w *world) bootstrapped(self string) consensus.PersistentState {
	voters := w.names()[:w.config.Voters]
	var members []consensus.Member
	for _, name := range voters {
		members = append(members, consensus.Member{Name: name})
	}
	record := consensus.Record{Epoch: 1, Primary: voters[0], Backup: voters[1], Voters: consensus.NewVoters(members...)}
	return consensus.PersistentState{
		Identity:   &consensus.Identity{Cluster: "x", Self: self, Voters: voters, Formed: true},
		VoterState: &consensus.VoterState{Sequence: 1, Decided: record},
		Table:      store.New(),
	}
}

func (w *world) clone() *world {
	other := *w
	other.hosts = slices.Clone(w.hosts)
	other.inFlight, other.delayed = slices.Clone(w.inFlight), slices.Clone(w.delayed)
	return &other
}

// mutableHost gives a host that this world may change.
func (w *world) mutableHost(index int) *host {
	w.hosts[index] = w.hosts[index].clone()
	return w.hosts[index]
}

func (w *world) names() []string {
	var names []string
	for _, h := range w.hosts {
		names = append(names, h.name)
	}
	return names
}

// find gives the index of a host, or -1.
func (w *world) find(name string) int {
	return slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })
}

func (w *world) isIsolated(name string) bool { return w.hosts[w.find(name)].isolated }

func (w *world) send(sent message) {
	if w.find(sent.to) >= 0 && !w.isIsolated(sent.to) && !w.isIsolated(sent.from) {
		w.inFlight = append(w.inFlight, sent)
	}
}

// deliver hands over one of the messages in flight.
func (w *world) deliver(index int) {
	delivered := w.inFlight[index]
	w.inFlight = slices.Delete(w.inFlight, index, index+1)
	h := w.mutableHost(w.find(delivered.to))
	if !h.running || h.isolated || w.isIsolated(delivered.from) {
		return
	}
	if h.frozen {
		h.inbox = append(h.inbox, delivered)
		return
	}
	w.receive(h, delivered)
}

func (w *world) deliverAll() {
	for len(w.inFlight) > 0 {
		w.deliver(0)
	}
}

func (w *world) receive(h *host, received message) {
	w.step(h, consensus.Received{From: received.from, Body: received.body})
}

// startRound moves time, and ticks all nodes.
func (w *world) startRound() {
	w.now += w.config.RoundDuration
	w.rounds++
	for index := range w.hosts {
		if !w.hosts[index].running || w.hosts[index].frozen {
			continue
		}
		h := w.mutableHost(index)
		h.finishDelayedSave()
		w.sync(h)
		w.step(h, consensus.Tick{WallNanos: h.incarnation, SyncPending: h.gate.SyncPending(w.now)})
		w.submit(h)
	}
}

// submit submits the next write to the primary, one at a time.
func (w *world) submit(h *host) {
	if w.now >= h.leaseUntil || w.submitter != "" || w.writes >= w.maxWrites {
		return
	}
	w.writes++
	w.submitter = h.name
	token := uint64(w.writes)
	w.step(h, consensus.Submit{Token: token, Build: func(*store.Table) []store.Put {
		return []store.Put{{Key: writeKey(token), Data: []byte("x")}}
	}})
}

// writeKey gives the key that a write sets.
func writeKey(token uint64) string { return fmt.Sprintf("w%d", token) }

// keysOf lists the keys of a table in order.
func keysOf(table *store.Table) []string { return slices.Sorted(maps.Keys(table.Records)) }

// isHealthy says whether the cluster can bear a loss: there is a primary with a backup,
// and all voters work and know its record.
func (w *world) isHealthy() bool {
	var record consensus.Record
	for _, h := range w.hosts {
		if h.running && w.now < h.leaseUntil {
			record = h.machine.Record()
		}
	}
	return record.Backup != "" && !slices.ContainsFunc(record.Voters.Names(), func(name string) bool {
		h := w.hosts[w.find(name)]
		return !h.isOperational() || !h.machine.IsMember() || h.machine.Record() != record
	})
}

func (w *world) remaining() budget {
	return budget{faults: w.config.MaxFaults - w.faults, rounds: w.config.Rounds - w.rounds}
}

// key names the state.
func (w *world) key() Key {
	e := encoder{now: w.now, data: make([]byte, 0, 2048)}
	for _, h := range w.hosts {
		key := h.key(w.now)
		e.data = append(e.data, key[:]...)
	}
	e.messages(w.inFlight)
	e.messages(w.delayed)
	e.value(w.acked)
	e.value(w.published)
	e.value(w.records)
	e.text(w.submitter)
	e.number(uint64(w.writes))
	e.number(uint64(w.wipes))
	return e.key()
}
