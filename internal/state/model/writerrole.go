package model

import "maps"

// Phases of a database's writer role.
const (
	// PhaseOpen means that the primary accepts writes.
	PhaseOpen = "open"
	// PhaseClosing means that nodes are being notified to stop writing.
	PhaseClosing = "closing"
	// PhaseClosed means that no node writes any more, and that a new primary has yet to be
	// selected.
	PhaseClosed = "closed"
	// PhasePromoting means that the selected replica is being promoted.
	PhasePromoting = "intent"
)

// WriterRole is the recorded state of one database's writer role: the instance that may
// write, its term, and the progress of a transfer to another instance.
type WriterRole struct {
	Database string
	// Term increases with every new primary.
	Term uint64
	// Primary is the name of the instance that has the role. During a transfer it is the
	// name of the last instance that had the role.
	Primary string
	// PrimaryIncarnation is the primary's incarnation when the term opened.
	PrimaryIncarnation string
	// Phase is one of the constants PhaseOpen to PhasePromoting.
	Phase string
	// RequiredReplicas are the replicas that must have received a commit before it is
	// confirmed. Candidates are the replicas that may be promoted: every node waits for
	// them, and they hold all commits that were confirmed before that. Both map an
	// instance's name to its incarnation.
	RequiredReplicas map[string]string
	Candidates       map[string]string
	// Excluded holds the replicas for which commits waited too long. It maps a replica's
	// name to the time until which commits do not wait for the replica, in Unix nanoseconds
	// by the control primary's clock.
	Excluded map[string]int64
	// Promoting is the name of the replica that is being promoted, if any.
	Promoting string
	// HighWatermark is the furthest position reported as confirmed.
	HighWatermark Position
	// TermStart is the position at which the term began, and PreviousTerm is the term that
	// it continues.
	TermStart    Position
	PreviousTerm uint64
	// Reason describes to operators the condition on which the transfer waits.
	Reason string
	// LastTransitionAt is when the phase began or, if later, when the last promote call was
	// decided on. It is in Unix nanoseconds by the control primary's clock.
	LastTransitionAt int64
	// PromoteCalls is the number of promote calls decided on for the replica in Promoting.
	PromoteCalls int

	// SyncReplication is true if the instances themselves decide when a commit is safe.
	// The fields below are set for such databases only.
	SyncReplication bool
	// MinPosition is, while the term is closed, a position that covers every commit ever
	// confirmed to a client.
	MinPosition Position
	// Promoter is the control node that makes the promote call. FencingToken increases with
	// every selected replica and every change of the promoter.
	Promoter     string
	FencingToken uint64
}

// CloneWriterRole returns a copy of a writer role, including its maps.
func CloneWriterRole(role WriterRole) WriterRole {
	role.RequiredReplicas = maps.Clone(role.RequiredReplicas)
	role.Candidates = maps.Clone(role.Candidates)
	role.Excluded = maps.Clone(role.Excluded)
	return role
}
