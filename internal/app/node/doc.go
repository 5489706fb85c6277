// Package node is the part that both programs share: a process's membership in
// the fleet, its RPC hub, its HTTP server, and the table of the database
// instances that announced themselves to it.
//
// A program makes a Node with New, registers its handlers of calls and messages,
// and then starts it. Lock order: a caller's own lock before that of Node.
package node
