package consensus

import (
	"time"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// Messages between disk machines.
type (
	// Form proposes the voters of a new fleet; all must agree.
	Form struct{ Identity Identity }
	// FormAck agrees, and tells with which disk.
	FormAck struct {
		Cluster     string
		Incarnation uint64
	}
	// Formed tells that all agreed, and the first record.
	Formed struct {
		Cluster string
		Record  Record
	}
	// AskStanding asks for the newest record that the other knows.
	AskStanding struct{}
	// Standing tells it.
	Standing struct {
		Cluster string
		Decided Record
	}
	// Join offers the primary a machine that does not vote, as a replacement. The
	// sender has synced the record of Epoch, so that it knows that it does not vote.
	Join struct {
		Cluster     string
		Epoch       uint64
		Incarnation uint64
	}
	// Leaving tells the primary that the sender is about to end.
	Leaving struct{}
	// Released answers that the sender holds no role, and nobody is there to vote in
	// its place.
	Released struct{ Epoch uint64 }
	// Renew asks for primacy for a bounded time.
	// Life tells the asker's run of the program, which no answer outlives; a
	// build that does not know it leaves it out.
	Renew struct {
		Record Record
		Sent   time.Duration
		Life   int64
	}
	// RenewAck grants it, or says who is ahead. Wall is 0 from a machine
	// that has just started and not read its clock yet.
	RenewAck struct {
		Decided   Record
		Sent      time.Duration
		Life      int64
		Wall      int64
		IsGranted bool
	}
	// Prepare asks for a promise on the epoch after Decided. Stamp is that of the
	// candidate's copy.
	Prepare struct {
		Decided Record
		Number  proposal.Number
		Stamp   store.Stamp
	}
	// Promised gives or refuses it. Wait tells for how long what binds the teller
	// still does, where that is why.
	Promised struct {
		Epoch    uint64
		Number   proposal.Number
		IsGiven  bool
		Higher   proposal.Number
		Accepted proposal.Number
		Value    []byte
		Decided  Record
		Wait     time.Duration
	}
	// Accept asks to accept a record.
	Accept struct {
		Epoch  uint64
		Number proposal.Number
		Value  []byte
	}
	// Accepted does so.
	Accepted struct {
		Epoch  uint64
		Number proposal.Number
	}
	// Decided tells a settled record.
	Decided struct{ Record Record }
	// Write carries a write from primary to backup.
	Write struct {
		Record Record
		Before store.Stamp
		Stamp  store.Stamp
		Puts   []store.Put
	}
	// WriteAck says that the backup synced it.
	WriteAck struct {
		Stamp    store.Stamp
		IsSynced bool
	}
	// Offer compares copies by digests.
	Offer struct {
		Record  Record
		Stamp   store.Stamp
		Digests [store.Ranges][32]byte
	}
	// Want names the ranges that are unlike.
	Want struct {
		Stamp  store.Stamp
		Ranges []int
	}
	// Fill brings them.
	Fill struct {
		Record  Record
		Stamp   store.Stamp
		Ranges  []int
		Records map[string]store.Record
	}
	// Filled says that the copy is synced up to a stamp.
	Filled struct{ Stamp store.Stamp }
)

// Events.
type (
	// Tick is a clock event with this machine's wall clock. Owed says for how
	// long the disk has owed a sync.
	Tick struct {
		Wall int64
		Owed time.Duration
	}
	// Heard is a message.
	Heard struct {
		From string
		Body any
	}
	// Peers tells the control nodes met so far, by link address, where that is
	// known, which of them is met there, and the zone of each.
	Peers struct {
		Names []string
		Links map[string]string
		Zones map[string]string
	}
	// Leave says that this machine is to end: it hands its roles over.
	Leave struct{}
	// Submit asks for a write; Build sees the state at its turn and may
	// give no puts.
	Submit struct {
		Token uint64
		Build func(*store.Table) []store.Put
	}
)

// Effects, to be carried out in order.
type (
	// Send passes a message on.
	Send struct {
		To   string
		Body any
	}
	// Save syncs a file before what follows and rests on it.
	Save struct {
		Kind     string
		Sequence uint64
		Data     []byte
	}
	// Clean removes unsound files, now that what they held is made good.
	Clean struct{}
	// Answer ends a Submit; IsKept false means not written.
	Answer struct {
		Token  uint64
		IsKept bool
		// IsUnknown says that the write may yet turn out kept.
		IsUnknown bool
		Stamp     store.Stamp
	}
	// Turned tells a change of role or epoch, with its cause and the state that
	// is safe to publish at that point: later effects may still have to sync
	// what Table gives.
	Turned struct {
		Record Record
		Why    string
		Table  *store.Table
	}
	// Wrote tells that the state changed and is safe.
	Wrote struct {
		Stamp store.Stamp
		Table *store.Table
	}
)
