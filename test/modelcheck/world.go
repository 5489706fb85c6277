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
	// startTime is the monotonic time at the start. It is so late that no duration that
	// the machines use reaches back to 0.
	startTime = time.Hour
	// settlingRounds is the number of rounds before the search, after which there is a
	// primary with a lease and one committed write.
	settlingRounds = 12
	settlingWrites = 1
	// maxMessagesAtOnce is far above the number of messages that a round causes.
	maxMessagesAtOnce = 10_000
)

// message is a message in flight from one node to another.
type message struct {
	from, to string
	body     any
}

// world is the state of a whole cluster. Successors share unmodified values: a host is
// copied before it is modified (mutableHost), and the other fields are replaced.
type world struct {
	config   *Config
	now      time.Duration
	hosts    []*host
	inFlight []message
	// delayed holds the messages that are delivered later than all others.
	delayed []message

	// submitter is the node to which the pending write was submitted.
	submitter string
	writes    int
	maxWrites int

	// The externally observed state: the keys of acknowledged writes, the keys that a
	// primary has served, and the record of each epoch.
	acked     []string
	published []string
	records   map[uint64]consensus.Record

	faults int
	wipes  int
	rounds int

	violation string
	trace     *traceStep
	// redundant is true if this state is also reached without the last fault.
	redundant bool
}

// newWorld returns a formed cluster after settlingRounds rounds.
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

// bootstrapped returns the persistent state of a voter of a newly formed cluster.
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

// mutableHost replaces a host with a copy that this world may modify and returns it.
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

// find returns the index of a host, or -1 if there is no host of that name.
func (w *world) find(name string) int {
	return slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })
}

func (w *world) isIsolated(name string) bool { return w.hosts[w.find(name)].isolated }

func (w *world) send(sent message) {
	if w.find(sent.to) >= 0 && !w.isIsolated(sent.to) && !w.isIsolated(sent.from) {
		w.inFlight = append(w.inFlight, sent)
	}
}

// deliver delivers one of the messages in flight.
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

// deliverAll delivers all messages in flight and those that they cause. Nodes that go on
// answering each other at the same point in time violate an invariant.
func (w *world) deliverAll() {
	for delivered := 0; len(w.inFlight) > 0; delivered++ {
		if delivered == maxMessagesAtOnce {
			w.violate("%T from %s to %s follows %d messages at the same time", w.inFlight[0].body, w.inFlight[0].from, w.inFlight[0].to, delivered)
			w.inFlight = nil
			return
		}
		w.deliver(0)
	}
}

func (w *world) receive(h *host, received message) {
	w.step(h, consensus.Received{From: received.from, Body: received.body})
}

// startRound advances the time by a round and ticks all running nodes
// that are not frozen.
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

// submit submits the next write if h is the primary and no write is pending.
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

// writeKey returns the key that a write sets.
func writeKey(token uint64) string { return fmt.Sprintf("w%d", token) }

// keysOf returns the sorted keys of a table.
func keysOf(table *store.Table) []string { return slices.Sorted(maps.Keys(table.Records)) }

// isHealthy reports whether the cluster can tolerate the loss of a node: there is a
// primary with a backup, and all voters are operational and hold the primary's record.
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

// key returns the hash by which the state is compared with other states.
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
