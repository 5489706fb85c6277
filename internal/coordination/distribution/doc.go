// Package distribution is the control primary's state machine towards the data plane.
// It answers the nodes' requests for configuration with updates and leases, registers
// the nodes that may hold a lease, keeps the list of instances, collects the nodes'
// reports as evidence for a change of a database's primary, and brings binding sets
// into effect.
//
// The machine is pure: it has no clock, no connections and no disk of its own. Times
// named now are monotonic times since the process started; wallNanos is the
// Unix time in nanoseconds by the clock of the machine it runs on. What it wants written
// to the control state it returns as a Write.
//
// The caller passes in each epoch record (EpochChanged) and each state that is safe to
// publish (Publish), the nodes' requests (HandleRequest) and their reports beside them
// (HandleReport), and the instances that it observes itself (UpdateInstances). After a
// request or a publication, and at a tick, it sends the replies that Flush returns.
// While it is primary it also carries out the writes that RegisterNodes, NextActivation and
// NextCollection return; what a write is about is not due again until its Done has been
// called. A failover asks for evidence (SyncFailoverEvidence, AsyncFailoverEvidence) and
// has its decision written by the puts of WriterRolePuts.
//
// Three invariants hold. Only a registered node gets a lease, so that the next primary
// knows who may hold one. A lease is granted only together with the newest snapshot. A
// set that replaces another takes effect once each lease that was granted without its
// effective time has ended, or once a node has activated it.
//
// All that the machine knows beside the control state belongs to one tenure, which is
// the span from when this control node becomes primary until another does. A new
// tenure starts with no knowledge, except that every registered node may still hold a
// lease of the tenure before.
package distribution
