// Package asyncrepl is the failover state machine of a database with
// asynchronous replication, whose proxies wait for the replicas of a commit.
//
// The control server that leads the database's singleton role moves the writer
// role through these phases, each recorded before the next begins:
//
//   - open: proxies write to the primary. The machine keeps the sets of replicas
//     that commits wait for, and of replicas that may be promoted.
//   - closing: the primary is suspected. Proxies stop writing.
//   - closed: no proxy with a lease writes any more. A candidate that holds all
//     confirmed commits is chosen.
//   - promoting: the choice is recorded and the promote call is made. Its
//     outcome is learned from what the instance announces, not from the answer.
//
// It keeps these invariants. A replica is called only if it holds all confirmed commits:
// commits wait for it before it becomes a candidate, and until it is none any more, and
// its position has reached the high watermark. No second instance is called while the
// outcome of a call is unknown. No term is opened by two instances: the term of a call
// that was given up is passed over.
//
// The machine is pure: Step depends on its arguments only. Positions and lags count log
// entries, ages count back from the moment of the evidence, and wall times are Unix
// times in nanoseconds.
package asyncrepl
