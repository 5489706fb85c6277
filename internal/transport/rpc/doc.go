// Package rpc carries messages and calls between the fleet's own processes over
// TCP.
//
// Each process has one Hub, which accepts connections and dials those that it
// needs. A connection carries frames: a header with magic bytes, version, size
// and checksum, and an Envelope in gob encoding. All frames of one direction of a
// connection form one gob stream, so that the description of a type is sent once.
// Frames that violate the format close their connection; messages of unknown
// types, which a newer version may send, are skipped.
//
// Hub.Send sends a message without waiting; Hub.Call waits for the reply of the remote
// Handler. The body must be of a kind that package message registers. Handlers run on
// a fixed number of workers behind a bounded inbox. Messages that arrive while it is
// full, or are sent while a connection is being opened and its backlog is full, are
// dropped and counted (counters.go).
//
// Nothing is sent twice by this package. A message on a connection that breaks is
// lost, and a call whose answer does not come fails; callers repeat what they may.
package rpc
