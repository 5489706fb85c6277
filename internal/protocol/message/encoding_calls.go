package message

import (
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/model"
)

// The encoded field names are those of the first release and must never change; see
// package encoded.

// encodedForwardUpdateRequest is the encoded form of ForwardUpdateRequest.
type encodedForwardUpdateRequest struct {
	Ask encodedUpdateRequest
}

func encodeForwardUpdateRequest(m ForwardUpdateRequest) encodedForwardUpdateRequest {
	return encodedForwardUpdateRequest{
		Ask: encodeUpdateRequest(m.Request),
	}
}

func decodeForwardUpdateRequest(e encodedForwardUpdateRequest) ForwardUpdateRequest {
	return ForwardUpdateRequest{
		Request: decodeUpdateRequest(e.Ask),
	}
}

// encodedOperatorCallResult is the encoded form of OperatorCallResult.
type encodedOperatorCallResult struct {
	Status      int
	Body        []byte
	IsElsewhere bool
	Primary     string
}

func encodeOperatorCallResult(m OperatorCallResult) encodedOperatorCallResult {
	return encodedOperatorCallResult{
		Status:      m.Status,
		Body:        m.Body,
		IsElsewhere: m.NotPrimary,
		Primary:     m.Primary,
	}
}

func decodeOperatorCallResult(e encodedOperatorCallResult) OperatorCallResult {
	return OperatorCallResult{
		Status:     e.Status,
		Body:       e.Body,
		NotPrimary: e.IsElsewhere,
		Primary:    e.Primary,
	}
}

// encodedEvidenceResponse is the encoded form of EvidenceResponse.
type encodedEvidenceResponse struct {
	IsPrimary bool
	Databases []string
	Case      encodedAsyncEvidence
	Synced    []string
	Takeover  encodedSyncEvidence
}

func encodeEvidenceResponse(m EvidenceResponse) encodedEvidenceResponse {
	return encodedEvidenceResponse{
		IsPrimary: m.FromPrimary,
		Databases: m.Databases,
		Case:      encodeAsyncEvidence(m.Evidence),
		Synced:    m.SyncedDatabases,
		Takeover:  encodeSyncEvidence(m.SyncedEvidence),
	}
}

func decodeEvidenceResponse(e encodedEvidenceResponse) EvidenceResponse {
	return EvidenceResponse{
		FromPrimary:     e.IsPrimary,
		Databases:       e.Databases,
		Evidence:        decodeAsyncEvidence(e.Case),
		SyncedDatabases: e.Synced,
		SyncedEvidence:  decodeSyncEvidence(e.Takeover),
	}
}

// encodedRecordResult is the encoded form of RecordResult.
type encodedRecordResult struct {
	IsKept bool
}

func encodeRecordResult(m RecordResult) encodedRecordResult {
	return encodedRecordResult{
		IsKept: m.Stored,
	}
}

func decodeRecordResult(e encodedRecordResult) RecordResult {
	return RecordResult{
		Stored: e.IsKept,
	}
}

// encodedInstanceAnnouncement is the encoded form of InstanceAnnouncement.
type encodedInstanceAnnouncement struct {
	Instance encoded.Instance
}

func encodeInstanceAnnouncement(m InstanceAnnouncement) encodedInstanceAnnouncement {
	return encodedInstanceAnnouncement{
		Instance: m.Instance.Encoded(),
	}
}

func decodeInstanceAnnouncement(e encodedInstanceAnnouncement) InstanceAnnouncement {
	return InstanceAnnouncement{
		Instance: model.InstanceFrom(e.Instance),
	}
}

// encodedAnnouncementResult is the encoded form of AnnouncementResult.
type encodedAnnouncementResult struct {
	IsTaken bool
	Door    string
}

func encodeAnnouncementResult(m AnnouncementResult) encodedAnnouncementResult {
	return encodedAnnouncementResult{
		IsTaken: m.Accepted,
		Door:    m.HTTPAddress,
	}
}

func decodeAnnouncementResult(e encodedAnnouncementResult) AnnouncementResult {
	return AnnouncementResult{
		Accepted:    e.IsTaken,
		HTTPAddress: e.Door,
	}
}
