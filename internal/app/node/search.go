package node

import "tansyseam/internal/state/model"

// searchInterval is the period, in requests, of the search: every third request in
// a row without an answer from the primary is sent to one of the control nodes in
// turn instead of to the supposed primary.
const searchInterval = 3

// PrimarySearch is the state of one node's search for the control primary.
type PrimarySearch struct {
	// Misses is the number of requests since the primary last answered one.
	// Unanswered is the number of requests since any node last answered one.
	Misses     int
	Unanswered int
}

// target returns the RPC address for the next request. If the primary is known, two
// of three requests go to the primary, and the third goes to one of the control
// nodes in turn. Otherwise every request goes to one of the control nodes in turn.
func (s PrimarySearch) target(primary string, nodes []model.Node) string {
	if len(nodes) == 0 || (primary != "" && s.Misses%searchInterval != searchInterval-1) {
		return primary
	}
	turn := s.Misses
	if primary != "" {
		turn /= searchInterval
	}
	return nodes[turn%len(nodes)].RPCAddress
}
