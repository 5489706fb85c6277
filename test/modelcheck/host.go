package modelcheck

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

// host is a node with its disk and the externally observed state of the node.
type host struct {
	name string
	// machine and gate are nil while the node does not run.
	machine *consensus.Machine
	gate    *consensus.SyncGate
	files   files
	// incarnation is the number of times that the program has started.
	incarnation int64
	// leaseUntil is the time until which the node serves as primary, and published
	// holds the keys that it serves. Both lag behind the machine's values until the
	// files that they depend on are synced.
	leaseUntil time.Duration
	published  []string
	// inbox holds the messages that arrived while the node was frozen.
	inbox   []message
	running bool
	// A frozen node does nothing. A node whose disk hangs saves nothing. An isolated
	// node neither receives nor sends messages.
	frozen, diskHung, isolated bool
	// leaving is true if the running program was asked to leave.
	leaving bool
	// wiped is true if the node has lost a disk.
	wiped bool
	// delayedSave is the save that Defect.VotesUnsynced has delayed, or nil.
	delayedSave consensus.Effect

	// The invariants use the following fields: the highest epoch that the node has
	// reported, the incarnations with which it voted before it lost a disk, and its
	// votes by epoch.
	reportedEpoch uint64
	retired       map[uint64]bool
	promises      map[uint64]proposal.Number
	accepts       map[uint64]proposal.Number

	cachedKey   Key
	cachedKeyAt time.Duration
}

func (h *host) clone() *host {
	other := *h
	other.cachedKeyAt = 0
	if h.machine != nil {
		other.machine, other.gate = h.machine.Clone(), h.gate.Clone()
	}
	other.inbox = slices.Clone(h.inbox)
	other.retired = maps.Clone(h.retired)
	other.promises, other.accepts = maps.Clone(h.promises), maps.Clone(h.accepts)
	return &other
}

// isOperational reports whether the node runs and no fault affects it.
func (h *host) isOperational() bool { return h.running && !h.frozen && !h.isolated && !h.diskHung }

// key returns the key of the host's state at the time now.
func (h *host) key(now time.Duration) Key {
	if h.cachedKeyAt != now {
		e := encoder{now: now, data: make([]byte, 0, 4096)}
		h.encode(&e)
		h.cachedKey, h.cachedKeyAt = e.key(), now
	}
	return h.cachedKey
}

func (h *host) encode(e *encoder) {
	e.text(h.name)
	for _, set := range []bool{h.running, h.frozen, h.diskHung, h.isolated, h.wiped} {
		e.flag(set)
	}
	e.moment(h.leaseUntil)
	e.number(uint64(h.incarnation))
	e.number(h.reportedEpoch)
	e.value(h.published)
	e.value(h.retired)
	e.value(h.promises)
	e.value(h.accepts)
	e.messages(h.inbox)
	if h.running {
		e.value(h.machine)
		e.value(h.gate)
	}
	e.flag(h.delayedSave != nil)
	e.text(h.files.torn)
	e.value(h.files.voterState)
	e.value(h.files.keys)
	e.flag(h.files.identity == nil)
}

// start starts the node's program with the content of its disk.
func (w *world) start(h *host) {
	saved := w.load(h)
	bootstrap := consensus.BootstrapConfig{Voters: 2*w.config.RequiredReplicas - 1, RequireBackup: true}
	h.incarnation++
	h.running, h.frozen, h.leaving, h.leaseUntil, h.inbox = true, false, false, 0, nil
	h.machine = consensus.NewWithBootstrap(h.name, bootstrap, consensus.DefaultTiming(), saved, w.now)
	h.gate = &consensus.SyncGate{}
	h.published = keysOf(h.machine.CommittedTable())
	w.step(h, consensus.Peers{Names: w.names()})
}

// load reads the disk and applies the defects that alter the loaded state.
func (w *world) load(h *host) consensus.PersistentState {
	saved := h.files.load()
	defect := w.config.Defect
	if defect.BlankDiskVotes && saved.Identity == nil {
		saved = w.bootstrapped(h.name)
	}
	if defect.ReusesIncarnation && saved.Identity != nil {
		saved.Identity.Incarnation = 0
	}
	if defect.UsesBootstrapVoters && saved.VoterState != nil {
		saved.VoterState.Decided.Voters = w.bootstrapped(h.name).VoterState.Decided.Voters
	}
	return saved
}

// stop stops the node's program. The pending disk task, if any, is passed to atDisk, or
// lost if atDisk is nil.
func (w *world) stop(h *host, atDisk func(h *host, task consensus.Effect)) {
	if task, due := h.gate.Next(w.now + consensus.SyncRetryDelay); due && atDisk != nil {
		atDisk(h, task)
	}
	if w.submitter == h.name {
		w.submitter = ""
	}
	h.machine, h.gate, h.running, h.frozen = nil, nil, false, false
	h.leaseUntil, h.published, h.inbox, h.delayedSave = 0, nil, nil, nil
}
