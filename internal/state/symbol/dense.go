// Package symbol maps names to small indices at the door.
package symbol

import "sync"

// Index hands out one small number per name, for good.
type Index struct {
	mutex sync.RWMutex
	names []string
	ranks map[string]int
}

// NewIndex makes an empty index.
func NewIndex() *Index { return &Index{ranks: map[string]int{}} }

// Rank gives the number of a name, a new one where it has none.
func (x *Index) Rank(name string) int {
	if rank, isKnown := x.Find(name); isKnown {
		return rank
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if rank, isKnown := x.ranks[name]; isKnown {
		return rank
	}
	rank := len(x.names)
	x.names = append(x.names, name)
	x.ranks[name] = rank
	return rank
}

// Find gives the number of a known name.
func (x *Index) Find(name string) (int, bool) {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	rank, isKnown := x.ranks[name]
	return rank, isKnown
}

// Name gives the name of a number.
func (x *Index) Name(rank int) string {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	return x.names[rank]
}
