// Package encoded defines the encoded forms of the shared types: the forms that are
// stored on disk and sent between processes.
//
// encoding/gob matches the fields of a struct by name. It ignores a field that the
// receiver does not have, and leaves a field that the sender does not have at zero,
// both without an error. The names in this package are therefore those of the first
// release and must never change: a new build reads the files of an old build, and
// both run in one cluster while a new version is rolled out.
//
// The packages store and model convert between these types and their own types with
// a method Encoded and a function whose name ends in From. The types of those
// packages document the meaning of each field. A new field must be added here and to
// both conversions.
package encoded

import "time"

// Stamp is the encoded form of store.Version.
type Stamp struct {
	Epoch    uint64
	Sequence uint64
}

// Instance is the encoded form of model.Instance.
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

// Departure is the encoded form of model.Departure.
type Departure struct {
	Instance   Instance
	RecordedAt int64
}

// Position is the encoded form of model.Position.
type Position struct {
	Term  uint64
	Index uint64
}

// Doc is the encoded form of model.Snapshot.
type Doc struct {
	Stamp   Stamp
	Sets    []Set
	Writers map[string]Writer
	Since   Stamp
	First   uint64
	Changes []SetChange
	Kept    []uint64
}

// SetChange is the encoded form of model.SetChange.
type SetChange struct {
	Set             Set
	Base            uint64
	Changed         []Binding
	Removed         []string
	Order           []Range
	IsSameDatabases bool
}

// Range is the encoded form of model.Range.
type Range struct {
	Start int
	Count int
}

// Set is the encoded form of model.BindingSet.
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

// Binding is the encoded form of model.Binding.
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

// Database is the encoded form of model.Database.
type Database struct {
	Name        string
	Connections int
	Synced      int
}

// Limits is the encoded form of model.Limits.
type Limits struct {
	Message int
	Idle    time.Duration
	Inside  time.Duration
}

// Writer is the encoded form of model.WriterRole.
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

// Node is the encoded form of model.Node.
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

// Put is the encoded form of store.Put.
type Put struct {
	Key    string
	Data   []byte
	IsGone bool
}

// Record is the encoded form of store.Record.
type Record struct {
	Stamp Stamp
	Data  []byte
}

// Table is the encoded form of store.Table.
type Table struct {
	Stamp   Stamp
	Records map[string]Record
}

// Booking is the encoded form of model.ScheduledChange.
type Booking struct {
	ID       string
	At       int64
	Bindings []Binding
	Order    uint64
}

// Entry is the encoded form of model.AuditEntry.
type Entry struct {
	Order    uint64
	At       int64
	Subject  string
	What     string
	Evidence string
}

// Slice converts each element of a list. It returns nil for a nil list.
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

// Map converts each value of a map. It returns nil for a nil map.
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

// Pointer converts the value that a pointer refers to. It returns nil for a nil
// pointer.
func Pointer[From, To any](value *From, convert func(From) To) *To {
	if value == nil {
		return nil
	}
	converted := convert(*value)
	return &converted
}
