// Package versionfile keeps numbered versions of a few kinds of data on disk, each in
// a file of its own with a checksum.
//
// A version is written to a temporary file, synced, renamed, and its directory synced,
// so that after a crash each version is there as a whole or not at all. Older versions
// stay until newer ones were synced; a reader takes the newest whose checksum fits.
//
// A program opens its data directory by OpenDirectory, which removes what an earlier run
// left half written, and makes a Store of it. A Store has no lock: its caller writes one
// version at a time.
package versionfile

import (
	"slices"

	"github.com/juju/errors"
)

// ErrNotFound says that there is no readable version of a kind.
const ErrNotFound = errors.ConstError("no readable version on disk")

// ErrNotSynced says that a change did not reach the disk: it may be tried again, and
// nothing may rely on it before that.
const ErrNotSynced = errors.ConstError("version not synced")

// minKeptVersions is how many versions of a kind are kept at least: the newest, and the one
// before in case that the newest is found damaged.
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

// NewStore makes a store that keeps so many of the newest versions of each kind, two
// at least.
func NewStore(disk Disk, keptVersions int) *Store {
	return &Store{disk: disk, keptVersions: max(keptVersions, minKeptVersions)}
}

// Put syncs one version, and then removes old ones past those that are kept. The error
// is ErrNotSynced; old versions that cannot be removed are none.
func (s *Store) Put(kind string, sequence uint64, data []byte) error {
	if err := s.disk.Write(fileName(kind, sequence), encodeVersion(kind, sequence, data)); err != nil {
		return errors.WithType(errors.Annotatef(err, "%s %d", kind, sequence), ErrNotSynced)
	}
	s.prune(kind, sequence)
	return nil
}

// prune removes versions that are older than one just synced and past those kept. A
// failure is left to the prune after the next write.
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

// Latest gives the newest readable version of a kind, and how many damaged newer files
// were skipped. The error is ErrNotFound where no version is readable.
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

// RemoveCorrupt removes the damaged versions of a kind. It is to be called only once
// what they may have held was recovered from elsewhere. The error is ErrNotSynced where
// a file could not be removed.
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

// read gives the data of one version, or false where it is missing or damaged.
func (s *Store) read(kind string, sequence uint64) ([]byte, bool) {
	content, err := s.disk.Read(fileName(kind, sequence))
	if err != nil {
		return nil, false
	}
	return decodeVersion(content, kind, sequence)
}

// sequences lists the versions of a kind by the names of the files, newest first.
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
