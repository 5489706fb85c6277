// Package failover holds what the two failover state machines share: the
// effect that records a decision, the transitions that both make, and the order
// of log positions.
//
// Package asyncrepl decides for databases whose proxies wait for the replicas
// of a commit, package syncrepl for databases that replicate synchronously by
// themselves. Both are pure: a step maps evidence to effects, and the caller
// executes the effects in order. A step that is repeated after a crash, or by
// another control server, continues where the last recorded one ended, since
// all state is in the recorded writer role.
package failover

import "tansyseam/internal/state/model"

// Effect is what a step of a failover machine wants done: a Record, or one of the
// effects of the machine's package. Effects are executed in order, those after a
// Record only once it is committed.
type Effect any

// Record is the effect of replacing a database's writer role.
type Record struct {
	Writer model.WriterRole
	// Change and Reason go to the audit log: what is changed, and why.
	Change string
	Reason string
}

// RecordReason gives the effect of noting why a database cannot make progress,
// or none where that is noted already.
func RecordReason(writer model.WriterRole, reason string) []Effect {
	if writer.Reason == reason {
		return nil
	}
	next := model.CloneWriterRole(writer)
	next.Reason = reason
	return []Effect{Record{Writer: next, Change: "waiting", Reason: reason}}
}

// ClearReason gives the effect of removing the noted reason, or none where
// there is none.
func ClearReason(writer model.WriterRole) []Effect {
	if writer.Reason == "" {
		return nil
	}
	next := model.CloneWriterRole(writer)
	next.Reason = ""
	return []Effect{Record{Writer: next, Change: "well again", Reason: writer.Reason}}
}

// CloseTerm gives the effect of closing the current term at a wall time, in
// nanoseconds since the Unix epoch.
func CloseTerm(writer model.WriterRole, wallNanos int64, reason string) Record {
	next := model.CloneWriterRole(writer)
	next.Phase = model.PhaseClosing
	next.LastTransitionAt = wallNanos
	next.Reason = reason
	return Record{Writer: next, Change: "term closing", Reason: reason}
}

// ReopenTerm gives the effect of opening the current term again under its old
// primary at a wall time, in nanoseconds since the Unix epoch.
func ReopenTerm(writer model.WriterRole, wallNanos int64, reason string) Record {
	next := model.CloneWriterRole(writer)
	next.Phase = model.PhaseOpen
	next.LastTransitionAt = wallNanos
	next.Reason = ""
	return Record{Writer: next, Change: "term opened again", Reason: reason}
}

// ComparePositions orders log positions: negative where a is before b, positive
// where b is before a, and zero where they are equal.
func ComparePositions(a, b model.Position) int {
	if a.IsBefore(b) {
		return -1
	}
	if b.IsBefore(a) {
		return 1
	}
	return 0
}
