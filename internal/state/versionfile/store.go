// Package versionfile keeps numbered versions of several kinds of data on disk. Each
// version is a separate file with a checksum.
//
// A Store writes a version to a temporary file, syncs and renames the file, and syncs the
// directory. After a crash, each version therefore exists completely or not at all. Older
// versions are kept until newer ones are synced. Readers use the newest version whose
// checksum is correct.
//
// A program opens its data directory with OpenDirectory, which removes temporary files
// that an earlier run did not finish, and creates a Store with the result. A Store has no
// lock: its caller must write one version at a time.
package versionfile

import (
	"slices"

	"github.com/juju/errors"
)

// ErrNotFound is returned when there is no readable version of a kind.
const ErrNotFound = errors.ConstError("no readable version on disk")

// ErrNotSynced is returned when a change was not synced to disk. The caller can retry the
// change, and must not rely on it until a retry succeeds.
const ErrNotSynced = errors.ConstError("version not synced")

// minKeptVersions is the minimum number of versions to keep of each kind: the newest, and
// the one before it in case the newest is damaged.
const minKeptVersions = 2

// Version is one version of a kind.
type Version struct {
	Sequence uint64
	Data     []byte
}

// Store keeps versions of several kinds on one Disk.
type Store struct {
	disk         Disk
	keptVersions int
}

// NewStore returns a store that keeps the newest keptVersions versions of each kind, at
// least two.
func NewStore(disk Disk, keptVersions int) *Store {
	return &Store{disk: disk, keptVersions: max(keptVersions, minKeptVersions)}
}

// Put writes and syncs one version, and then removes the old versions beyond the number
// to keep. It returns ErrNotSynced if the version was not synced. A failure to remove an
// old version is not an error.
func (s *Store) Put(kind string, sequence uint64, data []byte) error {
	if err := s.disk.Write(fileName(kind, sequence), encodeVersion(kind, sequence, data)); err != nil {
		return errors.WithType(errors.Annotatef(err, "%s %d", kind, sequence), ErrNotSynced)
	}
	s.prune(kind, sequence)
	return nil
}

// prune removes the versions of a kind that are older than the version just synced and
// beyond the number to keep. Versions that it fails to remove are removed by the prune
// after the next write.
func (s *Store) prune(kind string, synced uint64) {
	sequences, err := s.sequences(kind)
	if err != nil {
		return
	}
	for rank, sequence := range sequences {
		if rank >= s.keptVersions && sequence < synced {
			_ = s.disk.Remove(fileName(kind, sequence))
		}
	}
}

// Latest returns the newest readable version of a kind, and the number of newer files
// that were skipped because they are damaged or cannot be read. It returns ErrNotFound if
// no version is readable.
func (s *Store) Latest(kind string) (latest Version, skipped int, err error) {
	sequences, err := s.sequences(kind)
	if err != nil {
		return Version{}, 0, errors.Trace(err)
	}
	for _, sequence := range sequences {
		if data, ok := s.read(kind, sequence); ok {
			return Version{Sequence: sequence, Data: data}, skipped, nil
		}
		skipped++
	}
	return Version{}, skipped, ErrNotFound
}

// RemoveCorrupt removes the versions of a kind that are damaged or cannot be read. It must
// be called only after the data that they may have held was recovered from elsewhere. It
// returns ErrNotSynced if a file cannot be removed.
func (s *Store) RemoveCorrupt(kind string) error {
	sequences, err := s.sequences(kind)
	if err != nil {
		return errors.Trace(err)
	}
	for _, sequence := range sequences {
		if _, ok := s.read(kind, sequence); ok {
			continue
		}
		if err := s.disk.Remove(fileName(kind, sequence)); err != nil {
			return errors.WithType(errors.Trace(err), ErrNotSynced)
		}
	}
	return nil
}

// read returns the data of one version. It returns false if the file cannot be read or
// is damaged.
func (s *Store) read(kind string, sequence uint64) ([]byte, bool) {
	content, err := s.disk.Read(fileName(kind, sequence))
	if err != nil {
		return nil, false
	}
	return decodeVersion(content, kind, sequence)
}

// sequences returns the sequences in the names of a kind's files, newest first.
func (s *Store) sequences(kind string) ([]uint64, error) {
	names, err := s.disk.Names()
	if err != nil {
		return nil, errors.Trace(err)
	}
	var sequences []uint64
	for _, name := range names {
		if sequence, ok := parseFileName(kind, name); ok {
			sequences = append(sequences, sequence)
		}
	}
	slices.Sort(sequences)
	slices.Reverse(sequences)
	return sequences, nil
}
