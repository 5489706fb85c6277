// Package message lists the messages between the fleet's processes, and holds the
// form in which they are sent.
//
// The types that only carry a call or its answer are defined here; the others
// belong to the packages that decide by them. What a receiver does with a second
// copy of a message is described in docs/design/messages.md.
package message

import (
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

// ForwardUpdateRequest asks a proxy node to forward a peer's update request to the
// control primary. The reply is the update.
type ForwardUpdateRequest struct{ Request distribution.UpdateRequest }

// OperatorCall forwards an operator's call to the control primary. Its body has
// the shape that the schema gives the path.
type OperatorCall struct {
	Path string
	Body []byte
}

// OperatorCallResult replies to an OperatorCall with the HTTP status and the body
// of the answer.
type OperatorCallResult struct {
	Status int
	Body   []byte
	// NotPrimary says that the node is not the control primary and did nothing.
	// Primary is then the name of the node that it believes to be.
	NotPrimary bool
	Primary    string
}

// EvidenceRequest asks the control primary for the failover evidence of a
// database, or for the lists of databases if none is named.
type EvidenceRequest struct{ Database string }

// EvidenceResponse replies to an EvidenceRequest.
type EvidenceResponse struct {
	// FromPrimary says that the node is the control primary. The rest is not set
	// otherwise.
	FromPrimary bool
	// Databases lists all databases, if the request names none.
	Databases []string
	// Evidence is that of the named database, if its replication is asynchronous.
	Evidence asyncrepl.Evidence
	// SyncedDatabases are those of the databases whose replication is synchronous.
	SyncedDatabases []string
	// SyncedEvidence is that of the named database, if its replication is
	// synchronous.
	SyncedEvidence syncrepl.Evidence
}

// RecordResult replies to a distribution.WriterRoleChange: whether the control
// primary stored it.
type RecordResult struct{ Stored bool }

// InstanceAnnouncement forwards the announcement of an instance with synchronous
// replication to the control primary.
type InstanceAnnouncement struct{ Instance model.Instance }

// AnnouncementResult replies to an InstanceAnnouncement. HTTPAddress is where the
// instance had best send the next one.
type AnnouncementResult struct {
	Accepted    bool
	HTTPAddress string
}

// EpochChanged tells a proxy node of a newer epoch record, so that it need not
// wait for a silent primary.
type EpochChanged struct{ Record consensus.Record }

// QueryRequest asks a node for its part of a query about the fleet.
type QueryRequest struct{ What string }

// QueryResponse replies to a QueryRequest. The body is JSON.
type QueryResponse struct{ Body []byte }
