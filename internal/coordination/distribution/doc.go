// Package distribution is the control primary's state machine towards the data plane.
// It answers the nodes' requests for configuration with updates and leases, registers
// the nodes that may hold a lease, keeps the list of instances, collects the nodes'
// reports as evidence for a change of a database's primary, and brings binding sets
// into effect.
//
// The machine is pure: it has no clock, no connections and no disk of its own. Times
// named now are monotonic times since the process started; wallNanos is the
// Unix time in nanoseconds by the clock of the machine it runs on. What it wants written
// to the control state it returns as a Write.
//
// All that the machine knows beside the control state belongs to one tenure, which is
// the span from when this control node becomes primary until another does. A new
// tenure starts with no knowledge, except that every registered node may still hold a
// lease of the tenure before.
package distribution
