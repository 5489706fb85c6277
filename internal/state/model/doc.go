// Package model holds the types that the programs share: the cluster's nodes, the
// databases' instances and writer roles, and the binding sets that an operator
// configures.
//
// The control plane distributes a Snapshot to the nodes. A Snapshot is read from the
// control state, which is a store.Table; keys.go lists its keys.
//
// Times of type int64 are Unix times in nanoseconds by the control primary's clock,
// unless the field's comment names another clock. Types that are stored or sent have an
// encoded form (see package encoded).
package model
