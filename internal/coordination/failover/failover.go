// Package failover contains the parts that the two failover state machines share:
// the effect that records a decision, the transitions that both machines make, and
// the order of log positions.
//
// Package asyncrepl handles databases with asynchronous replication, whose proxies
// wait until the replicas have a commit. Package syncrepl handles databases that
// replicate synchronously by themselves. Both machines are pure: a step maps
// evidence to effects, and the caller executes the effects in order. All state is
// in the recorded writer role, so a step that is repeated after a crash, or by
// another control server (the server process of another control node), continues
// from the last recorded step.
package failover

import "tansyseam/internal/state/model"

// Effect is an action that a step of a failover machine requests: a Record, or one of
// the effects of the machine's package. Effects are executed in order, and the effects
// after a Record only once the Record is committed.
type Effect any

// Record is the effect of replacing a database's writer role.
type Record struct {
	Writer model.WriterRole
	// Change and Reason go to the audit log. Change names the change, and Reason is
	// the cause of it.
	Change string
	Reason string
}

// RecordReason returns the effect that records why a database cannot make progress, or
// no effect if that reason is recorded already.
func RecordReason(writer model.WriterRole, reason string) []Effect {
	if writer.Reason == reason {
		return nil
	}
	next := model.CloneWriterRole(writer)
	next.Reason = reason
	return []Effect{Record{Writer: next, Change: "waiting", Reason: reason}}
}

// ClearReason returns the effect that removes the recorded reason, or no effect if no
// reason is recorded.
func ClearReason(writer model.WriterRole) []Effect {
	if writer.Reason == "" {
		return nil
	}
	next := model.CloneWriterRole(writer)
	next.Reason = ""
	return []Effect{Record{Writer: next, Change: "no longer waiting", Reason: writer.Reason}}
}

// CloseTerm returns the effect that starts to close the current term. The time of the
// transition, wallNanos, is in nanoseconds since the Unix epoch.
func CloseTerm(writer model.WriterRole, wallNanos int64, reason string) Record {
	next := model.CloneWriterRole(writer)
	next.Phase = model.PhaseClosing
	next.LastTransitionAt = wallNanos
	next.Reason = reason
	return Record{Writer: next, Change: "term closing", Reason: reason}
}

// ReopenTerm returns the effect that reopens the current term under its old primary.
// The time of the transition, wallNanos, is in nanoseconds since the Unix epoch.
func ReopenTerm(writer model.WriterRole, wallNanos int64, reason string) Record {
	next := model.CloneWriterRole(writer)
	next.Phase = model.PhaseOpen
	next.LastTransitionAt = wallNanos
	next.Reason = ""
	return Record{Writer: next, Change: "term opened again", Reason: reason}
}

// ComparePositions compares log positions. It returns a negative number if a is before
// b, a positive number if b is before a, and zero if they are equal.
func ComparePositions(a, b model.Position) int {
	if a.IsBefore(b) {
		return -1
	}
	if b.IsBefore(a) {
		return 1
	}
	return 0
}
