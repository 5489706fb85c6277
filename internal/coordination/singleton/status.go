package singleton

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// RoleStatus is the state of a role as it is shown to operators.
type RoleStatus struct {
	Role string `json:"duty"`
	// Database is the database of the role. For the role of all databases with
	// synchronous replication, it is the name of the role.
	Database string `json:"database"`
	// Leading is true if this control server leads the role.
	Leading bool `json:"is_held"`
	// Leader is the leader that a voter named in its last refused vote, if any.
	Leader string `json:"seen_held_by"`
}

// Roles returns the roles for which this control server has a candidate, sorted by name.
func (m *Machine) Roles(now time.Duration) []RoleStatus {
	list := []RoleStatus{}
	for _, role := range slices.Sorted(maps.Keys(m.candidates)) {
		candidate := m.candidates[role]
		list = append(list, RoleStatus{
			Role:     role,
			Database: strings.TrimPrefix(role, asyncRolePrefix),
			Leading:  candidate.IsLeader(now),
			Leader:   candidate.Leader(),
		})
	}
	return list
}
