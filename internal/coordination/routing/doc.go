// Package routing is the state machine by which a node of the data plane knows where it
// may send reads and writes: its lease, the snapshot of the configuration that it has
// applied and, of each instance, role, position and last contact. From these it decides
// which binding set is active, which instance may answer a read, and whether a commit
// is durable.
//
// A node keeps one Machine. It sends UpdateRequest, or DeltaUpdateRequest where it
// observes the instances itself, to the control primary, and passes the answer to
// ApplyUpdate. It passes what instances announce to HandleAnnouncement and what they
// answer to HandlePosition. Before each statement it asks MayWrite or MayRead, and
// CommitVerdict before it answers a commit.
//
// Invariants: without a lease nothing may be written and no commit is decided; the
// active binding set never goes back to an earlier sequence; a position goes back only
// with a new incarnation of its instance, or if the instance itself answers an earlier
// one.
//
// The machine is pure and must not be used concurrently. All times are durations on the
// node's monotonic clock, with an arbitrary origin; the time of the control primary,
// by which sets take effect, is converted with the lease.
package routing
