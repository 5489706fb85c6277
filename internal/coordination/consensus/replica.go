package consensus

import "tansyseam/internal/state/store"

// replica is this node's copy of the control state, on disk or on the way there. Its
// tables are replaced, never changed, since effects and readers share them.
type replica struct {
	// table has all writes that this node has saved, the one under way included.
	table *store.Table
	// fileSequence counts the versions of the table's file.
	fileSequence uint64
	// committed is the table without a write that may not be replicated yet. The primary
	// serves it; other nodes do not keep it up.
	committed *store.Table
	// ahead says that the table may have a write that the backup lacks, from an earlier
	// run of the program. The primary serves nothing until an epoch without a backup
	// settles that the write is kept.
	ahead bool
}

// newReplica takes over the table that the disk held, if any.
func newReplica(saved PersistentState) replica {
	table := saved.Table
	if table == nil {
		table = store.New()
	}
	return replica{table: table, fileSequence: saved.TableSequence, committed: table}
}

func (r *replica) version() store.Version { return r.table.Version }

// apply takes a write.
func (r *replica) apply(version store.Version, puts []store.Put) {
	r.table = r.table.Clone()
	r.table.Apply(version, puts)
}

// replaceRanges takes over the records of some key ranges of another replica at a version.
func (r *replica) replaceRanges(version store.Version, ranges []int, records map[string]store.Record) {
	r.table = r.table.Clone()
	r.table.ReplaceRanges(version, ranges, records)
}

// commit takes all writes for replicated.
func (r *replica) commit() { r.committed = r.table }

// save gives the effect that writes the table's file.
func (r *replica) save() Save {
	r.fileSequence++
	return Save{Kind: FileTable, Sequence: r.fileSequence, Data: store.Encode(*r.table)}
}
