// Package dataplane holds the code that the two proxies, httpproxy and lineproxy,
// share in addition to their node: the exchange with the control primary, and the
// log of the proxy's readiness. The shared part of their state machines is in
// package pool.
package dataplane
