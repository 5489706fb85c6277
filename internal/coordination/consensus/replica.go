package consensus

import "tansyseam/internal/state/store"

// replica is this node's copy of the control state, which is on disk or being written
// to disk. Its tables are replaced and never changed in place, because effects and
// readers share them.
type replica struct {
	// table contains all writes that this node has saved, including the write in
	// progress.
	table *store.Table
	// fileSequence counts the versions of the table's file.
	fileSequence uint64
	// committed is the table without the write that may not be replicated yet. The
	// primary serves it. Other nodes do not keep it up to date.
	committed *store.Table
	// ahead is true if the table may contain a write from an earlier run of the program,
	// or from an earlier time as primary, that the backup or the fallback lacks. The
	// primary serves nothing until an epoch is decided after which the write is certain
	// to be kept: one with a backup that was repaired, or one without any successor.
	ahead bool
}

// newReplica returns a replica with the table that the disk held, or an empty table if
// it held none.
func newReplica(saved PersistentState) replica {
	table := saved.Table
	if table == nil {
		table = store.New()
	}
	return replica{table: table, fileSequence: saved.TableSequence, committed: table}
}

func (r *replica) version() store.Version { return r.table.Version }

// apply adds a write to the table.
func (r *replica) apply(version store.Version, puts []store.Put) {
	r.table = r.table.Clone()
	r.table.Apply(version, puts)
}

// replaceRanges replaces the records of some key ranges by those of another replica at
// the given version.
func (r *replica) replaceRanges(version store.Version, ranges []int, records map[string]store.Record) {
	r.table = r.table.Clone()
	r.table.ReplaceRanges(version, ranges, records)
}

// commit treats all writes in the table as replicated.
func (r *replica) commit() { r.committed = r.table }

// save returns the effect that writes the table's file.
func (r *replica) save() Save {
	r.fileSequence++
	return Save{Kind: FileTable, Sequence: r.fileSequence, Data: store.Encode(*r.table)}
}
