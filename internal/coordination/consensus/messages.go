package consensus

import (
	"time"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// Messages that form a cluster, and those by which nodes find its newest record.
type (
	// FormCluster proposes the voters of a new cluster, all of which must agree.
	FormCluster struct{ Identity Identity }
	// FormClusterAck agrees, and gives the incarnation of the sender's disk.
	FormClusterAck struct {
		Cluster     string
		Incarnation uint64
	}
	// ClusterFormed says that all have agreed, and gives the first record.
	ClusterFormed struct {
		Cluster string
		Record  Record
	}
	// StatusRequest asks for the newest record that the receiver knows.
	StatusRequest struct{}
	// Status answers a StatusRequest.
	Status struct {
		Cluster string
		Decided Record
	}
)

// Messages by which voters are replaced.
type (
	// Join offers the primary a standby. The sender has synced the record of Epoch, so
	// that it knows that it is no voter.
	Join struct {
		Cluster     string
		Epoch       uint64
		Incarnation uint64
	}
	// Leaving tells the primary that the sender is shutting down.
	Leaving struct{}
	// Released answers that the sender may: it is neither primary nor backup, and no
	// standby could vote in its place.
	Released struct{ Epoch uint64 }
)

// Messages of the primary's lease.
type (
	// RenewLease asks a voter for the lease.
	RenewLease struct {
		Record Record
		// SentAt is a moment of the sender's monotonic clock.
		SentAt time.Duration
		// Incarnation tells the sender's run of the program, whose replies no later run
		// may use. Builds that do not know it leave it at 0.
		Incarnation int64
	}
	// RenewLeaseAck grants the lease, or says whose record is newer. SentAt and
	// Incarnation are those of the request.
	RenewLeaseAck struct {
		Decided     Record
		SentAt      time.Duration
		Incarnation int64
		// WallNanos is the voter's wall clock, or 0 where it was not read yet.
		WallNanos int64
		Granted   bool
	}
)

// Messages of a proposal for the record of the next epoch. Values are encoded Records.
type (
	// Prepare asks for a promise on the epoch after Decided. Version is that of the
	// candidate's replica.
	Prepare struct {
		Decided Record
		Number  proposal.Number
		Version store.Version
	}
	// Promise gives or refuses it.
	Promise struct {
		Epoch   uint64
		Number  proposal.Number
		Granted bool
		// HighestPromised is the highest proposal that the voter has promised.
		HighestPromised proposal.Number
		Accepted        proposal.Number
		Value           []byte
		Decided         Record
		// RetryAfter is for how long the voter must not vote for the candidate, where
		// that is why it refused.
		RetryAfter time.Duration
	}
	// Accept asks to accept a value.
	Accept struct {
		Epoch  uint64
		Number proposal.Number
		Value  []byte
	}
	// Accepted says that the voter did.
	Accepted struct {
		Epoch  uint64
		Number proposal.Number
	}
	// Decided gives a record that was decided.
	Decided struct{ Record Record }
)

// Messages that replicate writes, and repair replicas that lack some.
type (
	// Replicate carries a write from the primary. It applies on top of
	// PreviousVersion only.
	Replicate struct {
		Record          Record
		PreviousVersion store.Version
		Version         store.Version
		Puts            []store.Put
	}
	// ReplicateAck says whether the sender has synced it.
	ReplicateAck struct {
		Version store.Version
		Synced  bool
	}
	// RepairDigests gives the digests of the primary's replica.
	RepairDigests struct {
		Record  Record
		Version store.Version
		Digests store.Digests
	}
	// RepairRequest asks for the ranges that differ.
	RepairRequest struct {
		Version store.Version
		Ranges  []int
	}
	// RepairRanges gives their records.
	RepairRanges struct {
		Record  Record
		Version store.Version
		Ranges  []int
		Records map[string]store.Record
	}
	// RepairDone says that the replica is synced up to Version.
	RepairDone struct{ Version store.Version }
)
