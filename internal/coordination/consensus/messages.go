package consensus

import (
	"time"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// Messages that form a cluster, and messages that find its newest record.
type (
	// FormCluster proposes the voters of a new cluster. All of them must agree.
	FormCluster struct{ Identity Identity }
	// FormClusterAck agrees to a FormCluster, and carries the incarnation of the
	// sender's disk.
	FormClusterAck struct {
		Cluster     string
		Incarnation uint64
	}
	// ClusterFormed reports that all voters have agreed, and carries the first record.
	ClusterFormed struct {
		Cluster string
		Record  Record
	}
	// StatusRequest asks for the newest record known to the receiver.
	StatusRequest struct{}
	// Status answers a StatusRequest.
	Status struct {
		Cluster string
		Decided Record
	}
)

// Messages that replace voters.
type (
	// Join offers the sender to the primary as a standby. The sender has synced the
	// record of Epoch, according to which it is not a voter.
	Join struct {
		Cluster     string
		Epoch       uint64
		Incarnation uint64
	}
	// Leaving notifies the primary that the sender is shutting down.
	Leaving struct{}
	// Released answers a Leaving. It allows the receiver to shut down, because the
	// receiver is neither primary nor backup and no standby could vote in its place.
	Released struct{ Epoch uint64 }
)

// Messages of the primary's lease.
type (
	// RenewLease asks a voter to grant or renew the lease.
	RenewLease struct {
		Record Record
		// SentAt is when the message was sent, by the sender's monotonic clock.
		SentAt time.Duration
		// Incarnation identifies the sender's run of the program. A later run must not use
		// replies to this run. Builds that do not support the field leave it at 0.
		Incarnation int64
	}
	// RenewLeaseAck grants or refuses the lease. Decided is the newest record known to
	// the voter, which may be newer than that of the request. SentAt and Incarnation
	// are copied from the request.
	RenewLeaseAck struct {
		Decided     Record
		SentAt      time.Duration
		Incarnation int64
		// WallNanos is the voter's wall clock, or 0 before the voter has read its
		// clock.
		WallNanos int64
		Granted   bool
	}
)

// Messages of a proposal for the record of the next epoch. Each Value is an encoded
// Record.
type (
	// Prepare asks for a promise for the epoch after Decided. Version is the version of
	// the candidate's replica.
	Prepare struct {
		Decided Record
		Number  proposal.Number
		Version store.Version
	}
	// Promise grants or refuses a Prepare.
	Promise struct {
		Epoch   uint64
		Number  proposal.Number
		Granted bool
		// HighestPromised is the number of the highest proposal that the voter has
		// promised.
		HighestPromised proposal.Number
		Accepted        proposal.Number
		Value           []byte
		Decided         Record
		// RetryAfter is how long the voter must not vote for the candidate, if that is
		// why it refused.
		RetryAfter time.Duration
	}
	// Accept asks a voter to accept a value.
	Accept struct {
		Epoch  uint64
		Number proposal.Number
		Value  []byte
	}
	// Accepted reports that the voter has accepted the value.
	Accepted struct {
		Epoch  uint64
		Number proposal.Number
	}
	// Decided carries a record that was decided.
	Decided struct{ Record Record }
)

// Messages that replicate writes and repair replicas that lack writes.
type (
	// Replicate carries a write from the primary. The write applies only on top of
	// PreviousVersion.
	Replicate struct {
		Record          Record
		PreviousVersion store.Version
		Version         store.Version
		Puts            []store.Put
	}
	// ReplicateAck reports whether the sender has synced a write.
	ReplicateAck struct {
		Version store.Version
		Synced  bool
	}
	// RepairDigests carries the digests of the primary's replica.
	RepairDigests struct {
		Record  Record
		Version store.Version
		Digests store.Digests
	}
	// RepairRequest asks for the key ranges whose digests differ.
	RepairRequest struct {
		Version store.Version
		Ranges  []int
	}
	// RepairRanges carries the records of the requested key ranges.
	RepairRanges struct {
		Record  Record
		Version store.Version
		Ranges  []int
		Records map[string]store.Record
	}
	// RepairDone reports that the sender's replica is synced up to Version.
	RepairDone struct{ Version store.Version }
)
