package model

// Roles that an instance announces.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// Instance is a database server as described by its own announcement.
type Instance struct {
	Name     string `json:"instance"`
	Database string `json:"database"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	// Role is RolePrimary or RoleReplica.
	Role string `json:"role"`
	// Incarnation identifies the data of the instance. An instance that restarts without
	// its data has a new incarnation.
	Incarnation string   `json:"birth"`
	Position    Position `json:"position"`
	// Term is the newest term that the instance has observed.
	Term uint64 `json:"term"`
	// Leaving is true if the instance is draining before it stops.
	Leaving bool `json:"leaving"`
	// Connections is the number of connections that the instance accepts, and Slots is
	// the number of operations that it executes at a time.
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
	// SyncReplication is true if the instance confirms a commit only once a replica has
	// received it. Such an instance uses a line protocol (package lineproto).
	SyncReplication bool `json:"synced,omitempty"`
	// Stopped is true if the instance has shut down gracefully.
	Stopped bool `json:"gone,omitempty"`
	// AnnouncementNumber increases with every announcement, so that a delayed announcement
	// can be detected. It is 0 if the instance does not number its announcements.
	AnnouncementNumber uint64 `json:"calls,omitempty"`
}

// ConflictsWith reports whether an announcement contradicts a previous announcement with
// the same name. It does if the databases differ, since an instance never changes its
// database.
func (i Instance) ConflictsWith(previous Instance) bool {
	return previous.Name == i.Name && previous.Database != i.Database
}
