// Package dataplane holds what the programs of the two proxies, httpproxy and
// lineproxy, have in common beside their node: the exchange with the control
// primary, and the log of the proxy's readiness. What their state machines have
// in common is in package pool.
package dataplane
