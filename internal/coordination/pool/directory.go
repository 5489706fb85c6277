package pool

// Directory keeps one entry per name, in the order in which the entries were
// added. Entries are never removed. The zero value is empty and ready to use.
type Directory[T any] struct {
	byName  map[string]T
	entries []T
}

// Get returns the entry of a name, or the zero value of T if there is none.
func (d *Directory[T]) Get(name string) T { return d.byName[name] }

// GetOrAdd returns the entry of a name. If there is none, it adds and returns the
// result of create.
func (d *Directory[T]) GetOrAdd(name string, create func() T) T {
	if entry, found := d.byName[name]; found {
		return entry
	}
	if d.byName == nil {
		d.byName = map[string]T{}
	}
	entry := create()
	d.byName[name] = entry
	d.entries = append(d.entries, entry)
	return entry
}

// All returns the entries in the order in which they were added. The caller
// must not change the slice.
func (d *Directory[T]) All() []T { return d.entries }
