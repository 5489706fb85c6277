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
// The machine is pure: Step depends on its arguments only.
package asyncrepl
