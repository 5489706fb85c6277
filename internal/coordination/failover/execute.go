package failover

import "time"

const (
	// EvidenceTimeout is the timeout of a request to the control primary for the
	// evidence on a database.
	EvidenceTimeout = 300 * time.Millisecond
	// RecordTimeout is the timeout of a request to the control primary to commit a
	// Record.
	RecordTimeout = 2 * time.Second
)

// Executor carries out the effects of one step of a failover machine.
type Executor struct {
	// Record asks the control primary to commit a record, and calls committed once
	// the record is committed. It does not call committed if the record is refused
	// or lost.
	Record func(record Record, committed func())
	// Act carries out an effect that is not a Record.
	Act func(effect Effect)
	// Finish, if not nil, is called once all effects are carried out. It is not called
	// if a record is refused or lost.
	Finish func()
}

// Execute carries out effects in order. The effects after a Record wait until the
// Record is committed, because they may depend on it. A control server that takes over
// therefore finds the Record if any of these effects was carried out.
func (e Executor) Execute(effects []Effect) {
	for index, effect := range effects {
		if record, ok := effect.(Record); ok {
			rest := effects[index+1:]
			e.Record(record, func() { e.Execute(rest) })
			return
		}
		e.Act(effect)
	}
	if e.Finish != nil {
		e.Finish()
	}
}
