package model

import (
	"cmp"
	"maps"
	"slices"

	"tansyseam/internal/state/store"
)

// Snapshot is the part of the control state that is distributed to nodes, or a delta of
// that part.
type Snapshot struct {
	// Version is the newest version of the records from which the snapshot was read.
	Version store.Version
	// Sets are sorted by sequence.
	Sets []BindingSet
	// Writers holds the writer roles by database.
	Writers map[string]WriterRole
	// BaseVersion is set in a delta only. Sets and Writers then hold only the records
	// written after that version, and FirstSequence is the lowest sequence of the sets
	// that the complete snapshot still holds.
	BaseVersion   store.Version
	FirstSequence uint64
	// Changes is set in an update only. It holds the sets that are sent as their
	// difference from a set that the receiver holds, or from one that is sent with them.
	Changes []SetChange
	// Sequences holds, in a delta, the sequences of all sets of the complete snapshot. It
	// is empty if an older build sent the delta.
	Sequences []uint64
}

// ReadSnapshot reads the snapshot from the control state.
func ReadSnapshot(state *store.Table) Snapshot {
	snapshot, _ := RefreshSnapshot(state, Snapshot{}, nil)
	return snapshot
}

// RefreshSnapshot reads the snapshot from the control state. It reuses the records of
// the previous snapshot, which was read from previousState, that were not written since.
// It also returns the number of records that it decoded.
func RefreshSnapshot(state *store.Table, previous Snapshot, previousState *store.Table) (Snapshot, int) {
	reader := snapshotReader{state: state, previousState: previousState}
	snapshot := Snapshot{Sets: reader.sets(previous.Sets), Writers: reader.writers(previous.Writers)}
	snapshot.Version = reader.newest
	return snapshot, reader.decoded
}

// snapshotReader reads a snapshot. It decodes only the records that were written since a
// previous snapshot.
type snapshotReader struct {
	state *store.Table
	// previousState is nil if there is no previous snapshot.
	previousState *store.Table
	// newest is the newest version of the records read so far.
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

// readRecords returns the values of the records under a prefix. It reuses the values in
// previous whose records were not written since, and omits records that cannot be
// decoded.
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

// isUnchanged reports whether a record was not written since the previous state.
func (r *snapshotReader) isUnchanged(key string) bool {
	return r.previousState != nil && r.previousState.Records[key].Version == r.state.Records[key].Version
}

// DeltaSince returns the delta with the records written after a version. state must be
// the control state from which the snapshot was read.
func (s Snapshot) DeltaSince(version store.Version, state *store.Table) Snapshot {
	delta := Snapshot{Version: s.Version, BaseVersion: version, Writers: map[string]WriterRole{}}
	if len(s.Sets) > 0 {
		delta.FirstSequence = s.Sets[0].Sequence
	}
	for _, set := range s.Sets {
		delta.Sequences = append(delta.Sequences, set.Sequence)
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

// Apply returns the complete snapshot that results from an update. An update that is not
// a delta replaces the snapshot. Apply returns the snapshot unchanged and false if the
// update is a delta based on another version, or if a set is sent as its difference from
// one that the snapshot does not have.
func (s Snapshot) Apply(update Snapshot) (Snapshot, bool) {
	sets, ok := s.completeSets(update)
	if !ok {
		return s, false
	}
	if update.BaseVersion == (store.Version{}) {
		update.Sets, update.Changes = sets, nil
		return update, true
	}
	if update.BaseVersion != s.Version {
		return s, false
	}
	complete := Snapshot{Version: update.Version, Writers: maps.Clone(s.Writers)}
	for _, set := range s.Sets {
		isReplaced := slices.ContainsFunc(sets, func(newer BindingSet) bool { return newer.Sequence == set.Sequence })
		if update.stillHolds(set.Sequence) && !isReplaced {
			complete.Sets = append(complete.Sets, set)
		}
	}
	complete.Sets = append(complete.Sets, sets...)
	slices.SortFunc(complete.Sets, compareSequences)
	maps.Copy(complete.Writers, update.Writers)
	return complete, true
}

// stillHolds reports whether the complete snapshot of a delta holds the set with a
// sequence, if that set was not written since the delta's base.
func (s Snapshot) stillHolds(sequence uint64) bool {
	if len(s.Sequences) > 0 {
		return slices.Contains(s.Sequences, sequence)
	}
	return sequence >= s.FirstSequence
}

// completeSets returns the complete sets of an update, sorted by sequence. It returns false
// if a set is sent as its difference from a set that neither the update nor the snapshot
// has.
func (s Snapshot) completeSets(update Snapshot) ([]BindingSet, bool) {
	known := map[uint64]BindingSet{}
	for _, set := range slices.Concat(s.Sets, update.Sets) {
		known[set.Sequence] = set
	}
	sets := slices.Clone(update.Sets)
	for _, change := range update.Changes {
		base, found := known[change.BaseSequence]
		if !found {
			return nil, false
		}
		set := change.Apply(base)
		known[set.Sequence] = set
		sets = append(sets, set)
	}
	slices.SortFunc(sets, compareSequences)
	return sets, true
}

// WithChanges returns an update in which sets are replaced by their differences, as far as
// a receiver that holds the given sets can restore them. The function differ returns the
// difference between two sets, like BindingSet.ChangeFrom.
func (s Snapshot) WithChanges(held []BindingSet, differ func(set, base BindingSet) (SetChange, bool)) Snapshot {
	update := s
	update.Sets = nil
	known := slices.Clone(held)
	for _, set := range s.Sets {
		base, found := nearestSet(known, set.Sequence)
		change, ok := SetChange{}, false
		if found {
			change, ok = differ(set, base)
		}
		if ok {
			update.Changes = append(update.Changes, change)
		} else {
			update.Sets = append(update.Sets, set)
		}
		known = append(known, set)
	}
	return update
}

// nearestSet returns the set with the highest sequence up to the given one.
func nearestSet(sets []BindingSet, sequence uint64) (BindingSet, bool) {
	var nearest BindingSet
	for _, set := range sets {
		if set.Sequence <= sequence && set.Sequence >= nearest.Sequence {
			nearest = set
		}
	}
	return nearest, nearest.Sequence != 0
}

func compareSequences(a, b BindingSet) int { return cmp.Compare(a.Sequence, b.Sequence) }

// ActiveSet returns the set that is in effect at a time, given in Unix nanoseconds by the
// control primary's clock. The result is empty if no set is in effect yet.
func (s Snapshot) ActiveSet(wallNanos int64) BindingSet {
	var active BindingSet
	for _, set := range s.Sets {
		if set.EffectiveAt != 0 && set.EffectiveAt <= wallNanos {
			active = set
		}
	}
	return active
}

// NewestSet returns the last set that was accepted, whether it is in effect or not. The
// result is empty if there is no set.
func (s Snapshot) NewestSet() BindingSet {
	if len(s.Sets) == 0 {
		return BindingSet{}
	}
	return s.Sets[len(s.Sets)-1]
}

// HasPendingSet reports whether the newest set has no effective time yet.
func (s Snapshot) HasPendingSet() bool {
	return len(s.Sets) > 0 && s.NewestSet().EffectiveAt == 0
}
