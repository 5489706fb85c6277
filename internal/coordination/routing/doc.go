// Package routing is the state machine by which a node of the data plane knows where it
// may send reads and writes: its lease, the snapshot of the configuration that it has
// applied and, of each instance, role, position and last contact. From these it decides
// which binding set is active, which instance may answer a read, and whether a commit
// is durable.
//
// The machine is pure: times named now are monotonic times since the process started.
package routing
