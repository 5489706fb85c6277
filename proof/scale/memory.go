package scale

import (
	"maps"
	"os"
	"slices"
	"sync"
)

// memory is a disk that takes no time, so that a fleet within one process does
// not hang on how busy the machine's disk is.
type memory struct {
	mutex sync.Mutex
	files map[string][]byte
}

func (m *memory) Write(name string, data []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.files[name] = slices.Clone(data)
	return nil
}

func (m *memory) Read(name string) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	data, isHeld := m.files[name]
	if !isHeld {
		return nil, os.ErrNotExist
	}
	return data, nil
}

func (m *memory) Names() ([]string, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memory) Remove(name string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.files, name)
	return nil
}
