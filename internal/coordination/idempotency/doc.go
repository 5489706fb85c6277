// Package idempotency keeps a write that clients retry from taking effect twice.
//
// Clients name each write by a request id and send a retry under the same id, to
// the same node or to another. A node keeps a record of every request id that it
// has executed; a retry joins the first attempt while that is in flight, and is
// answered from the record afterwards.
//
// A request id is a session id, a dot and a number that rises within the
// session: "node~incarnation~session.number". It so names its owner, the node
// that opened the session, and a node that is sent a retry of another's session
// asks the owner for the status before it executes anything. An owner that has
// never seen the id transfers it to the node that asks and will not execute it
// itself any more. What an owner has forgotten, or had in an earlier
// incarnation, is unknown and never executed again.
//
// A node that shuts down hands its records over to a successor, which then
// answers in its place.
//
// Decide says what to do with a request that a client sent: execute it, let it wait for
// its first attempt, answer it, or ask another node. In the last case the caller sends
// that node a StatusRequest, whose answer HandleStatusRequest gives there, and continues
// with DecideFromPeer. Whoever executed a request reports its end to Complete.
//
// Two invariants hold. A request id is executed by one node at most, and once. A status
// that was proven, committed or not committed, never changes.
//
// The machine is pure: time and events go in, decisions come out. Times named now are
// monotonic; nothing is kept on disk.
package idempotency
