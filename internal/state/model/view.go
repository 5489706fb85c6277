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
func (p Position) Later(other Position) Position {
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
	Birth       string   `json:"birth"`
	Position    Position `json:"position"`
	Term        uint64   `json:"term"`
	IsLeaving   bool     `json:"leaving"`
	Connections int      `json:"connections"`
	Slots       int      `json:"slots"`
	// IsSynced says that the instance answers a commit only once a replica
	// has received it, and speaks a line protocol (state/stream).
	IsSynced bool `json:"synced,omitempty"`
	// IsGone says that it has ended in good order.
	IsGone bool `json:"gone,omitempty"`
	// Calls rises with every announcement of an instance that counts them, so
	// that a late one is known.
	Calls uint64 `json:"calls,omitempty"`
}

// IsForeign says whether an announcement contradicts an earlier one of the
// same name: an instance never changes its database.
func (i Instance) IsForeign(before Instance) bool {
	return before.Name == i.Name && before.Database != i.Database
}

// Kinds of node.
const (
	KindData    = "seamd"
	KindControl = "seamc"
)

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
	// Beat rises for as long as the node lives.
	Beat uint64
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
	IsOwn bool `json:"-"`
	// Timeout bounds a statement, Target is the operator's aim for an
	// operation; Priority 0 ranks highest; Tries counts a statement's goes.
	Timeout  time.Duration `json:"-"`
	Target   time.Duration `json:"-"`
	Priority int           `json:"-"`
	Tries    int           `json:"-"`
}

// Database is what a manifest says of a database.
type Database struct {
	Name string
	// Connections is the cap of each of its instances, over all nodes.
	Connections int
	// Synced is how many replicas must have received a commit before it is
	// answered.
	Synced int
}

// Limits are those that a manifest sets.
type Limits struct {
	// Message bounds a message, in bytes; 0 for none given.
	Message int
	// Idle and Inside bound how long a session may rest, outside and inside a
	// transaction; 0 for none given.
	Idle, Inside time.Duration
}

// Set is one whole sequence of bindings.
type Set struct {
	Sequence uint64
	Bindings []Binding
	// Moment is the wall time in ns, by the control primary, at which the
	// set takes effect; 0 while it is still being carried to the nodes.
	Moment int64
	// Due is the earliest moment it may have.
	Due int64
	// Taken is when it was taken.
	Taken int64
	// By tells which tenure of the control primary set the moment.
	By string
	// Source names the call or booking that brought it.
	Source string
	// Version is the operator's own number of a manifest, 0 for other sets.
	Version   uint64
	Databases []Database
	Limits    Limits
}

// Database gives what a manifest says of a database.
func (s Set) Database(name string) (Database, bool) {
	for _, one := range s.Databases {
		if one.Name == name {
			return one, true
		}
	}
	return Database{}, false
}

// Find gives a binding by name.
func (s Set) Find(name string) (Binding, bool) {
	for _, binding := range s.Bindings {
		if binding.Name == name {
			return binding, true
		}
	}
	return Binding{}, false
}

// Booking is a set booked for a moment.
type Booking struct {
	ID       string
	At       int64
	Bindings []Binding
	Order    uint64
}

// Phases of a database's writer role.
const (
	PhaseOpen    = "open"
	PhaseClosing = "closing"
	PhaseClosed  = "closed"
	PhaseIntent  = "intent"
)

// Writer is the recorded state of one database's writer role.
type Writer struct {
	Database string
	Term     uint64
	Primary  string
	// Birth names the data that the primary was opened with.
	Birth string
	Phase string
	// Required replicas must hold a commit before it is confirmed.
	Required map[string]string
	// Candidates may be promoted: every node has waited on them.
	Candidates map[string]string
	// Shunned replicas were struck for lag; commits do not wait for them again
	// before the moment given.
	Shunned map[string]int64
	// Intent names the replica for which the one promote call goes out.
	Intent string
	// High is the furthest position reported as confirmed.
	High Position
	// Base is where the term began, and Before the term it goes on from.
	Base   Position
	Before uint64
	// Why says in words what is being waited for.
	Why   string
	Since int64
	// Calls counts promote calls sent for the intent.
	Calls int
	// IsSynced says that the instances themselves judge when a commit is safe.
	// Floor is then, while the term is closed, a position that covers every
	// commit ever told kept; Holder made the promote call under Fence, which
	// rises with each intent, and whenever the holder changes.
	IsSynced bool
	Floor    Position
	Holder   string
	Fence    uint64
}

// Entry is one line of the fleet's own account of what it did.
type Entry struct {
	Order    uint64 `json:"order"`
	At       int64  `json:"at"`
	Subject  string `json:"subject"`
	What     string `json:"what"`
	Evidence string `json:"evidence"`
}

// Doc is the control state as the data plane reads it; Stamp is of the last
// write that changed it.
type Doc struct {
	Stamp   store.Stamp
	Sets    []Set
	Writers map[string]Writer
	// Since, where given, says that Sets and Writers are only those written
	// after that stamp, and First is the lowest sequence still held.
	Since store.Stamp
	First uint64
}

// After gives what was written after a stamp; held has the same writes.
func (d Doc) After(since store.Stamp, held *store.Table) Doc {
	delta := Doc{Stamp: d.Stamp, Since: since, Writers: map[string]Writer{}}
	for at, set := range d.Sets {
		if at == 0 {
			delta.First = set.Sequence
		}
		if since.IsBefore(held.Records[SetKey(set.Sequence)].Stamp) {
			delta.Sets = append(delta.Sets, set)
		}
	}
	for name, writer := range d.Writers {
		if since.IsBefore(held.Records[KeyDB+name].Stamp) {
			delta.Writers[name] = writer
		}
	}
	return delta
}

// With gives the whole that a doc makes with what was written after it; false
// where that was written after another stamp.
func (d Doc) With(delta Doc) (Doc, bool) {
	if delta.Since == (store.Stamp{}) {
		return delta, true
	}
	if delta.Since != d.Stamp {
		return d, false
	}
	whole := Doc{Stamp: delta.Stamp, Writers: maps.Clone(d.Writers)}
	for _, set := range d.Sets {
		isAnew := slices.ContainsFunc(delta.Sets, func(one Set) bool { return one.Sequence == set.Sequence })
		if set.Sequence >= delta.First && !isAnew {
			whole.Sets = append(whole.Sets, set)
		}
	}
	whole.Sets = append(whole.Sets, delta.Sets...)
	slices.SortFunc(whole.Sets, func(a, b Set) int { return cmp.Compare(a.Sequence, b.Sequence) })
	maps.Copy(whole.Writers, delta.Writers)
	return whole, true
}

// SetKey is the key of a binding set.
func SetKey(sequence uint64) string { return fmt.Sprintf("%s%012d", KeySet, sequence) }

// Keys of the control state.
const (
	KeySet   = "set/"
	KeyDB    = "db/"
	KeyBook  = "book/"
	KeyCall  = "call/"
	KeyNode  = "node/"
	KeyEntry = "entry/"
	// KeyVersions holds what was taken under which version, many to a record.
	KeyVersions = "versions/"
	// KeyRaw holds a manifest's bytes as they were sent, by sequence.
	KeyRaw = "raw/"
)

// DocOf reads the data plane's part out of the control state.
func DocOf(t *store.Table) Doc {
	doc, _ := DocFrom(t, Doc{}, nil)
	return doc
}

// DocFrom does the same, and takes over from a doc that was read before what
// was not written since; held is the state that it was read from.
func DocFrom(t *store.Table, before Doc, held *store.Table) (Doc, int) {
	doc, read := Doc{Writers: map[string]Writer{}}, 0
	isSame := func(key string) bool {
		record := t.Records[key]
		if doc.Stamp.IsBefore(record.Stamp) {
			doc.Stamp = record.Stamp
		}
		return held != nil && held.Records[key].Stamp == record.Stamp
	}
	for _, key := range t.Keys(KeySet) {
		at := slices.IndexFunc(before.Sets, func(one Set) bool { return SetKey(one.Sequence) == key })
		if isSame(key) && at >= 0 {
			doc.Sets = append(doc.Sets, before.Sets[at])
			continue
		}
		read++
		if set, isHeld := store.Get[Set](t, key); isHeld {
			doc.Sets = append(doc.Sets, set)
		}
	}
	slices.SortFunc(doc.Sets, func(a, b Set) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, key := range t.Keys(KeyDB) {
		known, isKnown := before.Writers[key[len(KeyDB):]]
		if isSame(key) && isKnown {
			doc.Writers[known.Database] = known
			continue
		}
		read++
		if writer, isHeld := store.Get[Writer](t, key); isHeld {
			doc.Writers[writer.Database] = writer
		}
	}
	return doc, read
}

// Effective gives the set in force at a moment of the primary's clock.
func (d Doc) Effective(now int64) Set {
	var current Set
	for _, set := range d.Sets {
		if set.Moment != 0 && set.Moment <= now {
			current = set
		}
	}
	return current
}

// Newest gives the last set taken, in force or not.
func (d Doc) Newest() Set {
	if len(d.Sets) == 0 {
		return Set{}
	}
	return d.Sets[len(d.Sets)-1]
}

// IsPending says whether a taken set has no moment yet.
func (d Doc) IsPending() bool {
	return len(d.Sets) > 0 && d.Newest().Moment == 0
}

// CloneWriter copies a writer with its maps.
func CloneWriter(w Writer) Writer {
	w.Required = maps.Clone(w.Required)
	w.Candidates = maps.Clone(w.Candidates)
	w.Shunned = maps.Clone(w.Shunned)
	return w
}
