package platformstandin

import (
	"slices"
	"sync"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// History gathers what the stand-ins see; it is safe for concurrent use.
type History struct {
	mutex    sync.Mutex
	group    *worker.Group
	recorded linehistory.History
}

// NewHistory returns an empty history whose clock is the group's.
func NewHistory(group *worker.Group) *History { return &History{group: group} }

// Update changes the history.
func (h *History) Update(act func(*linehistory.History)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	act(&h.recorded)
}

// Copy returns what was recorded so far.
func (h *History) Copy() linehistory.History {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	copied := h.recorded
	copied.Executions, copied.Queries = slices.Clone(copied.Executions), slices.Clone(copied.Queries)
	copied.Versions, copied.Promotions = slices.Clone(copied.Versions), slices.Clone(copied.Promotions)
	return copied
}
