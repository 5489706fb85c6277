package message

import (
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// The encoded field names are those of the first release and must never change; see
// package encoded.

// encodedFormCluster is the encoded form of consensus.FormCluster.
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

// encodedRenewLease is the encoded form of consensus.RenewLease.
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

// encodedRenewLeaseAck is the encoded form of consensus.RenewLeaseAck.
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

// encodedPrepare is the encoded form of consensus.Prepare.
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

// encodedPromise is the encoded form of consensus.Promise.
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
