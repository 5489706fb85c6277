package consensus

import (
	"time"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// Messages between disk machines.
type (
	// Form proposes the voters of a new fleet; all must agree.
	FormCluster struct{ Identity Identity }
	// FormAck agrees, and tells with which disk.
	FormClusterAck struct {
		Cluster     string
		Incarnation uint64
	}
	// Formed tells that all agreed, and the first record.
	ClusterFormed struct {
		Cluster string
		Record  Record
	}
	// AskStanding asks for the newest record that the other knows.
	StatusRequest struct{}
	// Standing tells it.
	Status struct {
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
	RenewLease struct {
		Record      Record
		SentAt      time.Duration
		Incarnation int64
	}
	// RenewAck grants it, or says who is ahead. Wall is 0 from a machine
	// that has just started and not read its clock yet.
	RenewLeaseAck struct {
		Decided     Record
		SentAt      time.Duration
		Incarnation int64
		WallNanos   int64
		Granted     bool
	}
	// Prepare asks for a promise on the epoch after Decided. Stamp is that of the
	// candidate's copy.
	Prepare struct {
		Decided Record
		Number  proposal.Number
		Version store.Version
	}
	// Promised gives or refuses it. Wait tells for how long what binds the teller
	// still does, where that is why.
	Promise struct {
		Epoch           uint64
		Number          proposal.Number
		Granted         bool
		HighestPromised proposal.Number
		Accepted        proposal.Number
		Value           []byte
		Decided         Record
		RetryAfter      time.Duration
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
	Replicate struct {
		Record          Record
		PreviousVersion store.Version
		Version         store.Version
		Puts            []store.Put
	}
	// WriteAck says that the backup synced it.
	ReplicateAck struct {
		Version store.Version
		Synced  bool
	}
	// Offer compares copies by digests.
	RepairDigests struct {
		Record  Record
		Version store.Version
		Digests [store.RangeCount][32]byte
	}
	// Want names the ranges that are unlike.
	RepairRequest struct {
		Version store.Version
		Ranges  []int
	}
	// Fill brings them.
	RepairRanges struct {
		Record  Record
		Version store.Version
		Ranges  []int
		Records map[string]store.Record
	}
	// Filled says that the copy is synced up to a stamp.
	RepairDone struct{ Version store.Version }
)

// Events.
type (
	// Tick is a clock event with this machine's wall clock. Owed says for how
	// long the disk has owed a sync.
	Tick struct {
		WallNanos   int64
		SyncPending time.Duration
	}
	// Heard is a message.
	Received struct {
		From string
		Body any
	}
	// Peers tells the control nodes met so far, by link address, where that is
	// known, which of them is met there, and the zone of each.
	Peers struct {
		Names     []string
		ByAddress map[string]string
		Zones     map[string]string
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
	RemoveCorrupt struct{}
	// Answer ends a Submit; IsKept false means not written.
	SubmitResult struct {
		Token     uint64
		Committed bool
		// IsUnknown says that the write may yet turn out kept.
		OutcomeUnknown bool
		Version        store.Version
	}
	// Turned tells a change of role or epoch, with its cause and the state that
	// is safe to publish at that point: later effects may still have to sync
	// what Table gives.
	EpochChanged struct {
		Record Record
		Reason string
		Table  *store.Table
	}
	// Wrote tells that the state changed and is safe.
	TableCommitted struct {
		Version store.Version
		Table   *store.Table
	}
)
