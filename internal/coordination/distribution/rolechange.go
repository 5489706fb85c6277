package distribution

import (
	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// NewWriterRoleChange returns the change of a writer role described by a failover record.
// The parameter previous is the role on which the record was decided, exists reports
// whether there was such a role, and requestedBy is the name of the control node that made
// the decision.
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
