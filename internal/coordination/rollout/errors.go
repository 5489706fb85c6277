package rollout

import (
	"fmt"

	"github.com/juju/errors"

	"tansyseam/internal/state/model"
)

// ErrVersionConflict is returned when a manifest with other content was already accepted
// under the same version.
const ErrVersionConflict = errors.ConstError("another manifest was accepted under this version")

// SequenceError is returned when the newest set is not the one that the caller expected.
type SequenceError struct {
	Expected uint64
	Newest   uint64
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("sequence %d was expected, but the newest is %d", e.Expected, e.Newest)
}

// OrderError is returned when a change cannot be scheduled for the requested time, because
// Set is already being distributed and takes effect later than that.
type OrderError struct {
	Set model.BindingSet
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("sequence %d, which takes effect later, is already being distributed", e.Set.Sequence)
}
