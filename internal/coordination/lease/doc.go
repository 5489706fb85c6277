// Package lease bounds how long a node may serve with the configuration that it has.
// The control primary grants leases (Grantor), and each node holds its own (Lease).
//
// Leases let the primary determine when a change is safe: once every node that may hold
// a lease has acknowledged the change. A grantor must therefore never consider a lease
// expired before the node does. The grantor counts the lease from when it answers, and
// the node counts it from when it sent the request. The node also gives up a part of
// the lease, because the two clocks may run at different rates.
//
// The primary's answers also carry its Unix time, which determines when binding sets
// take effect. A node does not accept a lease if its estimate of this time is not
// accurate enough.
//
// All times are monotonic times of the process, except those that are named as the
// primary's time.
package lease
