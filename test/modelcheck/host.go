package modelcheck

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

// host is one node with its disk, and what was seen of it from outside.
type host struct {
	name string
	// machine and gate are nil while the node does not run.
	machine *consensus.Machine
	gate    *consensus.SyncGate
	files   files
	// incarnation counts the starts of the program.
	incarnation int64
	// leaseUntil is until when it serves as primary, and published the keys that it
	// serves. Both lag behind the machine's by the files that they depend on.
	leaseUntil time.Duration
	published  []string
	// inbox are messages that came while it was frozen.
	inbox   []message
	running bool
	// A frozen node does nothing, one whose disk hangs saves nothing, and no message
	// reaches or leaves an isolated one.
	frozen, diskHung, isolated bool
	// wiped says that it has lost a disk.
	wiped bool
	// delayedSave is what Defect.VotesUnsynced has not synced yet.
	delayedSave consensus.Effect

	// For the invariants: the highest epoch that it reported, the incarnations that it
	// voted with before it lost a disk, and its votes by epoch.
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

// isOperational says whether no fault holds the node up.
func (h *host) isOperational() bool { return h.running && !h.frozen && !h.isolated && !h.diskHung }

// key names the state of the host at a moment.
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

// start runs the node's program with what its disk holds.
func (w *world) start(h *host) {
	saved := w.load(h)
	bootstrap := consensus.BootstrapConfig{Voters: 2*w.config.RequiredReplicas - 1, RequireBackup: true}
	h.incarnation++
	h.running, h.frozen, h.leaseUntil, h.inbox = true, false, 0, nil
	h.machine = consensus.NewWithBootstrap(h.name, bootstrap, consensus.DefaultTiming(), saved, w.now)
	h.gate = &consensus.SyncGate{}
	h.published = keysOf(h.machine.CommittedTable())
	w.step(h, consensus.Peers{Names: w.names()})
}

// load reads the disk, with the defects that change what is read.
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

// stop ends the node's program. What its disk is at is left to atDisk, or lost where
// that is nil.
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
