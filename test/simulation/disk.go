package simulation

import (
	"errors"
	"slices"
	"time"
)

type disk struct {
	files      map[string][]byte
	failing    bool
	writeDelay time.Duration
	hangsUntil time.Duration
	writes     int
}

func newDisk() *disk { return &disk{files: map[string][]byte{}} }

var errDiskFull = errors.New("no space left on device")

func (d *disk) Write(name string, data []byte) error {
	if d.failing {
		return errDiskFull
	}
	d.writes++
	d.files[name] = slices.Clone(data)
	return nil
}

func (d *disk) Read(name string) ([]byte, error) {
	data, found := d.files[name]
	if !found {
		return nil, errors.New("no such file")
	}
	return data, nil
}

func (d *disk) Names() ([]string, error) {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *disk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

func (d *disk) tear() {
	names, _ := d.Names()
	if len(names) > 0 {
		last := names[len(names)-1]
		d.files[last] = d.files[last][:len(d.files[last])/2]
	}
}

func (d *disk) repair() { d.failing, d.writeDelay, d.hangsUntil = false, 0, 0 }
