// Package shell answers operators' queries on the state of the cluster. It asks
// one node over HTTP, learns the other nodes from it, and asks those that a
// query is about. What could not be asked is reported with the answer.
package shell
