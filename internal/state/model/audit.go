package model

// AuditEntry is one entry of the log of what the control plane decided.
type AuditEntry struct {
	// Sequence numbers the entries without gaps.
	Sequence uint64 `json:"order"`
	// At is when it was decided, in Unix nanoseconds by the control primary's clock.
	At int64 `json:"at"`
	// Subject names what the decision is about, such as a database.
	Subject string `json:"subject"`
	// Action says what was decided, and Evidence on which grounds, for operators.
	Action   string `json:"what"`
	Evidence string `json:"evidence"`
}
