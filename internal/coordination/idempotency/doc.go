// Package idempotency prevents a write that a client retries from taking effect twice.
//
// A client identifies each write by a request id and sends a retry with the same id, to
// the same node or to another one. A node keeps a record of every request id that it has
// executed. While the first attempt is in flight, a retry waits for it; afterwards, the
// retry is answered from the record.
//
// A request id is a session id, a dot and a number that rises within the session:
// "node~incarnation~session.number". The session id identifies the owner, which is the
// node that opened the session. A node that receives a retry of another node's session
// asks the owner for the status before it executes anything. If the owner has never seen
// the id, it transfers the id to the asking node and does not execute it itself any more.
// A request whose record the owner has pruned, or had in an earlier incarnation, has an
// unknown status and is never executed again.
//
// A node that shuts down hands its records over to a successor, which then answers in
// its place.
//
// Decide returns what to do with a request from a client: execute it, let it wait for its
// first attempt, answer it, or ask another node. To ask another node, the caller sends it
// a StatusRequest, which that node answers with HandleStatusRequest, and passes the
// status to DecideFromPeer. The caller that executed a request reports the outcome to
// Complete.
//
// The machine keeps two invariants. A request id is executed at most once, by a single
// node. A status that was proven, committed or not committed, never changes.
//
// The machine is pure: its inputs are times and events, and its outputs are decisions.
// Times named now are monotonic. Nothing is stored on disk.
package idempotency
