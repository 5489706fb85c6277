package simulation

import (
	"errors"
	"slices"
	"time"
)

var (
	errDiskFull     = errors.New("no space left on device")
	errFileNotFound = errors.New("no such file")
)

// disk is the simulated disk of a control server. Its files survive a crash.
type disk struct {
	files map[string][]byte
	// failing is true if writes fail with errDiskFull.
	failing bool
	// writeDelay is added to the duration of each write. No write ends before
	// hangsUntil.
	writeDelay time.Duration
	hangsUntil time.Duration
}

func newDisk() *disk { return &disk{files: map[string][]byte{}} }

// Write replaces a file. It returns errDiskFull if the disk is failing.
func (d *disk) Write(name string, data []byte) error {
	if d.failing {
		return errDiskFull
	}
	d.files[name] = slices.Clone(data)
	return nil
}

// Read returns the data of a file, or errFileNotFound.
func (d *disk) Read(name string) ([]byte, error) {
	data, found := d.files[name]
	if !found {
		return nil, errFileNotFound
	}
	return data, nil
}

// Names returns the sorted names of the files.
func (d *disk) Names() ([]string, error) {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Remove removes a file, if it exists.
func (d *disk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

// tear truncates the file whose name sorts last to half of its length, as a crash
// during a write may do.
func (d *disk) tear() {
	names, _ := d.Names()
	if len(names) > 0 {
		last := names[len(names)-1]
		d.files[last] = d.files[last][:len(d.files[last])/2]
	}
}

func (d *disk) repair() { d.failing, d.writeDelay, d.hangsUntil = false, 0, 0 }
