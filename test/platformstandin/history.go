package platformstandin

import (
	"slices"
	"sync"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// History collects the events that the stand-ins record. It is safe for
// concurrent use.
type History struct {
	mutex    sync.Mutex
	group    *worker.Group
	recorded linehistory.History
}

// NewHistory returns an empty history that uses the group's clock.
func NewHistory(group *worker.Group) *History { return &History{group: group} }

// Update calls change with the history while it holds the lock.
func (h *History) Update(change func(*linehistory.History)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	change(&h.recorded)
}

// Copy returns a copy of the history recorded so far.
func (h *History) Copy() linehistory.History {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	copied := h.recorded
	copied.Executions, copied.Queries = slices.Clone(copied.Executions), slices.Clone(copied.Queries)
	copied.Versions, copied.Promotions = slices.Clone(copied.Versions), slices.Clone(copied.Promotions)
	return copied
}
