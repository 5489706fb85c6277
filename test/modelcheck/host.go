package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

type message struct {
	from, to string
	body     any
}

// files is what a disk holds; each value is replaced, never changed.
type files struct {
	identity   []byte
	voterState *consensus.VoterState
	table      []byte
	keys       []string
	// torn is the kind of the newest file that is unsound.
	torn string
}

// host is one machine with its disk, and what is known of it from outside.
type host struct {
	name        string
	machine     *consensus.Machine
	gate        *consensus.SyncGate
	files       files
	incarnation int64
	leaseUntil  time.Duration
	published   []string
	inbox       []message
	running     bool
	// isFrozen, isHung and isAlone: it does nothing, its disk does nothing, no
	// message reaches or leaves it.
	frozen, diskHung, isolated bool

	// lagging is what a planted defect has not synced yet.
	delayedSave   consensus.Effect
	reportedEpoch uint64
	wiped         bool
	// past holds the incarnations that the machine voted with before it lost a disk.
	retired  map[uint64]bool
	promises map[uint64]proposal.Number
	accepts  map[uint64]proposal.Number

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

// key names what the host is and does at a moment.
func (h *host) key(now time.Duration) Key {
	if h.cachedKeyAt != now {
		p := encoder{now: now, data: make([]byte, 0, 4096)}
		h.encode(&p)
		h.cachedKey, h.cachedKeyAt = p.key(), now
	}
	return h.cachedKey
}

func (h *host) encode(p *encoder) {
	p.text(h.name)
	for _, is := range []bool{h.running, h.frozen, h.diskHung, h.isolated, h.wiped} {
		p.flag(is)
	}
	p.moment(h.leaseUntil)
	p.number(uint64(h.incarnation))
	p.number(h.reportedEpoch)
	p.value(h.published)
	p.value(h.retired)
	p.value(h.promises)
	p.value(h.accepts)
	for _, one := range h.inbox {
		p.message(one)
	}
	if h.running {
		p.value(h.machine)
		p.value(h.gate)
	}
	p.flag(h.delayedSave != nil)
	p.text(h.files.torn)
	p.value(h.files.voterState)
	p.value(h.files.keys)
	p.flag(h.files.identity == nil)
}

func (w *world) start(h *host) {
	var saved consensus.PersistentState
	if h.files.identity != nil {
		identity, err := consensus.DecodeIdentity(h.files.identity)
		must(err)
		saved.Identity = identity
	}
	if h.files.voterState != nil {
		ballots := *h.files.voterState
		saved.VoterState = &ballots
	}
	if h.files.table != nil {
		table, err := consensus.DecodeTable(h.files.table)
		must(err)
		saved.Table = table
	}
	saved.Corrupted = h.files.torn != ""
	if w.config.Defect.BlankDiskVotes && saved.Identity == nil {
		saved = w.bootstrapped(h.name)
	}
	if w.config.Defect.ReusesIncarnation && saved.Identity != nil {
		saved.Identity.Incarnation = 0
	}
	if w.config.Defect.UsesBootstrapVoters && saved.VoterState != nil {
		saved.VoterState.Decided.Voters = w.bootstrapped(h.name).VoterState.Decided.Voters
	}
	h.incarnation++
	h.running, h.frozen, h.leaseUntil, h.published, h.inbox = true, false, 0, nil, nil
	h.machine = consensus.NewWithBootstrap(h.name, consensus.BootstrapConfig{Voters: 2*w.config.RequiredReplicas - 1, RequireBackup: true}, consensus.DefaultTiming(), saved, w.now)
	h.gate, h.published = &consensus.SyncGate{}, slices.Sorted(maps.Keys(h.machine.CommittedTable().Records))
	w.effects(h, h.machine.Step(consensus.Peers{Names: w.names()}, w.now))
}

// stop ends a machine's program; what its disk was at is dropped, kept or torn.
func (w *world) stop(h *host, end func(h *host, work consensus.Effect)) {
	if work, isDue := h.gate.Next(w.now + consensus.SyncRetryDelay); isDue && end != nil {
		end(h, work)
	}
	if w.submitter == h.name {
		w.submitter = ""
	}
	h.machine, h.gate, h.running, h.frozen, h.inbox, h.leaseUntil, h.published = nil, nil, false, false, nil, 0, nil
	h.delayedSave = nil
}

func persist(h *host, work consensus.Effect) {
	save, isSave := work.(consensus.Save)
	if !isSave {
		h.files.torn = ""
		return
	}
	puts := map[string]func(){
		consensus.FileIdentity: func() { h.files.identity = save.Data },
		consensus.FileVoterState: func() {
			voterState, err := consensus.DecodeVoterState(save.Data)
			must(err)
			h.files.voterState = voterState
		},
		consensus.FileTable: func() {
			held, err := consensus.DecodeTable(save.Data)
			must(err)
			h.files.table, h.files.keys = save.Data, slices.Sorted(maps.Keys(held.Records))
		},
	}
	puts[save.Kind]()
	if h.files.torn == save.Kind {
		h.files.torn = ""
	}
}

func tear(h *host, work consensus.Effect) {
	if save, isSave := work.(consensus.Save); isSave {
		h.files.torn, h.reportedEpoch = save.Kind, 0
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (w *world) step(h *host, event any) {
	w.effects(h, h.machine.Step(event, w.now))
}

func (w *world) effects(h *host, effects []consensus.Effect) {
	if w.config.Defect.VotesUnsynced {
		effects = slices.DeleteFunc(effects, func(effect consensus.Effect) bool {
			save, isSave := effect.(consensus.Save)
			isVote := isSave && save.Kind == consensus.FileVoterState
			if isVote {
				h.delayedSave = save
			}
			return isVote
		})
	}
	w.release(h, h.gate.Pass(effects, w.now))
	w.sync(h)
}

// sync lets the disk do all that is due.
func (w *world) sync(h *host) {
	for h.running && !h.diskHung {
		work, isDue := h.gate.Next(w.now)
		if !isDue {
			return
		}
		persist(h, work)
		w.release(h, h.gate.Done(true, w.now))
	}
}

func (w *world) release(h *host, effects []consensus.Effect) {
	primacy := time.Duration(0)
	if h.machine.IsPrimary(w.now) {
		primacy = h.machine.LeaseUntil()
	}
	h.leaseUntil = min(h.leaseUntil, primacy)
	for _, effect := range effects {
		w.apply(h, effect)
	}
	if !h.gate.IsEpochChangeBlocked() {
		h.leaseUntil = primacy
	}
}

func (w *world) apply(h *host, effect consensus.Effect) {
	if send, isSend := effect.(consensus.Send); isSend {
		w.checkMessage(h, send.Body)
		if write, isWrite := send.Body.(consensus.Replicate); isWrite && w.config.Defect.AssumesBackupAck {
			w.step(h, consensus.Received{From: send.To, Body: consensus.ReplicateAck{Version: write.Version, Synced: true}})
		}
		w.send(message{from: h.name, to: send.To, body: send.Body})
		return
	}
	if answer, isAnswer := effect.(consensus.SubmitResult); isAnswer {
		w.answered(h, answer)
		return
	}
	if wrote, isWrote := effect.(consensus.TableCommitted); isWrote {
		h.published = slices.Sorted(maps.Keys(wrote.Table.Records))
		return
	}
	if turned, isTurned := effect.(consensus.EpochChanged); isTurned {
		h.published = slices.Sorted(maps.Keys(turned.Table.Records))
		w.checkRecord(h, turned.Record)
	}
}

func (w *world) answered(h *host, answer consensus.SubmitResult) {
	if h.name == w.submitter {
		w.submitter = ""
	}
	if !answer.Committed {
		return
	}
	key := keyOf(answer.Token)
	w.acked = append(slices.Clone(w.acked), key)
	copies := 0
	for _, other := range w.hosts {
		if slices.Contains(other.files.keys, key) {
			copies++
		}
	}
	if copies+w.wipes < w.config.RequiredReplicas {
		w.violate("%s acknowledged %s, which is synced on %d disks", h.name, key, copies)
	}
}

func keyOf(token uint64) string { return fmt.Sprintf("w%d", token) }

// agreed holds that an epoch has one record.
func (w *world) checkRecord(h *host, record consensus.Record) {
	old, isKnown := w.records[record.Epoch]
	if isKnown && old != record {
		w.violate("epoch %d has two records: %v, and at %s %v", record.Epoch, old, h.name, record)
	}
	if !isKnown {
		w.records = maps.Clone(w.records)
		w.records[record.Epoch] = record
	}
}

// watch holds what a machine says to what it said before.
func (w *world) checkMessage(h *host, body any) {
	if ack, isOne := body.(consensus.RenewLeaseAck); isOne {
		w.checkEpochRises(h, ack.Decided.Epoch)
		if ack.Granted {
			w.checkParticipation(h, "grants")
		}
	}
	if renew, isOne := body.(consensus.RenewLease); isOne {
		w.checkEpochRises(h, renew.Record.Epoch)
	}
	if told, isOne := body.(consensus.Decided); isOne {
		w.checkEpochRises(h, told.Record.Epoch)
		w.checkRecord(h, told.Record)
	}
	if _, isOne := body.(consensus.Prepare); isOne {
		w.checkParticipation(h, "stands")
	}
	if promised, isOne := body.(consensus.Promise); isOne && promised.Granted {
		w.checkVote(h, h.promises, promised.Epoch, promised.Number, true)
	}
	if accepted, isOne := body.(consensus.Accepted); isOne {
		w.checkVote(h, h.accepts, accepted.Epoch, accepted.Number, false)
	}
	if _, isOne := body.(consensus.Accept); isOne {
		w.checkParticipation(h, "stands")
	}
}

func (w *world) checkEpochRises(h *host, number uint64) {
	if number < h.reportedEpoch {
		w.violate("%s tells epoch %d after %d", h.name, number, h.reportedEpoch)
	}
	h.reportedEpoch = max(h.reportedEpoch, number)
}

// speaks holds that a machine takes part only by a record that has it, and with the
// disk that it has.
func (w *world) checkParticipation(h *host, what string) {
	member, isIn := h.machine.Record().Voters.Find(h.name)
	if !isIn {
		w.violate("%s %s without a vote", h.name, what)
	}
	if isIn && h.retired[member.Incarnation] {
		w.violate("%s, whose disk is blank, %s", h.name, what)
	}
}

// forgets notes the incarnations that are over with a disk.
func (w *world) retireIncarnations(h *host) {
	past := map[uint64]bool{}
	maps.Copy(past, h.retired)
	for _, record := range w.records {
		if member, isIn := record.Voters.Find(h.name); isIn {
			past[member.Incarnation] = true
		}
	}
	h.retired = past
}

func (w *world) checkVote(h *host, told map[uint64]proposal.Number, number uint64, by proposal.Number, isPromise bool) {
	w.checkParticipation(h, "votes")
	if by.IsBefore(h.promises[number]) || by.IsBefore(h.accepts[number]) {
		w.violate("%s votes for %v in epoch %d after %v and %v", h.name, by, number, h.promises[number], h.accepts[number])
	}
	if isPromise && by == h.promises[number] {
		w.violate("%s promises %v in epoch %d twice", h.name, by, number)
	}
	told[number] = by
}
