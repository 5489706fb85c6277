// Package shell answers operators' queries on the state of the cluster. It reads the
// list of nodes from one node over HTTP, and then calls the nodes that a query is
// about. Nodes that could not be reached are reported with the answer.
package shell
