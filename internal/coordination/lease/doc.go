// Package lease bounds how long a node may serve by the configuration that it has. The
// control primary grants leases (Grantor), and each node keeps its own (Lease).
//
// A lease lets the primary know when a change is safe: once every node that may hold a
// lease has acknowledged it. A grantor therefore never believes a lease to end before
// the node does. Its lease counts from when it answers, the node's from when the
// request was sent, and the node gives up a part for clocks that run apart.
//
// The same answers tell the node the primary's Unix time, by which binding sets take
// effect. A node that knows this time too badly does not accept a lease.
//
// Times are monotonic times of the process, unless they are named as the primary's.
package lease
