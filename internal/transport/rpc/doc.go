// Package rpc carries messages and calls between the processes of a cluster over
// TCP.
//
// Each process has one Hub, which accepts connections and dials the connections that
// it needs. A connection carries frames. A frame is a header with magic bytes, version,
// size and checksum, followed by an Envelope in gob encoding. The frames of one
// direction of a connection form one gob stream, so that the description of a type is
// sent only once. Large messages to many nodes are gob streams of their own, so that a
// connection keeps no buffer of their size (bulk.go). A frame that violates the format closes its connection. Messages of
// unknown types, which a newer version may send, are skipped.
//
// Hub.Send sends a message without waiting. Hub.Call waits for the reply of the remote
// Handler. The body must be of a type that package message registers. Handlers run on
// a fixed number of workers that take messages from a bounded inbox. Messages that
// arrive while the inbox is full are dropped and counted (counters.go). Messages that
// are sent while a connection is being opened and its backlog is full are dropped.
//
// This package never sends a message twice. A message on a connection that breaks is
// lost, and a call that receives no reply fails. Callers repeat calls where that is
// safe.
package rpc
