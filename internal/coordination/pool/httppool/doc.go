// Package httppool is the connection pool of proxies whose clients use the
// product's own HTTP API. It multiplexes the sessions of many clients over a
// bounded number of connections to database instances.
//
// A request passes through these events, in this order:
//
//   - Accept admits the request to its session.
//   - Bind resolves the request's binding and looks for an earlier attempt with the
//     same request id.
//   - Enqueue puts the request in a queue of its database. From there it is assigned
//     to an instance whose window and connections have room.
//   - Forward sends the request to the instance.
//   - ReplyReceived handles the instance's reply.
//
// A commit is reported as committed only when it is known to be safe on the
// replicas. Cancel ends a request in any of these phases.
//
// Invariants: a request is answered once (Respond), and a session has at most one
// unanswered request. A request id whose outcome is recorded is not sent again. An
// assigned request holds one slot of its instance's window until it is queued again,
// the instance answers, the connection ends or, if the request was abandoned,
// AbandonedTimeout has passed. A connection that holds state of a session is pinned
// to that session and used by no other.
//
// The machine is pure: it does no I/O and has no clock. Each method is one event.
// Effects returns the effects that the events caused, which must be carried out in
// order. Times are offsets on the node's monotonic clock. Tick is called every few
// tens of milliseconds. The machine must not be used concurrently.
package httppool
