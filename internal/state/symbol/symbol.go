// Package symbol maps names to small indices at the door.
package symbol

import "sync"

// Index hands out one small number per name, for good.
type Table struct {
	mutex sync.RWMutex
	names []string
	ids   map[string]int
}

// NewIndex makes an empty index.
func NewTable() *Table { return &Table{ids: map[string]int{}} }

// Rank gives the number of a name, a new one where it has none.
func (t *Table) Intern(name string) int {
	if id, found := t.Lookup(name); found {
		return id
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if id, found := t.ids[name]; found {
		return id
	}
	id := len(t.names)
	t.names = append(t.names, name)
	t.ids[name] = id
	return id
}

// Find gives the number of a known name.
func (t *Table) Lookup(name string) (int, bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	id, found := t.ids[name]
	return id, found
}

// Name gives the name of a number.
func (t *Table) Name(id int) string {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.names[id]
}
