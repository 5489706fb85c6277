// Package routing is the state machine with which a data-plane node decides where it may
// send reads and writes. Its state is the node's lease, the configuration snapshot that
// the node has applied, and the role, position and last contact of each instance. From
// these the machine decides which binding set is active, which instance may answer a
// read, and whether a commit is durable.
//
// Each node has one Machine. The node sends the control primary an UpdateRequest, which
// reports the machine's observations of the instances, or a DeltaUpdateRequest, which
// reports the caller's own observations. It passes the answer to ApplyUpdate. It passes
// the announcements of instances to HandleAnnouncement, and their answers to
// HandlePosition. It calls MayWrite or MayRead before each statement, and CommitVerdict
// before it answers a commit.
//
// The machine keeps these invariants:
//
//   - Without a lease nothing may be written and no commit is decided.
//   - The active binding set never goes back to an earlier sequence.
//   - The position of an instance goes back only with a new incarnation of the instance,
//     or if the instance itself answers with an earlier position.
//
// The machine is pure and must not be used concurrently. All times are durations on the
// node's monotonic clock, with an arbitrary origin. Binding sets take effect by the time
// of the control primary, which is converted to the node's clock with the lease.
package routing
