package modelcheck

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

// files is what a disk holds. Values are replaced, never changed.
type files struct {
	identity   []byte
	voterState *consensus.VoterState
	table      []byte
	// keys are those of table.
	keys []string
	// torn is the kind of file whose newest version is damaged, if any.
	torn string
}

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

// works says whether no fault holds the node up.
func (h *host) works() bool { return h.running && !h.frozen && !h.isolated && !h.diskHung }

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
	h.published = slices.Sorted(maps.Keys(h.machine.CommittedTable().Records))
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

func (f files) load() consensus.PersistentState {
	saved := consensus.PersistentState{Corrupted: f.torn != ""}
	if f.identity != nil {
		saved.Identity = must(consensus.DecodeIdentity(f.identity))
	}
	if f.voterState != nil {
		voterState := *f.voterState
		saved.VoterState = &voterState
	}
	if f.table != nil {
		saved.Table = must(consensus.DecodeTable(f.table))
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

// persist completes a task of the disk.
func persist(h *host, task consensus.Effect) {
	save, isSave := task.(consensus.Save)
	if !isSave {
		h.files.torn = ""
		return
	}
	h.files.save(save)
	if h.files.torn == save.Kind {
		h.files.torn = ""
	}
}

func (f *files) save(save consensus.Save) {
	savers := map[string]func(){
		consensus.FileIdentity:   func() { f.identity = save.Data },
		consensus.FileVoterState: func() { f.voterState = must(consensus.DecodeVoterState(save.Data)) },
		consensus.FileTable: func() {
			f.table = save.Data
			f.keys = slices.Sorted(maps.Keys(must(consensus.DecodeTable(save.Data)).Records))
		},
	}
	savers[save.Kind]()
}

// tear leaves a file half written.
func tear(h *host, task consensus.Effect) {
	if save, ok := task.(consensus.Save); ok {
		h.files.torn, h.reportedEpoch = save.Kind, 0
	}
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// step gives the machine an event, and carries out the effects that may be.
func (w *world) step(h *host, event any) {
	effects := h.machine.Step(event, w.now)
	if w.config.Defect.VotesUnsynced {
		effects = h.withoutVoteSaves(effects)
	}
	w.release(h, h.gate.Pass(effects, w.now))
	w.sync(h)
}

// withoutVoteSaves takes out the save of votes, which is done with the next round.
func (h *host) withoutVoteSaves(effects []consensus.Effect) []consensus.Effect {
	return slices.DeleteFunc(effects, func(effect consensus.Effect) bool {
		save, ok := effect.(consensus.Save)
		isVote := ok && save.Kind == consensus.FileVoterState
		if isVote {
			h.delayedSave = save
		}
		return isVote
	})
}

func (h *host) finishDelayedSave() {
	if h.delayedSave != nil {
		persist(h, h.delayedSave)
		h.delayedSave = nil
	}
}

// sync has the disk do all that is due.
func (w *world) sync(h *host) {
	for h.running && !h.diskHung {
		task, due := h.gate.Next(w.now)
		if !due {
			return
		}
		persist(h, task)
		w.release(h, h.gate.Done(true, w.now))
	}
}

// release carries out effects that the gate gave. A lease is given up at once, and taken
// up only once the change of epoch that it follows is synced.
func (w *world) release(h *host, effects []consensus.Effect) {
	leaseUntil := time.Duration(0)
	if h.machine.IsPrimary(w.now) {
		leaseUntil = h.machine.LeaseUntil()
	}
	h.leaseUntil = min(h.leaseUntil, leaseUntil)
	for _, effect := range effects {
		w.apply(h, effect)
	}
	if !h.gate.IsEpochChangeBlocked() {
		h.leaseUntil = leaseUntil
	}
}

// apply carries out one effect.
func (w *world) apply(h *host, effect consensus.Effect) {
	if send, ok := effect.(consensus.Send); ok {
		w.applySend(h, send)
	}
	if result, ok := effect.(consensus.SubmitResult); ok {
		w.applySubmitResult(h, result)
	}
	if committed, ok := effect.(consensus.TableCommitted); ok {
		h.published = slices.Sorted(maps.Keys(committed.Table.Records))
	}
	if changed, ok := effect.(consensus.EpochChanged); ok {
		h.published = slices.Sorted(maps.Keys(changed.Table.Records))
		w.checkRecord(h, changed.Record)
	}
}

func (w *world) applySend(h *host, send consensus.Send) {
	w.checkMessage(h, send.Body)
	if write, ok := send.Body.(consensus.Replicate); ok && w.config.Defect.AssumesBackupAck {
		w.step(h, consensus.Received{From: send.To, Body: consensus.ReplicateAck{Version: write.Version, Synced: true}})
	}
	w.send(message{from: h.name, to: send.To, body: send.Body})
}

func (w *world) applySubmitResult(h *host, result consensus.SubmitResult) {
	if h.name == w.submitter {
		w.submitter = ""
	}
	if result.Committed {
		key := keyOf(result.Token)
		w.acked = append(slices.Clone(w.acked), key)
		w.checkReplicas(h, key)
	}
}
