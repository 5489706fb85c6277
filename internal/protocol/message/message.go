// Package message names the messages between the fleet's processes.
package message

import (
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

// PassNews asks a watched peer to pass an ask on to the primary.
type ForwardUpdateRequest struct{ Request distribution.UpdateRequest }

// Operate passes an operator's checked call on to the control primary.
type OperatorCall struct {
	Path string
	Body []byte
}

// Operated is its answer.
type OperatorCallResult struct {
	Status int
	Body   []byte
	// IsElsewhere says that this machine is not primary; Primary is whom it
	// holds to be.
	NotPrimary bool
	Primary    string
}

// AskCase asks the primary for the databases, and for the case of one.
type EvidenceRequest struct{ Database string }

// Announce passes a synced instance's announcement on to the control primary.
type InstanceAnnouncement struct{ Instance model.Instance }

// Announced is its answer; Door is where later announcements had best go.
type AnnouncementResult struct {
	Accepted    bool
	HTTPAddress string
}

// CaseAnswer gives it.
type EvidenceResponse struct {
	FromPrimary bool
	Databases   []string
	Evidence    asyncrepl.Evidence
	// Synced are those of the databases whose instances judge themselves when
	// a commit is safe; Takeover is the case of one of them.
	SyncedDatabases []string
	SyncedEvidence  syncrepl.Evidence
}

// Recorded answers a RecordCase.
type RecordResult struct{ Stored bool }

// Turned tells a data-plane node of another control primary.
type EpochChanged struct{ Record consensus.Record }

// Query asks a node for its part of the fleet view, as JSON.
type QueryRequest struct{ What string }

// QueryAnswer gives it.
type QueryResponse struct{ Body []byte }
