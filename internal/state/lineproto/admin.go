package lineproto

import "tansyseam/internal/state/model"

// Commands with which the control plane requests an instance's status or changes
// its role.
const (
	// AdminStatus requests the status.
	AdminStatus = "status"
	// AdminPause stops a replica from receiving the log until AdminResume, its
	// promotion or its restart. The term of the command must be above the term in
	// the instance's status.
	AdminPause  = "pause"
	AdminResume = "resume"
	// AdminStepDown makes an instance a replica if it is the primary of a term
	// before the given term.
	AdminStepDown = "step down"
)

// Status is an instance's answer to an admin command.
type Status struct {
	// Role is model.RolePrimary or model.RoleReplica.
	Role string
	// Term is the term of the primary that the instance follows, or its own term
	// if it is the primary.
	Term uint64
	// Position is the position up to which the instance has received the log.
	Position model.Position
	// HeldTerm is the term of the pause that stops the instance from receiving
	// the log, or 0 if it is not paused.
	HeldTerm uint64
	// Lag is the instance's delay behind the primary, in milliseconds.
	Lag int
	// BusyConnections is the number of connections that run a statement, and
	// Connections is the number of all connections.
	BusyConnections int
	Connections     int
}
