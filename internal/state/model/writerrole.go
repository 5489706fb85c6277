package model

import "maps"

// Phases of a database's writer role.
const (
	// PhaseOpen: the primary accepts writes.
	PhaseOpen = "open"
	// PhaseClosing: nodes are being notified to stop writing.
	PhaseClosing = "closing"
	// PhaseClosed: no node writes any more, and a new primary is to be selected.
	PhaseClosed = "closed"
	// PhasePromoting: the selected replica is being promoted.
	PhasePromoting = "intent"
)

// WriterRole is the recorded state of one database's primary: who may write, in which
// term, and how far a transfer to another instance has come.
type WriterRole struct {
	Database string
	// Term rises with every primary.
	Term uint64
	// Primary names the instance that has the role; while the role is moved, the one that
	// had it last.
	Primary string
	// PrimaryIncarnation is the primary's incarnation when the term opened.
	PrimaryIncarnation string
	// Phase is one of the phases above.
	Phase string
	// RequiredReplicas must have a commit before it is confirmed; Candidates may be
	// promoted, since every node has waited for them. Both are incarnations by name.
	RequiredReplicas map[string]string
	Candidates       map[string]string
	// Excluded replicas lagged too far behind. Commits do not wait for them until the
	// time given, in Unix nanoseconds by the control primary's clock, by name.
	Excluded map[string]int64
	// Promoting names the replica that is being promoted, if any.
	Promoting string
	// HighWatermark is the furthest position reported as confirmed.
	HighWatermark Position
	// TermStart is where the term began, and PreviousTerm the one that it continues.
	TermStart    Position
	PreviousTerm uint64
	// Reason says, for operators, what is being waited for.
	Reason string
	// LastTransitionAt is when the phase began or, if later, the last promote call was
	// decided on, in Unix nanoseconds by the control primary's clock.
	LastTransitionAt int64
	// PromoteCalls counts the promote calls decided on for the replica in Promoting.
	PromoteCalls int

	// SyncReplication says that the instances decide themselves when a commit is safe.
	// The fields below are set for such databases only.
	SyncReplication bool
	// MinPosition covers, while the term is closed, every commit ever confirmed to a
	// client.
	MinPosition Position
	// Promoter is the control node that makes the promote call, and FencingToken rises
	// with every selected replica and every change of the promoter.
	Promoter     string
	FencingToken uint64
}

// CloneWriterRole copies a writer role with its maps.
func CloneWriterRole(role WriterRole) WriterRole {
	role.RequiredReplicas = maps.Clone(role.RequiredReplicas)
	role.Candidates = maps.Clone(role.Candidates)
	role.Excluded = maps.Clone(role.Excluded)
	return role
}
