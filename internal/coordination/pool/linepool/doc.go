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
// The machine does no I/O and has no clock. Each exported method of Machine
// is one event, which brings the current time; Effects returns what the events
// caused, to be carried out in order.
package linepool
