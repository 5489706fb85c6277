package model

import (
	"cmp"
	"maps"
	"slices"

	"tansyseam/internal/state/store"
)

// Snapshot is the part of the control state that nodes get, or a delta of it.
type Snapshot struct {
	// Version is that of the last write that changed the snapshot.
	Version store.Version
	// Sets are sorted by sequence.
	Sets []BindingSet
	// Writers are the writer roles by database.
	Writers map[string]WriterRole
	// BaseVersion is set in a delta: Sets and Writers are then only those written after
	// that version, and FirstSequence is the lowest sequence that is left.
	BaseVersion   store.Version
	FirstSequence uint64
}

// ReadSnapshot reads the snapshot from the control state.
func ReadSnapshot(state *store.Table) Snapshot {
	snapshot, _ := RefreshSnapshot(state, Snapshot{}, nil)
	return snapshot
}

// RefreshSnapshot reads the snapshot from the control state, and takes from a previous
// one, which was read from previousState, what was not written since. It returns also
// how many records it has decoded.
func RefreshSnapshot(state *store.Table, previous Snapshot, previousState *store.Table) (Snapshot, int) {
	reader := snapshotReader{state: state, previousState: previousState}
	snapshot := Snapshot{Sets: reader.sets(previous.Sets), Writers: reader.writers(previous.Writers)}
	snapshot.Version = reader.newest
	return snapshot, reader.decoded
}

// snapshotReader reads the records of a snapshot that were written since another.
type snapshotReader struct {
	state *store.Table
	// previousState is nil if there is no other snapshot.
	previousState *store.Table
	// newest is the newest version of the records that were read.
	newest  store.Version
	decoded int
}

func (r *snapshotReader) sets(previous []BindingSet) []BindingSet {
	previousByKey := make(map[string]BindingSet, len(previous))
	for _, set := range previous {
		previousByKey[BindingSetKey(set.Sequence)] = set
	}
	sets := readRecords(r, PrefixBindingSet, previousByKey, BindingSetFrom)
	slices.SortFunc(sets, compareSequences)
	return sets
}

func (r *snapshotReader) writers(previous map[string]WriterRole) map[string]WriterRole {
	previousByKey := make(map[string]WriterRole, len(previous))
	for database, role := range previous {
		previousByKey[PrefixWriterRole+database] = role
	}
	writers := map[string]WriterRole{}
	for _, role := range readRecords(r, PrefixWriterRole, previousByKey, WriterRoleFrom) {
		writers[role.Database] = role
	}
	return writers
}

// readRecords returns the values of the records under a prefix. It takes from previous
// those that were not written since, and leaves out those that cannot be decoded.
func readRecords[Value, Encoded any](r *snapshotReader, prefix string, previous map[string]Value, from func(Encoded) Value) []Value {
	var values []Value
	for _, key := range r.state.Keys(prefix) {
		r.newest = r.newest.Max(r.state.Records[key].Version)
		if value, found := previous[key]; found && r.isUnchanged(key) {
			values = append(values, value)
			continue
		}
		r.decoded++
		if value, found := store.Get(r.state, key, from); found {
			values = append(values, value)
		}
	}
	return values
}

// isUnchanged says whether a record was not written since the previous state.
func (r *snapshotReader) isUnchanged(key string) bool {
	return r.previousState != nil && r.previousState.Records[key].Version == r.state.Records[key].Version
}

// DeltaSince returns what was written after a version, by the state that the snapshot
// was read from.
func (s Snapshot) DeltaSince(version store.Version, state *store.Table) Snapshot {
	delta := Snapshot{Version: s.Version, BaseVersion: version, Writers: map[string]WriterRole{}}
	if len(s.Sets) > 0 {
		delta.FirstSequence = s.Sets[0].Sequence
	}
	for _, set := range s.Sets {
		if version.IsBefore(state.Records[BindingSetKey(set.Sequence)].Version) {
			delta.Sets = append(delta.Sets, set)
		}
	}
	for database, role := range s.Writers {
		if version.IsBefore(state.Records[PrefixWriterRole+database].Version) {
			delta.Writers[database] = role
		}
	}
	return delta
}

// Apply returns the complete snapshot that results from a delta. It returns false if
// the delta is based on another version. An update that is no delta replaces the
// snapshot.
func (s Snapshot) Apply(update Snapshot) (Snapshot, bool) {
	if update.BaseVersion == (store.Version{}) {
		return update, true
	}
	if update.BaseVersion != s.Version {
		return s, false
	}
	complete := Snapshot{Version: update.Version, Writers: maps.Clone(s.Writers)}
	for _, set := range s.Sets {
		isReplaced := slices.ContainsFunc(update.Sets, func(newer BindingSet) bool { return newer.Sequence == set.Sequence })
		if set.Sequence >= update.FirstSequence && !isReplaced {
			complete.Sets = append(complete.Sets, set)
		}
	}
	complete.Sets = append(complete.Sets, update.Sets...)
	slices.SortFunc(complete.Sets, compareSequences)
	maps.Copy(complete.Writers, update.Writers)
	return complete, true
}

func compareSequences(a, b BindingSet) int { return cmp.Compare(a.Sequence, b.Sequence) }

// ActiveSet returns the set in effect at a time of the control primary's clock, in Unix
// nanoseconds. It is empty if no set is in effect yet.
func (s Snapshot) ActiveSet(wallNanos int64) BindingSet {
	var active BindingSet
	for _, set := range s.Sets {
		if set.EffectiveAt != 0 && set.EffectiveAt <= wallNanos {
			active = set
		}
	}
	return active
}

// NewestSet returns the last set that was accepted, in effect or not. It is empty if
// there is none.
func (s Snapshot) NewestSet() BindingSet {
	if len(s.Sets) == 0 {
		return BindingSet{}
	}
	return s.Sets[len(s.Sets)-1]
}

// HasPendingSet says whether the newest set has no effective time yet.
func (s Snapshot) HasPendingSet() bool {
	return len(s.Sets) > 0 && s.NewestSet().EffectiveAt == 0
}
