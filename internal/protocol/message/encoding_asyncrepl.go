package message

import (
	"time"

	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/model"
)

// The encoded field names are those of the first release and must never change; see
// package encoded.

// encodedAsyncEvidence is the encoded form of asyncrepl.Evidence.
type encodedAsyncEvidence struct {
	Database   string
	Writer     encoded.Writer
	IsKnown    bool
	Sights     []encodedAsyncObservation
	IsSettled  bool
	SettledFor time.Duration
	Mark       model.Position
	HasMark    bool
	Asked      int
	Age        time.Duration
	Wall       int64
}

func encodeAsyncEvidence(m asyncrepl.Evidence) encodedAsyncEvidence {
	return encodedAsyncEvidence{
		Database:   m.Database,
		Writer:     m.Writer.Encoded(),
		IsKnown:    m.Known,
		Sights:     encoded.Slice(m.Observations, encodeAsyncObservation),
		IsSettled:  m.Settled,
		SettledFor: m.SettledFor,
		Mark:       m.PrimaryPosition,
		HasMark:    m.HasPrimaryPosition,
		Asked:      m.ReportingNodes,
		Age:        m.GatheredFor,
		Wall:       m.WallNanos,
	}
}

func decodeAsyncEvidence(e encodedAsyncEvidence) asyncrepl.Evidence {
	return asyncrepl.Evidence{
		Database:           e.Database,
		Writer:             model.WriterRoleFrom(e.Writer),
		Known:              e.IsKnown,
		Observations:       encoded.Slice(e.Sights, decodeAsyncObservation),
		Settled:            e.IsSettled,
		SettledFor:         e.SettledFor,
		PrimaryPosition:    e.Mark,
		HasPrimaryPosition: e.HasMark,
		ReportingNodes:     e.Asked,
		GatheredFor:        e.Age,
		WallNanos:          e.Wall,
	}
}

// encodedAsyncObservation is the encoded form of asyncrepl.Observation.
type encodedAsyncObservation struct {
	Instance encoded.Instance
	Heard    time.Duration
	Placed   time.Duration
	Silent   int
	Asked    int
	Lagging  time.Duration
}

func encodeAsyncObservation(m asyncrepl.Observation) encodedAsyncObservation {
	return encodedAsyncObservation{
		Instance: m.Instance.Encoded(),
		Heard:    m.ContactAge,
		Placed:   m.PositionAge,
		Silent:   m.SilentNodes,
		Asked:    m.ReportingNodes,
		Lagging:  m.CommitWait,
	}
}

func decodeAsyncObservation(e encodedAsyncObservation) asyncrepl.Observation {
	return asyncrepl.Observation{
		Instance:       model.InstanceFrom(e.Instance),
		ContactAge:     e.Heard,
		PositionAge:    e.Placed,
		SilentNodes:    e.Silent,
		ReportingNodes: e.Asked,
		CommitWait:     e.Lagging,
	}
}
