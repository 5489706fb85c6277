// Package control is the control plane's program. A Server runs one control
// node: it drives the consensus machine and writes its files, distributes the
// configuration and leases to the proxies, takes operators' calls, and takes
// part in the elections of the singleton roles under which failovers are
// decided.
//
// The machines that decide are pure; this package gives them events and carries
// out their effects. The consensus machine is stepped by one loop only. All
// other state is guarded by Server.mutex. Lock order: Server.mutex, then the
// node's.
package control
