package model

// AuditEntry is one entry of the log of the control plane's decisions.
type AuditEntry struct {
	// Sequence is the number of the entry. Entries are numbered without gaps.
	Sequence uint64 `json:"order"`
	// At is the time of the decision, in Unix nanoseconds by the control primary's clock.
	At int64 `json:"at"`
	// Subject is the name of the object of the decision, such as a database.
	Subject string `json:"subject"`
	// Action describes the decision, and Evidence the reasons for it. Both are texts for
	// operators.
	Action   string `json:"what"`
	Evidence string `json:"evidence"`
}
