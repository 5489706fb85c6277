// Package store holds the control state: keyed records, each stamped with
// the epoch and sequence that wrote it, compared by digests over key ranges.
package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// ErrCodec says that bytes are not a record of the wanted shape.
const ErrCodec = errors.ConstError("record not readable")

// Stamp orders versions: epoch first, then sequence.
type Stamp struct {
	Epoch    uint64
	Sequence uint64
}

// IsBefore says whether s is older than other.
func (s Stamp) IsBefore(other Stamp) bool {
	return s.Epoch < other.Epoch || (s.Epoch == other.Epoch && s.Sequence < other.Sequence)
}

// Record is one value with the stamp of its write.
type Record struct {
	Stamp Stamp
	Data  []byte
}

// Table is one copy of the control state.
type Table struct {
	Stamp   Stamp
	Records map[string]Record
}

// Put is one key's new value; Gone removes it.
type Put struct {
	Key    string
	Data   []byte
	IsGone bool
}

// New makes an empty table.
func New() *Table { return &Table{Records: map[string]Record{}} }

// Clone copies the table; record bytes are shared and never changed.
func (t *Table) Clone() *Table {
	return &Table{Stamp: t.Stamp, Records: maps.Clone(t.Records)}
}

// Apply writes puts under a new stamp.
func (t *Table) Apply(stamp Stamp, puts []Put) {
	t.Stamp = stamp
	for _, put := range puts {
		if put.IsGone {
			delete(t.Records, put.Key)
			continue
		}
		t.Records[put.Key] = Record{Stamp: stamp, Data: put.Data}
	}
}

// Keys lists the keys under a prefix in order.
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

// Ranges is the number of key ranges that digests are taken over.
const Ranges = 16

func rangeOf(key string) int {
	sum := sha256.Sum256([]byte(key))
	return int(sum[0]) * Ranges / 256
}

// Digests gives one digest per range, over keys, stamps and bytes.
func (t *Table) Digests() [Ranges][32]byte {
	var sums [Ranges][32]byte
	parts := make([][]string, Ranges)
	for key := range t.Records {
		rank := rangeOf(key)
		parts[rank] = append(parts[rank], key)
	}
	for rank, keys := range parts {
		slices.Sort(keys)
		hash := sha256.New()
		for _, key := range keys {
			record := t.Records[key]
			var head [24]byte
			binary.BigEndian.PutUint64(head[:], record.Stamp.Epoch)
			binary.BigEndian.PutUint64(head[8:], record.Stamp.Sequence)
			binary.BigEndian.PutUint64(head[16:], uint64(len(record.Data)))
			hash.Write([]byte(key))
			hash.Write([]byte{0})
			hash.Write(head[:])
			hash.Write(record.Data)
		}
		copy(sums[rank][:], hash.Sum(nil))
	}
	return sums
}

// Differ lists the ranges in which two sets of digests are unlike.
func Differ(ours, theirs [Ranges][32]byte) []int {
	var ranks []int
	for rank := range ours {
		if ours[rank] != theirs[rank] {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// Cut copies the records of some ranges.
func (t *Table) Cut(ranks []int) map[string]Record {
	records := map[string]Record{}
	for key, record := range t.Records {
		if slices.Contains(ranks, rangeOf(key)) {
			records[key] = record
		}
	}
	return records
}

// Mend makes some ranges equal to those of the newer copy.
func (t *Table) Mend(stamp Stamp, ranks []int, records map[string]Record) {
	for key := range t.Records {
		if slices.Contains(ranks, rangeOf(key)) {
			delete(t.Records, key)
		}
	}
	maps.Copy(t.Records, records)
	t.Stamp = stamp
}

// Encode turns a value into record bytes.
func Encode(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(errors.Annotatef(err, "encode %T", value))
	}
	return buffer.Bytes()
}

// Decode reads record bytes into a value.
func Decode(data []byte, into any) error {
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(into); err != nil {
		return errors.WithType(errors.Trace(err), ErrCodec)
	}
	return nil
}

// Get decodes one record; a missing or unreadable one gives false.
func Get[T any](t *Table, key string) (T, bool) {
	var value T
	record, isHeld := t.Records[key]
	if !isHeld || Decode(record.Data, &value) != nil {
		return value, false
	}
	return value, true
}
