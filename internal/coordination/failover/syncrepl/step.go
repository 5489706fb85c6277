package syncrepl

import (
	"fmt"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// Promote is the effect that asks the platform to make an instance the primary.
type Promote struct {
	Database string
	Instance string
	// LeaseHolder is the control server that makes the call. FencingToken is the token
	// of the call; the platform may refuse a token that is lower than one that it has
	// already received.
	LeaseHolder  string
	FencingToken uint64
}

// QueryStatus is the effect that asks an instance for its status.
type QueryStatus struct {
	Instance string
	Address  string
}

// StepDown is the effect that orders an instance to give up the role of primary. Term is
// the current term, in which another instance is primary.
type StepDown struct {
	Instance string
	Address  string
	Term     uint64
}

// ReportBound is the effect that reports a position to the control primary. The position
// covers every commit that was acknowledged before gap GapSequence of the tenure.
type ReportBound struct {
	Database    string
	Tenure      string
	GapSequence uint64
	Position    model.Position
}

type phaseHandler func(Evidence, Timing) []failover.Effect

var phaseHandlers = map[string]phaseHandler{
	"":                   onUnrecorded,
	model.PhaseOpen:      onOpen,
	model.PhaseClosing:   onClosing,
	model.PhaseClosed:    onClosing,
	model.PhasePromoting: onPromoting,
}

// Step returns the effects that follow from the evidence, to be executed in order. They
// are of the type failover.Record and of the effect types of this package.
func Step(evidence Evidence, timing Timing) []failover.Effect {
	return phaseHandlers[evidence.Writer.Phase](evidence, timing)
}

func queryStatus(instance model.Instance) QueryStatus {
	return QueryStatus{Instance: instance.Name, Address: instance.Address}
}

func primaryOfTermReason(instance model.Instance, term uint64) string {
	return fmt.Sprintf("%s says it is primary of term %d", instance.Name, term)
}
