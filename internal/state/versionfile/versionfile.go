// Package versionfile keeps versions on disk: one checksummed file for each
// sequence, written aside, synced, renamed, and its folder synced.
package versionfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// ErrNone says that no sound version of a kind is held.
const ErrNotFound = errors.ConstError("no sound version on disk")

// ErrSync says that a write did not reach the disk: it may be tried again, and
// nothing may rest on it before that.
const ErrNotSynced = errors.ConstError("version not synced")

// Disk is the little that the store asks of a file system, so that a
// simulated one can stand in.
type Disk interface {
	Write(name string, data []byte) error
	Read(name string) ([]byte, error)
	Names() ([]string, error)
	Remove(name string) error
}

// Folder is the Disk of a real data folder.
type Directory string

// OpenFolder makes the data folder and clears files left half written.
func OpenDirectory(path string) (Directory, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return "", errors.Annotate(err, "data folder")
	}
	directory := Directory(path)
	names, err := directory.Names()
	if err != nil {
		return "", errors.Trace(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".aside") {
			_ = directory.Remove(name)
		}
	}
	return directory, nil
}

// Write puts data aside, syncs it, renames it and syncs the folder.
func (f Directory) Write(name string, data []byte) error {
	temporary := filepath.Join(string(f), name+".aside")
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return errors.Trace(err)
	}
	steps := []func() error{
		func() error { _, err := file.Write(data); return err },
		file.Sync,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			_ = file.Close()
			_ = os.Remove(temporary)
			return errors.Trace(err)
		}
	}
	if err := file.Close(); err != nil {
		return errors.Trace(err)
	}
	if err := os.Rename(temporary, filepath.Join(string(f), name)); err != nil {
		return errors.Trace(err)
	}
	dir, err := os.Open(string(f))
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = dir.Close() }()
	return errors.Trace(dir.Sync())
}

// Read gives a file's bytes.
func (f Directory) Read(name string) ([]byte, error) {
	file, err := os.Open(filepath.Join(string(f), name))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, 64<<20))
}

// Names lists the folder.
func (f Directory) Names() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	if err != nil {
		return nil, errors.Trace(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Remove deletes a file.
func (f Directory) Remove(name string) error {
	return errors.Trace(os.Remove(filepath.Join(string(f), name)))
}

// Store keeps versions of several kinds on one Disk.
type Store struct {
	disk Disk
	keep int
}

// NewStore makes a store that keeps the newest versions of each kind.
func NewStore(disk Disk, keep int) *Store {
	return &Store{disk: disk, keep: max(keep, 2)}
}

var magic = []byte("seamv001")

func fileName(kind string, sequence uint64) string {
	return fmt.Sprintf("%s-%020d.v", kind, sequence)
}

func sequencesOf(names []string, kind string) []uint64 {
	var found []uint64
	for _, name := range names {
		middle, isOurs := strings.CutPrefix(name, kind+"-")
		number, isVersion := strings.CutSuffix(middle, ".v")
		if !isOurs || !isVersion {
			continue
		}
		if sequence, err := strconv.ParseUint(number, 10, 64); err == nil {
			found = append(found, sequence)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i] > found[j] })
	return found
}

// Put syncs one version and prunes those long past. A version on disk is
// only removed once keep newer ones were synced.
func (s *Store) Put(kind string, sequence uint64, data []byte) error {
	var buffer bytes.Buffer
	buffer.Write(magic)
	kindBytes := []byte(kind)
	_ = binary.Write(&buffer, binary.BigEndian, uint16(len(kindBytes)))
	buffer.Write(kindBytes)
	_ = binary.Write(&buffer, binary.BigEndian, sequence)
	_ = binary.Write(&buffer, binary.BigEndian, uint32(len(data)))
	buffer.Write(data)
	sum := sha256.Sum256(buffer.Bytes())
	buffer.Write(sum[:])
	if err := s.disk.Write(fileName(kind, sequence), buffer.Bytes()); err != nil {
		return errors.WithType(errors.Annotatef(err, "%s %d", kind, sequence), ErrNotSynced)
	}
	names, err := s.disk.Names()
	if err != nil {
		return nil
	}
	for rank, old := range sequencesOf(names, kind) {
		if rank >= s.keep && old < sequence {
			_ = s.disk.Remove(fileName(kind, old))
		}
	}
	return nil
}

// Latest gives the newest sound version of a kind and how many unsound
// newer files were passed over.
func (s *Store) Latest(kind string) (uint64, []byte, int, error) {
	names, err := s.disk.Names()
	if err != nil {
		return 0, nil, 0, errors.Trace(err)
	}
	skipped := 0
	for _, sequence := range sequencesOf(names, kind) {
		raw, err := s.disk.Read(fileName(kind, sequence))
		if err == nil {
			if data, sound := decodeVersion(raw, kind, sequence); sound {
				return sequence, data, skipped, nil
			}
		}
		skipped++
	}
	return 0, nil, skipped, ErrNotFound
}

// Clean removes the unsound versions of a kind. It is called once what they
// held has been made good from elsewhere.
func (s *Store) RemoveCorrupt(kind string) error {
	names, err := s.disk.Names()
	if err != nil {
		return errors.Trace(err)
	}
	for _, sequence := range sequencesOf(names, kind) {
		raw, err := s.disk.Read(fileName(kind, sequence))
		if _, sound := decodeVersion(raw, kind, sequence); err == nil && sound {
			continue
		}
		if err := s.disk.Remove(fileName(kind, sequence)); err != nil {
			return errors.WithType(errors.Trace(err), ErrNotSynced)
		}
	}
	return nil
}

func decodeVersion(raw []byte, kind string, sequence uint64) ([]byte, bool) {
	if len(raw) < len(magic)+2+8+4+sha256.Size || !bytes.HasPrefix(raw, magic) {
		return nil, false
	}
	body, sum := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	want := sha256.Sum256(body)
	if !bytes.Equal(sum, want[:]) {
		return nil, false
	}
	rest := body[len(magic):]
	size := int(binary.BigEndian.Uint16(rest))
	rest = rest[2:]
	if len(rest) < size+12 || string(rest[:size]) != kind {
		return nil, false
	}
	rest = rest[size:]
	if binary.BigEndian.Uint64(rest) != sequence {
		return nil, false
	}
	length := int(binary.BigEndian.Uint32(rest[8:]))
	data := rest[12:]
	return data, length == len(data)
}
