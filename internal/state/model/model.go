// Package model holds the shared types of what the fleet knows of itself.
package model

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/state/store"
)

// Position is a place in a database's log: the writer's term, then index.
type Position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// IsBefore says whether p lies before other.
func (p Position) IsBefore(other Position) bool {
	return p.Term < other.Term || (p.Term == other.Term && p.Index < other.Index)
}

// Later gives the further of two positions.
func (p Position) Max(other Position) Position {
	if p.IsBefore(other) {
		return other
	}
	return p
}

// Roles of an instance, as it announces itself.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// Instance is what an instance says of itself.
type Instance struct {
	Name        string   `json:"instance"`
	Database    string   `json:"database"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Role        string   `json:"role"`
	Incarnation string   `json:"birth"`
	Position    Position `json:"position"`
	Term        uint64   `json:"term"`
	Leaving     bool     `json:"leaving"`
	Connections int      `json:"connections"`
	Slots       int      `json:"slots"`
	// IsSynced says that the instance answers a commit only once a replica
	// has received it, and speaks a line protocol (state/stream).
	SyncReplication bool `json:"synced,omitempty"`
	// IsGone says that it has ended in good order.
	Stopped bool `json:"gone,omitempty"`
	// Calls rises with every announcement of an instance that counts them, so
	// that a late one is known.
	AnnouncementNumber uint64 `json:"calls,omitempty"`
}

// IsForeign says whether an announcement contradicts an earlier one of the
// same name: an instance never changes its database.
func (i Instance) ConflictsWith(previous Instance) bool {
	return previous.Name == i.Name && previous.Database != i.Database
}

// Kinds of node.
const (
	KindProxy   = "seamd"
	KindControl = "seamc"
)

// Node is one process of the fleet.
type Node struct {
	Name        string
	Kind        string
	Zone        string
	RPCAddress  string
	HTTPAddress string
	Incarnation int64
	Version     int
	Weight      float64
	// Beat rises for as long as the node lives.
	Heartbeat uint64
	// Left says that the node said goodbye.
	Left bool
}

// Binding pairs a database with how fresh its reads must be. What stands
// below Freshness is of manifests only.
type Binding struct {
	Name      string        `json:"name"`
	Database  string        `json:"database"`
	Freshness time.Duration `json:"-"`
	// IsOwn says that a session's reads also see all its own commits.
	ReadYourWrites bool `json:"-"`
	// Timeout bounds a statement, Target is the operator's aim for an
	// operation; Priority 0 ranks highest; Tries counts a statement's goes.
	Timeout       time.Duration `json:"-"`
	LatencyTarget time.Duration `json:"-"`
	Priority      int           `json:"-"`
	MaxAttempts   int           `json:"-"`
}

// Database is what a manifest says of a database.
type Database struct {
	Name string
	// Connections is the cap of each of its instances, over all nodes.
	MaxConnections int
	// Synced is how many replicas must have received a commit before it is
	// answered.
	MinSyncReplicas int
}

// Limits are those that a manifest sets.
type Limits struct {
	// Message bounds a message, in bytes; 0 for none given.
	MaxMessageBytes int
	// Idle and Inside bound how long a session may rest, outside and inside a
	// transaction; 0 for none given.
	IdleTimeout, TransactionIdleTimeout time.Duration
}

// Set is one whole sequence of bindings.
type BindingSet struct {
	Sequence uint64
	Bindings []Binding
	// Moment is the wall time in ns, by the control primary, at which the
	// set takes effect; 0 while it is still being carried to the nodes.
	EffectiveAt int64
	// Due is the earliest moment it may have.
	NotBefore int64
	// Taken is when it was taken.
	AcceptedAt int64
	// By tells which tenure of the control primary set the moment.
	ScheduledBy string
	// Source names the call or booking that brought it.
	Source string
	// Version is the operator's own number of a manifest, 0 for other sets.
	Version   uint64
	Databases []Database
	Limits    Limits
}

// Database gives what a manifest says of a database.
func (s BindingSet) Database(name string) (Database, bool) {
	for _, one := range s.Databases {
		if one.Name == name {
			return one, true
		}
	}
	return Database{}, false
}

// Find gives a binding by name.
func (s BindingSet) Binding(name string) (Binding, bool) {
	for _, binding := range s.Bindings {
		if binding.Name == name {
			return binding, true
		}
	}
	return Binding{}, false
}

// Booking is a set booked for a moment.
type ScheduledChange struct {
	ID          string
	EffectiveAt int64
	Bindings    []Binding
	Order       uint64
}

// Phases of a database's writer role.
const (
	PhaseOpen      = "open"
	PhaseClosing   = "closing"
	PhaseClosed    = "closed"
	PhasePromoting = "intent"
)

// Writer is the recorded state of one database's writer role.
type WriterRole struct {
	Database string
	Term     uint64
	Primary  string
	// Birth names the data that the primary was opened with.
	PrimaryIncarnation string
	Phase              string
	// Required replicas must hold a commit before it is confirmed.
	RequiredReplicas map[string]string
	// Candidates may be promoted: every node has waited on them.
	Candidates map[string]string
	// Shunned replicas were struck for lag; commits do not wait for them again
	// before the moment given.
	Excluded map[string]int64
	// Intent names the replica for which the one promote call goes out.
	Promoting string
	// High is the furthest position reported as confirmed.
	HighWatermark Position
	// Base is where the term began, and Before the term it goes on from.
	TermStart    Position
	PreviousTerm uint64
	// Why says in words what is being waited for.
	Reason           string
	LastTransitionAt int64
	// Calls counts promote calls sent for the intent.
	PromoteCalls int
	// IsSynced says that the instances themselves judge when a commit is safe.
	// Floor is then, while the term is closed, a position that covers every
	// commit ever told kept; Holder made the promote call under Fence, which
	// rises with each intent, and whenever the holder changes.
	SyncReplication bool
	MinPosition     Position
	Promoter        string
	FencingToken    uint64
}

// Entry is one line of the fleet's own account of what it did.
type AuditEntry struct {
	Sequence uint64 `json:"order"`
	At       int64  `json:"at"`
	Subject  string `json:"subject"`
	Action   string `json:"what"`
	Evidence string `json:"evidence"`
}

// Doc is the control state as the data plane reads it; Stamp is of the last
// write that changed it.
type Snapshot struct {
	Version store.Version
	Sets    []BindingSet
	Writers map[string]WriterRole
	// Since, where given, says that Sets and Writers are only those written
	// after that stamp, and First is the lowest sequence still held.
	BaseVersion   store.Version
	FirstSequence uint64
}

// After gives what was written after a stamp; held has the same writes.
func (d Snapshot) DeltaSince(since store.Version, state *store.Table) Snapshot {
	delta := Snapshot{Version: d.Version, BaseVersion: since, Writers: map[string]WriterRole{}}
	for at, set := range d.Sets {
		if at == 0 {
			delta.FirstSequence = set.Sequence
		}
		if since.IsBefore(state.Records[BindingSetKey(set.Sequence)].Version) {
			delta.Sets = append(delta.Sets, set)
		}
	}
	for name, writer := range d.Writers {
		if since.IsBefore(state.Records[PrefixWriterRole+name].Version) {
			delta.Writers[name] = writer
		}
	}
	return delta
}

// With gives the whole that a doc makes with what was written after it; false
// where that was written after another stamp.
func (d Snapshot) Apply(delta Snapshot) (Snapshot, bool) {
	if delta.BaseVersion == (store.Version{}) {
		return delta, true
	}
	if delta.BaseVersion != d.Version {
		return d, false
	}
	complete := Snapshot{Version: delta.Version, Writers: maps.Clone(d.Writers)}
	for _, set := range d.Sets {
		replaced := slices.ContainsFunc(delta.Sets, func(one BindingSet) bool { return one.Sequence == set.Sequence })
		if set.Sequence >= delta.FirstSequence && !replaced {
			complete.Sets = append(complete.Sets, set)
		}
	}
	complete.Sets = append(complete.Sets, delta.Sets...)
	slices.SortFunc(complete.Sets, func(a, b BindingSet) int { return cmp.Compare(a.Sequence, b.Sequence) })
	maps.Copy(complete.Writers, delta.Writers)
	return complete, true
}

// SetKey is the key of a binding set.
func BindingSetKey(sequence uint64) string { return fmt.Sprintf("%s%012d", PrefixBindingSet, sequence) }

// Keys of the control state.
const (
	PrefixBindingSet      = "set/"
	PrefixWriterRole      = "db/"
	PrefixScheduledChange = "book/"
	PrefixCallResult      = "call/"
	PrefixNode            = "node/"
	PrefixAuditEntry      = "entry/"
	// KeyVersions holds what was taken under which version, many to a record.
	PrefixManifestVersions = "versions/"
	// KeyRaw holds a manifest's bytes as they were sent, by sequence.
	PrefixManifest = "raw/"
)

// DocOf reads the data plane's part out of the control state.
func ReadSnapshot(t *store.Table) Snapshot {
	snapshot, _ := RefreshSnapshot(t, Snapshot{}, nil)
	return snapshot
}

// DocFrom does the same, and takes over from a doc that was read before what
// was not written since; held is the state that it was read from.
func RefreshSnapshot(t *store.Table, previous Snapshot, state *store.Table) (Snapshot, int) {
	snapshot, read := Snapshot{Writers: map[string]WriterRole{}}, 0
	unchanged := func(key string) bool {
		record := t.Records[key]
		if snapshot.Version.IsBefore(record.Version) {
			snapshot.Version = record.Version
		}
		return state != nil && state.Records[key].Version == record.Version
	}
	for _, key := range t.Keys(PrefixBindingSet) {
		at := slices.IndexFunc(previous.Sets, func(one BindingSet) bool { return BindingSetKey(one.Sequence) == key })
		if unchanged(key) && at >= 0 {
			snapshot.Sets = append(snapshot.Sets, previous.Sets[at])
			continue
		}
		read++
		if set, found := store.Get(t, key, BindingSetFrom); found {
			snapshot.Sets = append(snapshot.Sets, set)
		}
	}
	slices.SortFunc(snapshot.Sets, func(a, b BindingSet) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, key := range t.Keys(PrefixWriterRole) {
		known, found := previous.Writers[key[len(PrefixWriterRole):]]
		if unchanged(key) && found {
			snapshot.Writers[known.Database] = known
			continue
		}
		read++
		if writer, found := store.Get(t, key, WriterRoleFrom); found {
			snapshot.Writers[writer.Database] = writer
		}
	}
	return snapshot, read
}

// Effective gives the set in force at a moment of the primary's clock.
func (d Snapshot) ActiveSet(now int64) BindingSet {
	var current BindingSet
	for _, set := range d.Sets {
		if set.EffectiveAt != 0 && set.EffectiveAt <= now {
			current = set
		}
	}
	return current
}

// Newest gives the last set taken, in force or not.
func (d Snapshot) NewestSet() BindingSet {
	if len(d.Sets) == 0 {
		return BindingSet{}
	}
	return d.Sets[len(d.Sets)-1]
}

// IsPending says whether a taken set has no moment yet.
func (d Snapshot) HasPendingSet() bool {
	return len(d.Sets) > 0 && d.NewestSet().EffectiveAt == 0
}

// CloneWriter copies a writer with its maps.
func CloneWriterRole(w WriterRole) WriterRole {
	w.RequiredReplicas = maps.Clone(w.RequiredReplicas)
	w.Candidates = maps.Clone(w.Candidates)
	w.Excluded = maps.Clone(w.Excluded)
	return w
}
