// Package model holds the types that the programs share: the cluster's nodes, the
// databases' instances and writer roles, and the binding sets that an operator
// configures.
//
// A Snapshot is what the control plane distributes. The control state that it is read
// from is a store.Table, whose keys keys.go lists.
//
// Times of type int64 are Unix times in nanoseconds by the control primary's clock.
// Types that are stored or sent have an encoded form, see package encoded.
package model
