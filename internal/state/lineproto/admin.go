package lineproto

import "tansyseam/internal/state/model"

// Commands by which the control plane asks an instance for its status or for a
// change of its role.
const (
	// AdminStatus asks for the status.
	AdminStatus = "status"
	// AdminPause keeps a replica from receiving the log, until AdminResume, its
	// promotion or its restart. Its term must be above the newest.
	AdminPause  = "pause"
	AdminResume = "resume"
	// AdminStepDown turns a primary of a term before the given one into a
	// replica.
	AdminStepDown = "step down"
)

// Status is how an instance answers an admin command.
type Status struct {
	// Role is one of the roles of package model.
	Role string
	// Term is that of the primary which it follows, or is.
	Term uint64
	// Position is what it has received of the log.
	Position model.Position
	// HeldTerm is the term of the pause that keeps it from receiving; 0 for
	// none.
	HeldTerm uint64
	// Lag is its delay behind the primary, in milliseconds.
	Lag int
	// BusyConnections and Connections count those that run a statement, and
	// all.
	BusyConnections int
	Connections     int
}
