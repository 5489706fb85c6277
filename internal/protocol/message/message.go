// Package message lists the messages between the cluster's processes, and defines
// their encoded forms.
//
// Messages that only carry a call or its answer are defined here. The other
// messages are defined in the packages that act on them. docs/design/messages.md
// describes how a receiver handles a second copy of a message.
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

// OperatorCall forwards an operator's call to the control primary. The schema
// defines the shape of the body for each path.
type OperatorCall struct {
	Path string
	Body []byte
}

// OperatorCallResult replies to an OperatorCall with the HTTP status and the body
// of the answer.
type OperatorCallResult struct {
	Status int
	Body   []byte
	// NotPrimary is true if the node is not the control primary and did not execute
	// the call. Primary is then the name of the node that it takes for the control
	// primary.
	NotPrimary bool
	Primary    string
}

// EvidenceRequest asks the control primary for the failover evidence of a
// database. If Database is empty, it asks for the lists of databases.
type EvidenceRequest struct{ Database string }

// EvidenceResponse replies to an EvidenceRequest.
type EvidenceResponse struct {
	// FromPrimary is true if the node is the control primary. Otherwise the other
	// fields are not set.
	FromPrimary bool
	// Databases lists all databases if the request names none.
	Databases []string
	// Evidence is the evidence of the named database if its replication is
	// asynchronous.
	Evidence asyncrepl.Evidence
	// SyncedDatabases lists the databases with synchronous replication.
	SyncedDatabases []string
	// SyncedEvidence is the evidence of the named database if its replication is
	// synchronous.
	SyncedEvidence syncrepl.Evidence
}

// RecordResult replies to a distribution.WriterRoleChange. Stored is true if the
// control primary stored the change.
type RecordResult struct{ Stored bool }

// InstanceAnnouncement forwards the announcement of an instance with synchronous
// replication to the control primary.
type InstanceAnnouncement struct{ Instance model.Instance }

// AnnouncementResult replies to an InstanceAnnouncement. HTTPAddress is the address
// to which the instance should send its next announcement.
type AnnouncementResult struct {
	Accepted    bool
	HTTPAddress string
}

// EpochChanged notifies a proxy node of a newer epoch record, so that the node does
// not wait for a control primary that has stopped responding.
type EpochChanged struct{ Record consensus.Record }

// QueryRequest asks a node for its part of the answer to a query about the
// cluster.
type QueryRequest struct{ What string }

// QueryResponse replies to a QueryRequest. The body is JSON.
type QueryResponse struct{ Body []byte }
