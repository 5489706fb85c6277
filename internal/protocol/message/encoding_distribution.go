package message

import (
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// The encoded field names are those of the first release and must never change; see
// package encoded.

// encodedUpdateRequest is the encoded form of distribution.UpdateRequest.
type encodedUpdateRequest struct {
	Node    string
	Kind    string
	Have    store.Version
	Reports []encodedInstanceReport
	Highs   map[string]model.Position
	Shows   uint64
	Via     string
	Roll    distribution.ListVersion
	Birth   int64
	Number  uint64
	Known   uint64
	IsDelta bool
	IsBare  bool
	IsDiff  bool
	Sets    []model.HeldSet
}

func encodeUpdateRequest(m distribution.UpdateRequest) encodedUpdateRequest {
	return encodedUpdateRequest{
		Node:    m.Node,
		Kind:    m.Kind,
		Have:    m.Version,
		Reports: encoded.Slice(m.Reports, encodeInstanceReport),
		Highs:   m.HighWatermarks,
		Shows:   m.ActiveSequence,
		Via:     m.ForwardedBy,
		Roll:    m.ListVersion,
		Birth:   m.Incarnation,
		Number:  m.RequestNumber,
		Known:   m.BaselineTenure,
		IsDelta: m.AcceptsDelta,
		IsBare:  m.WithoutLease,
		IsDiff:  m.AcceptsSetChanges,
		Sets:    m.HeldSets,
	}
}

func decodeUpdateRequest(e encodedUpdateRequest) distribution.UpdateRequest {
	return distribution.UpdateRequest{
		Node:           e.Node,
		Kind:           e.Kind,
		Version:        e.Have,
		Reports:        encoded.Slice(e.Reports, decodeInstanceReport),
		HighWatermarks: e.Highs,
		ActiveSequence: e.Shows,
		ForwardedBy:    e.Via,
		ListVersion:    e.Roll,
		Incarnation:    e.Birth,
		RequestNumber:  e.Number,
		BaselineTenure: e.Known,
		AcceptsDelta:   e.IsDelta,
		WithoutLease:   e.IsBare,

		AcceptsSetChanges: e.IsDiff,
		HeldSets:          e.Sets,
	}
}

// encodedInstanceReport is the encoded form of distribution.InstanceReport.
type encodedInstanceReport struct {
	Instance  encoded.Instance
	Announced time.Duration
	Answered  time.Duration
	Placed    time.Duration
	Lagging   time.Duration
	Refused   int
	Overdue   time.Duration
}

func encodeInstanceReport(m distribution.InstanceReport) encodedInstanceReport {
	return encodedInstanceReport{
		Instance:  m.Instance.Encoded(),
		Announced: m.AnnouncementAge,
		Answered:  m.ResponseAge,
		Placed:    m.PositionAge,
		Lagging:   m.MaxCommitWait,
		Refused:   m.RefusedConnections,
		Overdue:   m.OldestStatementAge,
	}
}

func decodeInstanceReport(e encodedInstanceReport) distribution.InstanceReport {
	return distribution.InstanceReport{
		Instance:           model.InstanceFrom(e.Instance),
		AnnouncementAge:    e.Announced,
		ResponseAge:        e.Answered,
		PositionAge:        e.Placed,
		MaxCommitWait:      e.Lagging,
		RefusedConnections: e.Refused,
		OldestStatementAge: e.Overdue,
	}
}

// encodedNodeReport is the encoded form of distribution.NodeReport.
type encodedNodeReport struct {
	Node    string
	Reports []encodedInstanceReport
	Highs   map[string]model.Position
	Known   uint64
}

func encodeNodeReport(m distribution.NodeReport) encodedNodeReport {
	return encodedNodeReport{
		Node:    m.Node,
		Reports: encoded.Slice(m.Reports, encodeInstanceReport),
		Highs:   m.HighWatermarks,
		Known:   m.BaselineTenure,
	}
}

func decodeNodeReport(e encodedNodeReport) distribution.NodeReport {
	return distribution.NodeReport{
		Node:           e.Node,
		Reports:        encoded.Slice(e.Reports, decodeInstanceReport),
		HighWatermarks: e.Highs,
		BaselineTenure: e.Known,
	}
}

// encodedUpdate is the encoded form of distribution.Update.
type encodedUpdate struct {
	IsPrimary bool
	Record    consensus.Record
	Lease     time.Duration
	Wall      int64
	Held      time.Duration
	Doc       *encoded.Doc
	Tenure    uint64
	Roll      distribution.ListVersion
	Instances []encoded.Instance
}

func encodeUpdate(m distribution.Update) encodedUpdate {
	return encodedUpdate{
		IsPrimary: m.FromPrimary,
		Record:    m.Record,
		Lease:     m.LeaseDuration,
		Wall:      m.PrimaryTime,
		Held:      m.QueuedFor,
		Doc:       encoded.Pointer(m.Snapshot, model.Snapshot.Encoded),
		Tenure:    m.Tenure,
		Roll:      m.ListVersion,
		Instances: encoded.Slice(m.Instances, model.Instance.Encoded),
	}
}

func decodeUpdate(e encodedUpdate) distribution.Update {
	return distribution.Update{
		FromPrimary:   e.IsPrimary,
		Record:        e.Record,
		LeaseDuration: e.Lease,
		PrimaryTime:   e.Wall,
		QueuedFor:     e.Held,
		Snapshot:      encoded.Pointer(e.Doc, model.SnapshotFrom),
		Tenure:        e.Tenure,
		ListVersion:   e.Roll,
		Instances:     encoded.Slice(e.Instances, model.InstanceFrom),
	}
}

// encodedWriterRoleChange is the encoded form of distribution.WriterRoleChange.
type encodedWriterRoleChange struct {
	Before   encoded.Writer
	IsKnown  bool
	After    encoded.Writer
	What     string
	Evidence string
	By       string
}

func encodeWriterRoleChange(m distribution.WriterRoleChange) encodedWriterRoleChange {
	return encodedWriterRoleChange{
		Before:   m.Previous.Encoded(),
		IsKnown:  m.PreviousExists,
		After:    m.Next.Encoded(),
		What:     m.Action,
		Evidence: m.Evidence,
		By:       m.RequestedBy,
	}
}

func decodeWriterRoleChange(e encodedWriterRoleChange) distribution.WriterRoleChange {
	return distribution.WriterRoleChange{
		Previous:       model.WriterRoleFrom(e.Before),
		PreviousExists: e.IsKnown,
		Next:           model.WriterRoleFrom(e.After),
		Action:         e.What,
		Evidence:       e.Evidence,
		RequestedBy:    e.By,
	}
}
