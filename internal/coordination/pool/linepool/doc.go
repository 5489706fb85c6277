// Package linepool implements the state machine with which a proxy node pools
// the sessions of line-protocol clients. It multiplexes many client sessions
// over a few connections to the database instances: a client holds a connection
// only while one of its statements runs or one of its transactions is open.
//
// The machine keeps state per client, database and instance:
//   - For each client, it keeps the session state that every connection must
//     have before it serves the client (variables, prepared statements) and the
//     positions of the client's own commits.
//   - For each database, it keeps the queues of waiting statements.
//   - For each instance, it keeps the window of statements in flight, the
//     connections and the health.
//
// Writes, transactions that may write, and reads whose binding has a freshness
// of 0 are strict: they are routed to the primary. Other reads are bounded: they
// are routed to any instance that is fresh enough. Without the node's lease no
// queued statement is sent, except those of read-only transactions that have
// begun. A commit is confirmed to the client only while the lease holds and the
// primary's term is the one in which the commit ran.
//
// Accept adds a session, Connect names its binding, Query submits its
// statements, and ClientLost or Terminate ends it. A statement gets the binding
// in force (submit, bind), is queued (enqueue), is sent to an instance (dispatch,
// forward) and is answered when Received has handled the instance's messages.
// ConnLost handles the end of a connection to an instance. ApplyUpdate applies
// the control primary's updates. Tick, which is called every few tens of
// milliseconds, ends requests, transactions and connections that have timed out.
//
// The tests check these invariants after each event (invariantViolation):
//   - A client waits for at most one statement. The statement is in exactly one
//     of the lists of its database, or waits for a lease.
//   - The window of an instance counts exactly the attempts on its open
//     connections.
//   - A connection with an open transaction is used only by its owner.
//
// An answer of an instance names no statement, and may be sent again. Received accepts it
// only if it is proven to be the first one of its kind on its connection.
//
// A statement that may commit something is not sent again once it may have run:
// if its connection ends, its outcome is unknown.
//
// The machine does no I/O and has no clock. Each event is a call of an exported
// method of Machine, with the current time as an argument. Effects returns the
// actions that the events caused, which must be carried out in order. Times are
// offsets on the node's monotonic clock. The machine must not be used
// concurrently.
package linepool
