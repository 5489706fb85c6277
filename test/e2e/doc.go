// Package e2e runs a whole fleet as real processes on loopback addresses: the
// proxies and control processes of the product, among the stand-ins of package
// standin. A scenario injects faults under load; afterwards the history of all
// callers and instances is checked by package history.
//
// The package signals only processes that it started.
package e2e
