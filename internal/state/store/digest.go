package store

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"maps"
	"slices"
)

// RangeCount is the number of key ranges, each of which has one digest. Keys are
// assigned to the ranges by their hash.
const RangeCount = 16

// Digests holds one SHA-256 digest for each key range. Two tables have the same digest
// for a range if they have the same keys, versions and values in that range.
type Digests = [RangeCount][sha256.Size]byte

// Digests returns the digests of all key ranges.
func (t *Table) Digests() Digests {
	var keysByRange [RangeCount][]string
	for key := range t.Records {
		index := rangeOf(key)
		keysByRange[index] = append(keysByRange[index], key)
	}
	var digests Digests
	for index, keys := range keysByRange {
		slices.Sort(keys)
		sum := sha256.New()
		for _, key := range keys {
			hashRecord(sum, key, t.Records[key])
		}
		copy(digests[index][:], sum.Sum(nil))
	}
	return digests
}

// hashRecord adds one record to a digest: the key and a zero byte, then epoch,
// sequence and length of the data as big-endian 64-bit numbers, then the data.
func hashRecord(sum hash.Hash, key string, record Record) {
	var header []byte
	header = append(header, key...)
	header = append(header, 0)
	header = binary.BigEndian.AppendUint64(header, record.Version.Epoch)
	header = binary.BigEndian.AppendUint64(header, record.Version.Sequence)
	header = binary.BigEndian.AppendUint64(header, uint64(len(record.Data)))
	sum.Write(header)
	sum.Write(record.Data)
}

// DifferingRanges returns the indexes of the key ranges whose digests differ.
func DifferingRanges(ours, theirs Digests) []int {
	var ranges []int
	for index := range ours {
		if ours[index] != theirs[index] {
			ranges = append(ranges, index)
		}
	}
	return ranges
}

// RecordsInRanges returns the records of the given key ranges.
func (t *Table) RecordsInRanges(ranges []int) map[string]Record {
	records := map[string]Record{}
	for key, record := range t.Records {
		if slices.Contains(ranges, rangeOf(key)) {
			records[key] = record
		}
	}
	return records
}

// ReplaceRanges replaces the content of the given key ranges with records of a newer
// replica, and sets the table's version to that replica's version.
func (t *Table) ReplaceRanges(version Version, ranges []int, records map[string]Record) {
	for key := range t.Records {
		if slices.Contains(ranges, rangeOf(key)) {
			delete(t.Records, key)
		}
	}
	maps.Copy(t.Records, records)
	t.Version = version
}

// rangeOf returns the index of a key's range, computed from the first byte of the key's
// hash.
func rangeOf(key string) int {
	const firstByteValues = 256
	sum := sha256.Sum256([]byte(key))
	return int(sum[0]) * RangeCount / firstByteValues
}
