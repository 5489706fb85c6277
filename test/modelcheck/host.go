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

type message struct {
	from, to string
	body     any
}

// files is what a disk holds; each value is replaced, never changed.
type files struct {
	identity []byte
	ballots  *consensus.Ballots
	table    []byte
	keys     []string
	// torn is the kind of the newest file that is unsound.
	torn string
}

// host is one machine with its disk, and what is known of it from outside.
type host struct {
	name    string
	machine *consensus.Machine
	gate    *consensus.Gate
	files   files
	lives   int64
	primacy time.Duration
	public  []string
	inbox   []message
	isUp    bool
	// isFrozen, isHung and isAlone: it does nothing, its disk does nothing, no
	// message reaches or leaves it.
	isFrozen, isHung, isAlone bool

	// lagging is what a planted defect has not synced yet.
	lagging consensus.Effect
	told    uint64
	isWiped bool
	// past holds the incarnations that the machine voted with before it lost a disk.
	past     map[uint64]bool
	promises map[uint64]proposal.Number
	accepts  map[uint64]proposal.Number

	printed   Key
	printedAt time.Duration
}

func (h *host) clone() *host {
	other := *h
	other.printedAt = 0
	if h.machine != nil {
		other.machine, other.gate = h.machine.Clone(), h.gate.Clone()
	}
	other.inbox = slices.Clone(h.inbox)
	other.past = maps.Clone(h.past)
	other.promises, other.accepts = maps.Clone(h.promises), maps.Clone(h.accepts)
	return &other
}

// key names what the host is and does at a moment.
func (h *host) key(now time.Duration) Key {
	if h.printedAt != now {
		p := printer{now: now, data: make([]byte, 0, 4096)}
		h.print(&p)
		h.printed, h.printedAt = p.key(), now
	}
	return h.printed
}

func (h *host) print(p *printer) {
	p.text(h.name)
	for _, is := range []bool{h.isUp, h.isFrozen, h.isHung, h.isAlone, h.isWiped} {
		p.flag(is)
	}
	p.moment(h.primacy)
	p.number(uint64(h.lives))
	p.number(h.told)
	p.value(h.public)
	p.value(h.past)
	p.value(h.promises)
	p.value(h.accepts)
	for _, one := range h.inbox {
		p.message(one)
	}
	if h.isUp {
		p.value(h.machine)
		p.value(h.gate)
	}
	p.flag(h.lagging != nil)
	p.text(h.files.torn)
	p.value(h.files.ballots)
	p.value(h.files.keys)
	p.flag(h.files.identity == nil)
}

func (w *world) start(h *host) {
	var saved consensus.Saved
	if h.files.identity != nil {
		saved.Identity = &consensus.Identity{}
		must(store.Decode(h.files.identity, saved.Identity))
	}
	if h.files.ballots != nil {
		ballots := *h.files.ballots
		saved.Ballots = &ballots
	}
	if h.files.table != nil {
		saved.Table = store.New()
		must(store.Decode(h.files.table, saved.Table))
		if saved.Table.Records == nil {
			saved.Table.Records = map[string]store.Record{}
		}
	}
	saved.IsUnsound = h.files.torn != ""
	if w.shape.Plant.IsBlankVoting && saved.Identity == nil {
		saved = w.founded(h.name)
	}
	if w.shape.Plant.IsSameDisk && saved.Identity != nil {
		saved.Identity.Incarnation = 0
	}
	if w.shape.Plant.IsOldVoter && saved.Ballots != nil {
		saved.Ballots.Decided.Voters = w.founded(h.name).Ballots.Decided.Voters
	}
	h.lives++
	h.isUp, h.isFrozen, h.primacy, h.public, h.inbox = true, false, 0, nil, nil
	h.machine = consensus.NewFounding(h.name, consensus.Founding{Voters: 2*w.shape.Copies - 1, IsPaired: true}, consensus.DefaultTiming(), saved, w.now)
	h.gate, h.public = &consensus.Gate{}, slices.Sorted(maps.Keys(h.machine.Table().Records))
	w.effects(h, h.machine.Step(consensus.Peers{Names: w.names()}, w.now))
}

// stop ends a machine's program; what its disk was at is dropped, kept or torn.
func (w *world) stop(h *host, end func(h *host, work consensus.Effect)) {
	if work, isDue := h.gate.Next(w.now + consensus.Pause); isDue && end != nil {
		end(h, work)
	}
	if w.asked == h.name {
		w.asked = ""
	}
	h.machine, h.gate, h.isUp, h.isFrozen, h.inbox, h.primacy, h.public = nil, nil, false, false, nil, 0, nil
	h.lagging = nil
}

func kept(h *host, work consensus.Effect) {
	save, isSave := work.(consensus.Save)
	if !isSave {
		h.files.torn = ""
		return
	}
	puts := map[string]func(){
		consensus.FileIdentity: func() { h.files.identity = save.Data },
		consensus.FileBallots: func() {
			h.files.ballots = &consensus.Ballots{}
			must(store.Decode(save.Data, h.files.ballots))
		},
		consensus.FileTable: func() {
			held := store.New()
			must(store.Decode(save.Data, held))
			h.files.table, h.files.keys = save.Data, slices.Sorted(maps.Keys(held.Records))
		},
	}
	puts[save.Kind]()
	if h.files.torn == save.Kind {
		h.files.torn = ""
	}
}

func torn(h *host, work consensus.Effect) {
	if save, isSave := work.(consensus.Save); isSave {
		h.files.torn, h.told = save.Kind, 0
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
	if w.shape.Plant.IsUnsynced {
		effects = slices.DeleteFunc(effects, func(effect consensus.Effect) bool {
			save, isSave := effect.(consensus.Save)
			isVote := isSave && save.Kind == consensus.FileBallots
			if isVote {
				h.lagging = save
			}
			return isVote
		})
	}
	w.pass(h, h.gate.Pass(effects, w.now))
	w.sync(h)
}

// sync lets the disk do all that is due.
func (w *world) sync(h *host) {
	for h.isUp && !h.isHung {
		work, isDue := h.gate.Next(w.now)
		if !isDue {
			return
		}
		kept(h, work)
		w.pass(h, h.gate.Done(true, w.now))
	}
}

func (w *world) pass(h *host, effects []consensus.Effect) {
	primacy := time.Duration(0)
	if h.machine.IsPrimary(w.now) {
		primacy = h.machine.Primacy()
	}
	h.primacy = min(h.primacy, primacy)
	for _, effect := range effects {
		w.carry(h, effect)
	}
	if !h.gate.IsTurning() {
		h.primacy = primacy
	}
}

func (w *world) carry(h *host, effect consensus.Effect) {
	if send, isSend := effect.(consensus.Send); isSend {
		w.watch(h, send.Body)
		if write, isWrite := send.Body.(consensus.Write); isWrite && w.shape.Plant.IsHasty {
			w.step(h, consensus.Heard{From: send.To, Body: consensus.WriteAck{Stamp: write.Stamp, IsSynced: true}})
		}
		w.post(message{from: h.name, to: send.To, body: send.Body})
		return
	}
	if answer, isAnswer := effect.(consensus.Answer); isAnswer {
		w.answered(h, answer)
		return
	}
	if wrote, isWrote := effect.(consensus.Wrote); isWrote {
		h.public = slices.Sorted(maps.Keys(wrote.Table.Records))
		return
	}
	if turned, isTurned := effect.(consensus.Turned); isTurned {
		h.public = slices.Sorted(maps.Keys(turned.Table.Records))
		w.agreed(h, turned.Record)
	}
}

func (w *world) answered(h *host, answer consensus.Answer) {
	if h.name == w.asked {
		w.asked = ""
	}
	if !answer.IsKept {
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
	if copies+w.wipes < w.shape.Copies {
		w.miss("%s acknowledged %s, which is synced on %d disks", h.name, key, copies)
	}
}

func keyOf(token uint64) string { return fmt.Sprintf("w%d", token) }

// agreed holds that an epoch has one record.
func (w *world) agreed(h *host, record consensus.Record) {
	old, isKnown := w.records[record.Epoch]
	if isKnown && old != record {
		w.miss("epoch %d has two records: %v, and at %s %v", record.Epoch, old, h.name, record)
	}
	if !isKnown {
		w.records = maps.Clone(w.records)
		w.records[record.Epoch] = record
	}
}

// watch holds what a machine says to what it said before.
func (w *world) watch(h *host, body any) {
	if ack, isOne := body.(consensus.RenewAck); isOne {
		w.rises(h, ack.Decided.Epoch)
		if ack.IsGranted {
			w.speaks(h, "grants")
		}
	}
	if renew, isOne := body.(consensus.Renew); isOne {
		w.rises(h, renew.Record.Epoch)
	}
	if told, isOne := body.(consensus.Decided); isOne {
		w.rises(h, told.Record.Epoch)
		w.agreed(h, told.Record)
	}
	if _, isOne := body.(consensus.Prepare); isOne {
		w.speaks(h, "stands")
	}
	if promised, isOne := body.(consensus.Promised); isOne && promised.IsGiven {
		w.voted(h, h.promises, promised.Epoch, promised.Number, true)
	}
	if accepted, isOne := body.(consensus.Accepted); isOne {
		w.voted(h, h.accepts, accepted.Epoch, accepted.Number, false)
	}
	if _, isOne := body.(consensus.Accept); isOne {
		w.speaks(h, "stands")
	}
}

func (w *world) rises(h *host, number uint64) {
	if number < h.told {
		w.miss("%s tells epoch %d after %d", h.name, number, h.told)
	}
	h.told = max(h.told, number)
}

// speaks holds that a machine takes part only by a record that has it, and with the
// disk that it has.
func (w *world) speaks(h *host, what string) {
	member, isIn := h.machine.Record().Voters.Find(h.name)
	if !isIn {
		w.miss("%s %s without a vote", h.name, what)
	}
	if isIn && h.past[member.Incarnation] {
		w.miss("%s, whose disk is blank, %s", h.name, what)
	}
}

// forgets notes the incarnations that are over with a disk.
func (w *world) forgets(h *host) {
	past := map[uint64]bool{}
	maps.Copy(past, h.past)
	for _, record := range w.records {
		if member, isIn := record.Voters.Find(h.name); isIn {
			past[member.Incarnation] = true
		}
	}
	h.past = past
}

func (w *world) voted(h *host, told map[uint64]proposal.Number, number uint64, by proposal.Number, isPromise bool) {
	w.speaks(h, "votes")
	if by.IsBefore(h.promises[number]) || by.IsBefore(h.accepts[number]) {
		w.miss("%s votes for %v in epoch %d after %v and %v", h.name, by, number, h.promises[number], h.accepts[number])
	}
	if isPromise && by == h.promises[number] {
		w.miss("%s promises %v in epoch %d twice", h.name, by, number)
	}
	told[number] = by
}
