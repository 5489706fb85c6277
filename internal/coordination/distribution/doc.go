// Package distribution implements the state machine by which the control primary serves
// the data plane. The machine answers the nodes' requests for configuration with updates
// and leases, registers the nodes that may hold a lease, and maintains the list of
// instances. It collects the nodes' reports as evidence for a change of a database's
// primary, and it activates binding sets.
//
// The machine is pure: it has no clock, connections or disk of its own. A parameter named
// now is a monotonic time since the process started. A parameter named wallNanos is the
// Unix time in nanoseconds by the clock of the host. Changes of the control state are
// returned as a Write.
//
// The caller passes in:
//   - each epoch record (EpochChanged);
//   - each committed control state, which contains no write that the backup may lack
//     (Publish);
//   - the nodes' requests (HandleRequest);
//   - the reports that nodes send while a request is pending (HandleReport);
//   - the instances that the control node itself observes (UpdateInstances).
//
// After each request, publication and tick the caller sends the replies that Flush
// returns. While the control node is primary, the caller also carries out the writes that
// RegisterNodes, NextActivation, NextCollection and NextDepartures return. A write is not
// due again until its Done, or FinishDepartures, has been called. An announcement for which
// RequiresDeparture is true is acknowledged once AddDeparture has replied. A failover gathers evidence with SyncFailoverEvidence or
// AsyncFailoverEvidence, and its decision is written by the puts of WriterRolePuts.
//
// Three invariants hold:
//   - Only a registered node gets a lease, so that the next primary can tell from the
//     control state which nodes may hold one.
//   - A lease is granted only to a node that has applied the newest snapshot, or together
//     with that snapshot.
//   - A set that replaces another takes effect only once every lease that was granted
//     without its effective time has ended, or once a node has activated the set.
//
// All state of the machine other than the control state belongs to one tenure. A tenure is
// the period from when this control node becomes primary until another node does. A new
// tenure starts with empty state, except that it assumes that every registered node may
// still hold a lease of the previous tenure.
package distribution
