package versionfile

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

const (
	// temporarySuffix is the suffix of files that are being written. It is the
	// suffix of the first release, so that temporary files left by an old build are
	// removed too.
	temporarySuffix = ".aside"
	// maxFileBytes limits how much of one file is read.
	maxFileBytes = 64 << 20

	directoryMode = 0o750
	fileMode      = 0o640
)

// Disk is the part of a file system that a Store needs, so that tests can replace it.
type Disk interface {
	// Write replaces a file atomically. Once it returns nil, the file survives a crash.
	Write(name string, data []byte) error
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Names returns the names of the files.
	Names() ([]string, error)
	// Remove deletes a file.
	Remove(name string) error
}

// Directory is a Disk that keeps its files in a directory of the file system. Its value
// is the path of the directory.
type Directory string

// OpenDirectory creates the directory if it does not exist, and removes temporary files
// that an earlier run did not finish.
func OpenDirectory(path string) (Directory, error) {
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return "", errors.Annotate(err, "data directory")
	}
	directory := Directory(path)
	names, err := directory.Names()
	if err != nil {
		return "", errors.Trace(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			_ = directory.Remove(name)
		}
	}
	return directory, nil
}

// Write replaces a file: it writes and syncs a temporary file, renames it, and syncs the
// directory.
func (d Directory) Write(name string, data []byte) error {
	temporary := d.path(name + temporarySuffix)
	if err := writeSynced(temporary, data); err != nil {
		return errors.Trace(err)
	}
	if err := os.Rename(temporary, d.path(name)); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(d.sync())
}

// Read returns at most the first 64 MiB of a file.
func (d Directory) Read(name string) ([]byte, error) {
	file, err := os.Open(d.path(name))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes))
	return data, errors.Trace(err)
}

// Names returns the names of the regular files.
func (d Directory) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
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
func (d Directory) Remove(name string) error {
	return errors.Trace(os.Remove(d.path(name)))
}

func (d Directory) path(name string) string { return filepath.Join(string(d), name) }

// sync makes renames in the directory durable.
func (d Directory) sync() error {
	file, err := os.Open(string(d))
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	return errors.Trace(file.Sync())
}

// writeSynced creates or replaces a file and syncs its content. If writing or syncing
// fails, it tries to remove the file.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close()
		_ = os.Remove(path)
		return errors.Trace(err)
	}
	return errors.Trace(file.Close())
}
