package message

import (
	"time"

	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// The encoded field names are those of the first release and must never change; see
// package encoded.

// encodedSyncEvidence is the encoded form of syncrepl.Evidence.
type encodedSyncEvidence struct {
	Database   string
	Self       string
	Writer     encoded.Writer
	IsKnown    bool
	Stamp      store.Version
	Sights     []encodedSyncObservation
	IsSettled  bool
	SettledFor time.Duration
	Event      uint64
	Covered    uint64
	Bound      model.Position
	Tenure     string
	Age        time.Duration
	Wall       int64
	Seen       map[string]encodedProbeResult
	Calls      []encodedPromoteCall
	IsFenced   bool
}

func encodeSyncEvidence(m syncrepl.Evidence) encodedSyncEvidence {
	return encodedSyncEvidence{
		Database:   m.Database,
		Self:       m.Self,
		Writer:     m.Writer.Encoded(),
		IsKnown:    m.Known,
		Stamp:      m.Version,
		Sights:     encoded.Slice(m.Observations, encodeSyncObservation),
		IsSettled:  m.Settled,
		SettledFor: m.SettledFor,
		Event:      m.GapSequence,
		Covered:    m.CoveredSequence,
		Bound:      m.CommitBound,
		Tenure:     m.Tenure,
		Age:        m.GatheredFor,
		Wall:       m.WallNanos,
		Seen:       encoded.Map(m.Probes, encodeProbeResult),
		Calls:      encoded.Slice(m.PromoteCalls, encodePromoteCall),
		IsFenced:   m.FencingEnforced,
	}
}

func decodeSyncEvidence(e encodedSyncEvidence) syncrepl.Evidence {
	return syncrepl.Evidence{
		Database:        e.Database,
		Self:            e.Self,
		Writer:          model.WriterRoleFrom(e.Writer),
		Known:           e.IsKnown,
		Version:         e.Stamp,
		Observations:    encoded.Slice(e.Sights, decodeSyncObservation),
		Settled:         e.IsSettled,
		SettledFor:      e.SettledFor,
		GapSequence:     e.Event,
		CoveredSequence: e.Covered,
		CommitBound:     e.Bound,
		Tenure:          e.Tenure,
		GatheredFor:     e.Age,
		WallNanos:       e.Wall,
		Probes:          encoded.Map(e.Seen, decodeProbeResult),
		PromoteCalls:    encoded.Slice(e.Calls, decodePromoteCall),
		FencingEnforced: e.IsFenced,
	}
}

// encodedSyncObservation is the encoded form of syncrepl.Observation.
type encodedSyncObservation struct {
	Instance encoded.Instance
	Heard    time.Duration
	Tried    int
	Refused  int
	Overdue  int
	Answered time.Duration
	Blank    time.Duration
}

func encodeSyncObservation(m syncrepl.Observation) encodedSyncObservation {
	return encodedSyncObservation{
		Instance: m.Instance.Encoded(),
		Heard:    m.ContactAge,
		Tried:    m.ReportingNodes,
		Refused:  m.RefusedNodes,
		Overdue:  m.OverdueNodes,
		Answered: m.AnswerAge,
		Blank:    m.UnobservedFor,
	}
}

func decodeSyncObservation(e encodedSyncObservation) syncrepl.Observation {
	return syncrepl.Observation{
		Instance:       model.InstanceFrom(e.Instance),
		ContactAge:     e.Heard,
		ReportingNodes: e.Tried,
		RefusedNodes:   e.Refused,
		OverdueNodes:   e.Overdue,
		AnswerAge:      e.Answered,
		UnobservedFor:  e.Blank,
	}
}

// encodedProbeResult is the encoded form of syncrepl.ProbeResult.
type encodedProbeResult struct {
	Age        time.Duration
	IsAnswered bool
	IsBusy     bool
	IsGone     bool
	Role       string
	Term       uint64
	Position   model.Position
	IsAfter    bool
	Event      uint64
	Tenure     string
}

func encodeProbeResult(m syncrepl.ProbeResult) encodedProbeResult {
	return encodedProbeResult{
		Age:        m.Age,
		IsAnswered: m.Answered,
		IsBusy:     m.Busy,
		IsGone:     m.Gone,
		Role:       m.Role,
		Term:       m.Term,
		Position:   m.Position,
		IsAfter:    m.AfterSettled,
		Event:      m.GapSequence,
		Tenure:     m.Tenure,
	}
}

func decodeProbeResult(e encodedProbeResult) syncrepl.ProbeResult {
	return syncrepl.ProbeResult{
		Age:          e.Age,
		Answered:     e.IsAnswered,
		Busy:         e.IsBusy,
		Gone:         e.IsGone,
		Role:         e.Role,
		Term:         e.Term,
		Position:     e.Position,
		AfterSettled: e.IsAfter,
		GapSequence:  e.Event,
		Tenure:       e.Tenure,
	}
}

// encodedPromoteCall is the encoded form of syncrepl.PromoteCall.
type encodedPromoteCall struct {
	Instance string
	Age      time.Duration
	Status   int
	Fence    uint64
	IsUnsent bool
}

func encodePromoteCall(m syncrepl.PromoteCall) encodedPromoteCall {
	return encodedPromoteCall{
		Instance: m.Instance,
		Age:      m.Age,
		Status:   m.Status,
		Fence:    m.FencingToken,
		IsUnsent: m.Unsent,
	}
}

func decodePromoteCall(e encodedPromoteCall) syncrepl.PromoteCall {
	return syncrepl.PromoteCall{
		Instance:     e.Instance,
		Age:          e.Age,
		Status:       e.Status,
		FencingToken: e.Fence,
		Unsent:       e.IsUnsent,
	}
}

// encodedReportBound is the encoded form of syncrepl.ReportBound.
type encodedReportBound struct {
	Database string
	Tenure   string
	Event    uint64
	Position model.Position
}

func encodeReportBound(m syncrepl.ReportBound) encodedReportBound {
	return encodedReportBound{
		Database: m.Database,
		Tenure:   m.Tenure,
		Event:    m.GapSequence,
		Position: m.Position,
	}
}

func decodeReportBound(e encodedReportBound) syncrepl.ReportBound {
	return syncrepl.ReportBound{
		Database:    e.Database,
		Tenure:      e.Tenure,
		GapSequence: e.Event,
		Position:    e.Position,
	}
}
