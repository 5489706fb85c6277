// Package encoded holds the shared types in the form in which they are stored on
// disk and sent between processes.
//
// encoding/gob matches the fields of a struct by name, and leaves a field that the
// other side does not know at zero without an error. The names here are therefore
// those of the first release and must never change: a new build reads the files of
// an old one, and both share a fleet while a new version is rolled out. Packages
// store and model convert between these types and their own.
package encoded

import "time"

// Stamp orders versions of the control state.
type Stamp struct {
	Epoch    uint64
	Sequence uint64
}

// Instance is what an instance announces.
type Instance struct {
	Name        string
	Database    string
	Address     string
	Zone        string
	Role        string
	Birth       string
	Position    Position
	Term        uint64
	IsLeaving   bool
	Connections int
	Slots       int
	IsSynced    bool
	IsGone      bool
	Calls       uint64
}

// Position is a position in a database's log.
type Position struct {
	Term  uint64
	Index uint64
}

// Doc is a snapshot of the configuration.
type Doc struct {
	Stamp   Stamp
	Sets    []Set
	Writers map[string]Writer
	Since   Stamp
	First   uint64
}

// Set is one version of the bindings.
type Set struct {
	Sequence  uint64
	Bindings  []Binding
	Moment    int64
	Due       int64
	Taken     int64
	By        string
	Source    string
	Version   uint64
	Databases []Database
	Limits    Limits
}

// Binding pairs a service with a database.
type Binding struct {
	Name      string
	Database  string
	Freshness time.Duration
	IsOwn     bool
	Timeout   time.Duration
	Target    time.Duration
	Priority  int
	Tries     int
}

// Database is what a configuration says of a database.
type Database struct {
	Name        string
	Connections int
	Synced      int
}

// Limits are the limits that a configuration sets.
type Limits struct {
	Message int
	Idle    time.Duration
	Inside  time.Duration
}

// Writer is the state of one database's writer role.
type Writer struct {
	Database   string
	Term       uint64
	Primary    string
	Birth      string
	Phase      string
	Required   map[string]string
	Candidates map[string]string
	Shunned    map[string]int64
	Intent     string
	High       Position
	Base       Position
	Before     uint64
	Why        string
	Since      int64
	Calls      int
	IsSynced   bool
	Floor      Position
	Holder     string
	Fence      uint64
}

// Node is one process of the fleet.
type Node struct {
	Name    string
	Kind    string
	Zone    string
	Link    string
	Door    string
	Birth   int64
	Version int
	Weight  float64
	Beat    uint64
	Left    bool
}

// Put is one change of a write.
type Put struct {
	Key    string
	Data   []byte
	IsGone bool
}

// Record is one value of the control state.
type Record struct {
	Stamp Stamp
	Data  []byte
}

// Table is a replica of the control state.
type Table struct {
	Stamp   Stamp
	Records map[string]Record
}

// Booking is a scheduled change.
type Booking struct {
	ID       string
	At       int64
	Bindings []Binding
	Order    uint64
}

// Entry is an entry of the audit log.
type Entry struct {
	Order    uint64
	At       int64
	Subject  string
	What     string
	Evidence string
}

// Slice converts each element of a list; nil stays nil.
func Slice[From, To any](list []From, convert func(From) To) []To {
	if list == nil {
		return nil
	}
	converted := make([]To, len(list))
	for index, value := range list {
		converted[index] = convert(value)
	}
	return converted
}

// Map converts each value of a map; nil stays nil.
func Map[From, To any](values map[string]From, convert func(From) To) map[string]To {
	if values == nil {
		return nil
	}
	converted := make(map[string]To, len(values))
	for key, value := range values {
		converted[key] = convert(value)
	}
	return converted
}

// Pointer converts what a pointer points to; nil stays nil.
func Pointer[From, To any](value *From, convert func(From) To) *To {
	if value == nil {
		return nil
	}
	converted := convert(*value)
	return &converted
}
