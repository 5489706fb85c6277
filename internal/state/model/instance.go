package model

// Roles of an instance, as it announces itself.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// Instance is a database server as it announces itself.
type Instance struct {
	Name     string `json:"instance"`
	Database string `json:"database"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	// Role is RolePrimary or RoleReplica.
	Role string `json:"role"`
	// Incarnation identifies the data of the instance: one that restarts without its
	// data has another.
	Incarnation string   `json:"birth"`
	Position    Position `json:"position"`
	// Term is the newest that the instance knows.
	Term uint64 `json:"term"`
	// Leaving says that the instance is draining before it stops.
	Leaving bool `json:"leaving"`
	// Connections is how many connections it accepts, and Slots how many operations
	// it executes at a time.
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
	// SyncReplication says that the instance confirms a commit only once a replica has
	// received it, and speaks a line protocol (package lineproto).
	SyncReplication bool `json:"synced,omitempty"`
	// Stopped says that the instance has shut down gracefully.
	Stopped bool `json:"gone,omitempty"`
	// AnnouncementNumber rises with every announcement of an instance that numbers
	// them, so that a delayed one is recognized; 0 if it does not.
	AnnouncementNumber uint64 `json:"calls,omitempty"`
}

// ConflictsWith says whether an announcement contradicts an earlier one under the same
// name: an instance never changes its database.
func (i Instance) ConflictsWith(previous Instance) bool {
	return previous.Name == i.Name && previous.Database != i.Database
}
