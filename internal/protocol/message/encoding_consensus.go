package message

import (
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/store"
)

// The encoded names are those of the first release; see package encoded.

// encodedVoteRequest is proposal.VoteRequest as it is sent.
type encodedVoteRequest struct {
	Duty      string
	Go        uint64
	Voters    string
	IsRenewal bool
}

func encodeVoteRequest(m proposal.VoteRequest) encodedVoteRequest {
	return encodedVoteRequest{
		Duty:      m.Role,
		Go:        m.Attempt,
		Voters:    m.Voters,
		IsRenewal: m.Renewal,
	}
}

func decodeVoteRequest(e encodedVoteRequest) proposal.VoteRequest {
	return proposal.VoteRequest{
		Role:    e.Duty,
		Attempt: e.Go,
		Voters:  e.Voters,
		Renewal: e.IsRenewal,
	}
}

// encodedVote is proposal.Vote as it is sent.
type encodedVote struct {
	Voter     string
	Duty      string
	Go        uint64
	IsGranted bool
	Holder    string
	Left      time.Duration
}

func encodeVote(m proposal.Vote) encodedVote {
	return encodedVote{
		Voter:     m.Voter,
		Duty:      m.Role,
		Go:        m.Attempt,
		IsGranted: m.Granted,
		Holder:    m.Leader,
		Left:      m.Remaining,
	}
}

func decodeVote(e encodedVote) proposal.Vote {
	return proposal.Vote{
		Voter:     e.Voter,
		Role:      e.Duty,
		Attempt:   e.Go,
		Granted:   e.IsGranted,
		Leader:    e.Holder,
		Remaining: e.Left,
	}
}

// encodedRenewLeaseAck is consensus.RenewLeaseAck as it is sent.
type encodedRenewLeaseAck struct {
	Decided   consensus.Record
	Sent      time.Duration
	Life      int64
	Wall      int64
	IsGranted bool
}

func encodeRenewLeaseAck(m consensus.RenewLeaseAck) encodedRenewLeaseAck {
	return encodedRenewLeaseAck{
		Decided:   m.Decided,
		Sent:      m.SentAt,
		Life:      m.Incarnation,
		Wall:      m.WallNanos,
		IsGranted: m.Granted,
	}
}

func decodeRenewLeaseAck(e encodedRenewLeaseAck) consensus.RenewLeaseAck {
	return consensus.RenewLeaseAck{
		Decided:     e.Decided,
		SentAt:      e.Sent,
		Incarnation: e.Life,
		WallNanos:   e.Wall,
		Granted:     e.IsGranted,
	}
}

// encodedReplicateAck is consensus.ReplicateAck as it is sent.
type encodedReplicateAck struct {
	Stamp    store.Version
	IsSynced bool
}

func encodeReplicateAck(m consensus.ReplicateAck) encodedReplicateAck {
	return encodedReplicateAck{
		Stamp:    m.Version,
		IsSynced: m.Synced,
	}
}

func decodeReplicateAck(e encodedReplicateAck) consensus.ReplicateAck {
	return consensus.ReplicateAck{
		Version: e.Stamp,
		Synced:  e.IsSynced,
	}
}

// encodedRepairDigests is consensus.RepairDigests as it is sent.
type encodedRepairDigests struct {
	Record  consensus.Record
	Stamp   store.Version
	Digests [store.RangeCount][32]byte
}

func encodeRepairDigests(m consensus.RepairDigests) encodedRepairDigests {
	return encodedRepairDigests{
		Record:  m.Record,
		Stamp:   m.Version,
		Digests: m.Digests,
	}
}

func decodeRepairDigests(e encodedRepairDigests) consensus.RepairDigests {
	return consensus.RepairDigests{
		Record:  e.Record,
		Version: e.Stamp,
		Digests: e.Digests,
	}
}

// encodedPromise is consensus.Promise as it is sent.
type encodedPromise struct {
	Epoch    uint64
	Number   proposal.Number
	IsGiven  bool
	Higher   proposal.Number
	Accepted proposal.Number
	Value    []byte
	Decided  consensus.Record
	Wait     time.Duration
}

func encodePromise(m consensus.Promise) encodedPromise {
	return encodedPromise{
		Epoch:    m.Epoch,
		Number:   m.Number,
		IsGiven:  m.Granted,
		Higher:   m.HighestPromised,
		Accepted: m.Accepted,
		Value:    m.Value,
		Decided:  m.Decided,
		Wait:     m.RetryAfter,
	}
}

func decodePromise(e encodedPromise) consensus.Promise {
	return consensus.Promise{
		Epoch:           e.Epoch,
		Number:          e.Number,
		Granted:         e.IsGiven,
		HighestPromised: e.Higher,
		Accepted:        e.Accepted,
		Value:           e.Value,
		Decided:         e.Decided,
		RetryAfter:      e.Wait,
	}
}

// encodedReplicate is consensus.Replicate as it is sent.
type encodedReplicate struct {
	Record consensus.Record
	Before store.Version
	Stamp  store.Version
	Puts   []encoded.Put
}

func encodeReplicate(m consensus.Replicate) encodedReplicate {
	return encodedReplicate{
		Record: m.Record,
		Before: m.PreviousVersion,
		Stamp:  m.Version,
		Puts:   encoded.Slice(m.Puts, store.Put.Encoded),
	}
}

func decodeReplicate(e encodedReplicate) consensus.Replicate {
	return consensus.Replicate{
		Record:          e.Record,
		PreviousVersion: e.Before,
		Version:         e.Stamp,
		Puts:            encoded.Slice(e.Puts, store.PutFrom),
	}
}

// encodedRepairRequest is consensus.RepairRequest as it is sent.
type encodedRepairRequest struct {
	Stamp  store.Version
	Ranges []int
}

func encodeRepairRequest(m consensus.RepairRequest) encodedRepairRequest {
	return encodedRepairRequest{
		Stamp:  m.Version,
		Ranges: m.Ranges,
	}
}

func decodeRepairRequest(e encodedRepairRequest) consensus.RepairRequest {
	return consensus.RepairRequest{
		Version: e.Stamp,
		Ranges:  e.Ranges,
	}
}

// encodedRepairRanges is consensus.RepairRanges as it is sent.
type encodedRepairRanges struct {
	Record  consensus.Record
	Stamp   store.Version
	Ranges  []int
	Records map[string]encoded.Record
}

func encodeRepairRanges(m consensus.RepairRanges) encodedRepairRanges {
	return encodedRepairRanges{
		Record:  m.Record,
		Stamp:   m.Version,
		Ranges:  m.Ranges,
		Records: encoded.Map(m.Records, store.Record.Encoded),
	}
}

func decodeRepairRanges(e encodedRepairRanges) consensus.RepairRanges {
	return consensus.RepairRanges{
		Record:  e.Record,
		Version: e.Stamp,
		Ranges:  e.Ranges,
		Records: encoded.Map(e.Records, store.RecordFrom),
	}
}

// encodedFormCluster is consensus.FormCluster as it is sent.
type encodedFormCluster struct {
	Identity consensus.EncodedIdentity
}

func encodeFormCluster(m consensus.FormCluster) encodedFormCluster {
	return encodedFormCluster{
		Identity: m.Identity.Encoded(),
	}
}

func decodeFormCluster(e encodedFormCluster) consensus.FormCluster {
	return consensus.FormCluster{
		Identity: consensus.IdentityFrom(e.Identity),
	}
}

// encodedPrepare is consensus.Prepare as it is sent.
type encodedPrepare struct {
	Decided consensus.Record
	Number  proposal.Number
	Stamp   store.Version
}

func encodePrepare(m consensus.Prepare) encodedPrepare {
	return encodedPrepare{
		Decided: m.Decided,
		Number:  m.Number,
		Stamp:   m.Version,
	}
}

func decodePrepare(e encodedPrepare) consensus.Prepare {
	return consensus.Prepare{
		Decided: e.Decided,
		Number:  e.Number,
		Version: e.Stamp,
	}
}

// encodedRepairDone is consensus.RepairDone as it is sent.
type encodedRepairDone struct {
	Stamp store.Version
}

func encodeRepairDone(m consensus.RepairDone) encodedRepairDone {
	return encodedRepairDone{
		Stamp: m.Version,
	}
}

func decodeRepairDone(e encodedRepairDone) consensus.RepairDone {
	return consensus.RepairDone{
		Version: e.Stamp,
	}
}

// encodedRenewLease is consensus.RenewLease as it is sent.
type encodedRenewLease struct {
	Record consensus.Record
	Sent   time.Duration
	Life   int64
}

func encodeRenewLease(m consensus.RenewLease) encodedRenewLease {
	return encodedRenewLease{
		Record: m.Record,
		Sent:   m.SentAt,
		Life:   m.Incarnation,
	}
}

func decodeRenewLease(e encodedRenewLease) consensus.RenewLease {
	return consensus.RenewLease{
		Record:      e.Record,
		SentAt:      e.Sent,
		Incarnation: e.Life,
	}
}
