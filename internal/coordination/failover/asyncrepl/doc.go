// Package asyncrepl is the failover state machine of a database with asynchronous
// replication. The proxies of such a database confirm a commit only once the required
// replicas have it.
//
// The control server that holds the database's singleton role moves the writer role
// through these phases and records each phase before the next begins:
//
//   - open: proxies write to the primary. The machine maintains the set of replicas
//     that commits wait for, and the set of replicas that may be promoted (the
//     candidates).
//   - closing: the primary is leaving or is suspected to have failed, lost its data or
//     lost its role. Proxies stop writing.
//   - closed: no proxy with a lease writes any more. The machine chooses a candidate
//     that holds all confirmed commits.
//   - promoting: the choice is recorded and the promote call is made. The machine
//     derives the outcome from the nodes' observations of the instance, not from the
//     answer to the call.
//
// The machine keeps these invariants:
//
//   - A promote call is made only for a replica that holds all confirmed commits. For
//     this, commits wait for a replica before it becomes a candidate and as long as it
//     is one, and the position of the replica must have reached the high watermark.
//   - No second instance is called while the outcome of a call is unknown.
//   - No term is opened by two instances: the term of an abandoned call is skipped.
//
// The machine is pure: the result of Step depends only on its arguments. Positions and
// lags are counted in log entries, ages are relative to the time at which the evidence
// was collected, and wall times are Unix times in nanoseconds.
package asyncrepl
