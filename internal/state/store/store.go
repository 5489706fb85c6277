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
const ErrDecode = errors.ConstError("record not readable")

// Stamp orders versions: epoch first, then sequence.
type Version struct {
	Epoch    uint64
	Sequence uint64
}

// IsBefore says whether s is older than other.
func (s Version) IsBefore(other Version) bool {
	return s.Epoch < other.Epoch || (s.Epoch == other.Epoch && s.Sequence < other.Sequence)
}

// Record is one value with the stamp of its write.
type Record struct {
	Version Version
	Data    []byte
}

// Table is one copy of the control state.
type Table struct {
	Version Version
	Records map[string]Record
}

// Put is one key's new value; Gone removes it.
type Put struct {
	Key     string
	Data    []byte
	Deleted bool
}

// New makes an empty table.
func New() *Table { return &Table{Records: map[string]Record{}} }

// Clone copies the table; record bytes are shared and never changed.
func (t *Table) Clone() *Table {
	return &Table{Version: t.Version, Records: maps.Clone(t.Records)}
}

// Apply writes puts under a new stamp.
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
const RangeCount = 16

func rangeOf(key string) int {
	sum := sha256.Sum256([]byte(key))
	return int(sum[0]) * RangeCount / 256
}

// Digests gives one digest per range, over keys, stamps and bytes.
func (t *Table) Digests() [RangeCount][32]byte {
	var sums [RangeCount][32]byte
	parts := make([][]string, RangeCount)
	for key := range t.Records {
		index := rangeOf(key)
		parts[index] = append(parts[index], key)
	}
	for index, keys := range parts {
		slices.Sort(keys)
		hash := sha256.New()
		for _, key := range keys {
			record := t.Records[key]
			var head [24]byte
			binary.BigEndian.PutUint64(head[:], record.Version.Epoch)
			binary.BigEndian.PutUint64(head[8:], record.Version.Sequence)
			binary.BigEndian.PutUint64(head[16:], uint64(len(record.Data)))
			hash.Write([]byte(key))
			hash.Write([]byte{0})
			hash.Write(head[:])
			hash.Write(record.Data)
		}
		copy(sums[index][:], hash.Sum(nil))
	}
	return sums
}

// Differ lists the ranges in which two sets of digests are unlike.
func DifferingRanges(ours, theirs [RangeCount][32]byte) []int {
	var ranges []int
	for index := range ours {
		if ours[index] != theirs[index] {
			ranges = append(ranges, index)
		}
	}
	return ranges
}

// Cut copies the records of some ranges.
func (t *Table) RecordsInRanges(ranges []int) map[string]Record {
	records := map[string]Record{}
	for key, record := range t.Records {
		if slices.Contains(ranges, rangeOf(key)) {
			records[key] = record
		}
	}
	return records
}

// Mend makes some ranges equal to those of the newer copy.
func (t *Table) ReplaceRanges(version Version, ranges []int, records map[string]Record) {
	for key := range t.Records {
		if slices.Contains(ranges, rangeOf(key)) {
			delete(t.Records, key)
		}
	}
	maps.Copy(t.Records, records)
	t.Version = version
}

// Encode gives the bytes of a value that has an encoded form (see package encoded).
func Encode[Encoded any, Value interface{ Encoded() Encoded }](value Value) []byte {
	return EncodePlain(value.Encoded())
}

// EncodePlain gives the bytes of a value whose fields are stored under the names that
// they have in the code, which must then never change.
func EncodePlain(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(errors.Annotatef(err, "encode %T", value))
	}
	return buffer.Bytes()
}

// Decode reads what Encode wrote; from converts the encoded form. The error is
// ErrDecode where data is not of that form.
func Decode[Value, Encoded any](data []byte, from func(Encoded) Value) (Value, error) {
	var encoded Encoded
	if err := DecodePlain(data, &encoded); err != nil {
		return *new(Value), err
	}
	return from(encoded), nil
}

// DecodePlain reads what EncodePlain wrote. The error is ErrDecode where data is not
// of the form of into.
func DecodePlain(data []byte, into any) error {
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(into); err != nil {
		return errors.WithType(errors.Trace(err), ErrDecode)
	}
	return nil
}

// Get reads one record; it gives false where there is none, or an unreadable one.
func Get[Value, Encoded any](t *Table, key string, from func(Encoded) Value) (Value, bool) {
	record, found := t.Records[key]
	if !found {
		return *new(Value), false
	}
	value, err := Decode(record.Data, from)
	return value, err == nil
}

// GetPlain reads one record that was written by EncodePlain; it gives false where
// there is none, or an unreadable one.
func GetPlain[Value any](t *Table, key string) (Value, bool) {
	var value Value
	record, found := t.Records[key]
	if !found || DecodePlain(record.Data, &value) != nil {
		return *new(Value), false
	}
	return value, true
}
