package distribution

import (
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// NewWriterRoleChange returns the change of a writer role that a record asks for.
// Previous is the role that the record was decided on, where it exists, and
// requestedBy names the control server that decided.
func NewWriterRoleChange(previous model.WriterRole, exists bool, record failover.Record, requestedBy string) WriterRoleChange {
	return WriterRoleChange{
		Previous:       previous,
		PreviousExists: exists,
		Next:           record.Writer,
		Action:         record.Change,
		Evidence:       record.Reason,
		RequestedBy:    requestedBy,
	}
}
