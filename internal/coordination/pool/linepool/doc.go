// Package linepool is the state machine by which a proxy node carries clients'
// sessions of a line protocol to the database instances. It multiplexes many
// client sessions over few connections: a client holds a connection only while
// one of its statements runs or one of its transactions is open.
//
// The machine keeps, for each client, the session state that follows it from
// connection to connection (variables, prepared statements, positions of its
// own commits); for each database, the queues in which statements wait; for
// each instance, its window of statements in flight, its connections and its
// health. It routes strict statements to the primary, under the node's lease
// only, and bounded reads to any instance that is fresh enough. A commit is
// confirmed to the client only while the lease holds and the primary's term is
// the one in which it ran.
//
// A session passes through these events: Accept adds it, Connect names its
// binding, Query takes its statements, and ClientLost or Terminate ends it. A
// statement is bound to the binding in force (submit, bind), queued (enqueue),
// sent to an instance (dispatch, forward) and answered as messages come in by
// Received. ConnLost takes the end of a connection to an instance, ApplyUpdate
// the control primary's updates, and Tick, called every few tens of
// milliseconds, ends what has timed out.
//
// Invariants, which the tests check after each event (invariantViolation): a
// client waits for at most one statement, which is in exactly one of the lists of
// its database or awaits a lease; an instance's window counts exactly the attempts
// on its open connections; a connection with an open transaction is its owner's
// alone. A statement that may commit something is not sent again once it may have
// run: if its connection ends, its outcome is unknown.
//
// The machine does no I/O and has no clock. Each exported method of Machine
// is one event, which brings the current time; Effects returns what the events
// caused, to be carried out in order. Times are offsets on the node's monotonic
// clock. The machine must not be used concurrently.
package linepool
