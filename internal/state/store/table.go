// Package store holds the replicated control state: a table of keyed records, each
// with the version of its last write.
//
// A Table is a plain value without locks. Replicas are compared by digests over key
// ranges, so that only the ranges that differ need to be sent (anti-entropy). The
// values of records are encoded with encoding/gob; codec.go documents which field
// names the encoding uses.
package store

import (
	"maps"
	"slices"
	"strings"
)

// Version orders the states of the table: by epoch first, then by sequence. The zero
// Version is older than any write.
type Version struct {
	// Epoch is the epoch of the primary that made the write.
	Epoch uint64
	// Sequence counts the writes over all epochs.
	Sequence uint64
}

// IsBefore reports whether v is older than other.
func (v Version) IsBefore(other Version) bool {
	return v.Epoch < other.Epoch || (v.Epoch == other.Epoch && v.Sequence < other.Sequence)
}

// Max returns the newer of two versions.
func (v Version) Max(other Version) Version {
	if v.IsBefore(other) {
		return other
	}
	return v
}

// Record is one value with the version of its last write.
type Record struct {
	Version Version
	// Data is the encoded value. Copies of a table share it, so it must never be
	// modified.
	Data []byte
}

// Table is one replica of the control state.
type Table struct {
	// Version is the version of the last write applied.
	Version Version
	Records map[string]Record
}

// Put sets or removes one key.
type Put struct {
	Key string
	// Data is the new value. It is ignored if Deleted is set.
	Data []byte
	// Deleted is true if the key is to be removed.
	Deleted bool
}

// New returns an empty table.
func New() *Table { return &Table{Records: map[string]Record{}} }

// Clone returns a copy of the table. The copy shares the data of the records.
func (t *Table) Clone() *Table {
	return &Table{Version: t.Version, Records: maps.Clone(t.Records)}
}

// Apply applies the puts of one write in order, and assigns version to the table and to
// each record that was set.
func (t *Table) Apply(version Version, puts []Put) {
	t.Version = version
	for _, put := range puts {
		if put.Deleted {
			delete(t.Records, put.Key)
			continue
		}
		t.Records[put.Key] = Record{Version: version, Data: put.Data}
	}
}

// Keys returns the keys that begin with prefix, sorted.
func (t *Table) Keys(prefix string) []string {
	var keys []string
	for key := range t.Records {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
