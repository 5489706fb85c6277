// Package syncrepl is the failover state machine of a database with synchronous
// replication, whose instances decide by themselves when a commit is safe.
//
// The control server that holds the singleton role of these databases moves the writer
// role through these phases and records each phase before the next begins:
//
//   - open: proxies write to the primary. The machine maintains the set of replicas
//     that may hold commits. If the proxies' reports of commits are incomplete, it
//     covers the gap with the primary's own position.
//   - closing: the primary is leaving or is suspected to have failed or lost its role.
//     Once no proxy with a lease uses it any more, the machine probes the replicas for
//     their positions and chooses one that is proven to hold all acknowledged commits.
//   - promoting: the choice is recorded and the promote call is made, with a fencing
//     token. The machine determines the outcome by probing the instances.
//
// The machine keeps these invariants:
//
//   - A promote call is made only for an instance that is proven to hold every
//     acknowledged commit.
//   - No second instance is called while a call for the first may still take effect.
//   - The fencing token rises with each choice of a replica and each change of the
//     control server that makes the call.
//
// Step is a pure function of the evidence. Its units are those of package asyncrepl. An
// Observer stores the results of the probes and promote calls of one control server,
// and adds them to the evidence that the control primary provides.
package syncrepl
