// Package membership finds the nodes of the fleet and detects those that have
// failed, by gossip.
//
// A node starts with the addresses of its seeds. Heartbeats are exchanged only
// between a node and its few watchers, which rendezvous hashing assigns, so
// that the traffic of a node does not grow with the size of the fleet. A watcher
// subscribes to the heartbeats of the nodes that it watches and renews the
// subscription at intervals. Recent changes are attached to these messages.
//
// Changes that gossip has missed are repaired by anti-entropy: each message
// carries a digest of its sender's entries. Two nodes whose digests differ
// compare digests of ranges of node names and exchange the entries of the ranges
// that differ. The newer entry wins.
//
// A node is declared dead once it has been silent for the suspicion timeout and
// more than one watcher suspects it. A heartbeat newer than a suspicion refutes
// the suspicion.
//
// The package reads no clock and does no I/O. The caller passes
// events and the current time to Machine.Step and carries out the effects that
// it returns.
package membership
