package rollout

import (
	"fmt"

	"github.com/juju/errors"

	"tansyseam/internal/state/model"
)

// ErrVersionConflict says that a manifest with other content was accepted under the
// same version.
const ErrVersionConflict = errors.ConstError("another manifest was accepted under this version")

// SequenceError says that the newest set is not the one that the caller expected.
type SequenceError struct {
	Expected uint64
	Newest   uint64
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("sequence %d was expected, but the newest is %d", e.Expected, e.Newest)
}

// OrderError says that a change cannot be scheduled for a time, because a set that is
// already being distributed takes effect after it.
type OrderError struct {
	Set model.BindingSet
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("sequence %d, which takes effect later, is already being distributed", e.Set.Sequence)
}
