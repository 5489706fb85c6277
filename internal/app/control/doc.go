// Package control implements the control plane server. A Server runs one control
// node: it drives the consensus state machine and writes its files, distributes
// the configuration and leases to the proxies, serves operators' calls, and takes
// part in the elections of the singleton roles. The leader of a singleton role
// decides on failovers.
//
// The state machines that make the decisions do no I/O: this package passes them
// events and executes the effects that they return. Only one loop steps the
// consensus machine. All other state is guarded by Server.mutex. Lock order:
// Server.mutex before the mutex of the node.
package control
