// Package node implements what both programs have in common: the membership of a
// process in the cluster, its RPC hub, its HTTP server, and the table of the
// database instances that announced themselves to it.
//
// A program creates a Node with New, registers its handlers for calls and
// messages, and then calls Start. Lock order: the caller's own mutex before the
// mutex of Node.
package node
