// Package syncrepl is the failover state machine of a database with synchronous
// replication, whose instances decide by themselves when a commit is safe.
//
// The control server that leads the singleton role of these databases moves the
// writer role through these phases, each recorded before the next begins:
//
//   - open: proxies write to the primary. The machine keeps the set of replicas
//     that may hold commits, and closes a proxy's reporting gaps with the
//     primary's own position.
//   - closing: the primary is suspected. Once no proxy with a lease uses it any
//     more, the replicas are probed for their positions, and one is chosen that
//     is proven to hold all acknowledged commits.
//   - promoting: the choice is recorded and the promote call is made, with a
//     fencing token. Its outcome is learned by probing the instances.
//
// It keeps these invariants. An instance is called only if it is proven to hold every
// acknowledged commit. No second instance is called while a call for the first may
// still take effect. The fencing token rises with each choice of a replica and each
// change of the control server that makes the call.
//
// Step is a pure function of the evidence, with the same units as in asyncrepl. An
// Observer keeps what one control server itself learned from probes and calls, and adds
// it to the evidence that the control primary provides.
package syncrepl
