package message

import (
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/store"
)

// The encoded field names are those of the first release and must never change; see
// package encoded.

// encodedReplicate is the encoded form of consensus.Replicate.
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

// encodedReplicateAck is the encoded form of consensus.ReplicateAck.
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

// encodedRepairDigests is the encoded form of consensus.RepairDigests.
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

// encodedRepairRequest is the encoded form of consensus.RepairRequest.
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

// encodedRepairRanges is the encoded form of consensus.RepairRanges.
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

// encodedRepairDone is the encoded form of consensus.RepairDone.
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
