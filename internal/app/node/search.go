package node

import "tansyseam/internal/state/model"

// searchInterval is at which miss in turn another control node is asked instead
// of the one that is thought primary.
const searchInterval = 3

// PrimarySearch is the state of one node's search for the control primary.
type PrimarySearch struct {
	// Misses counts the requests since the last that the primary answered, and
	// Unanswered those since the last that any node answered.
	Misses     int
	Unanswered int
}

// target returns the RPC address for the next request: two of three times that
// of the primary, if it is known, and else that of the control nodes in turn.
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
