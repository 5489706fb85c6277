package syncrepl

import (
	"fmt"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// Promote is the effect of asking the platform to make an instance the primary.
type Promote struct {
	Database string
	Instance string
	// LeaseHolder is the control server that makes the call, FencingToken its
	// token. The platform may refuse a token below one that it has seen.
	LeaseHolder  string
	FencingToken uint64
}

// QueryStatus is the effect of asking an instance for its status.
type QueryStatus struct {
	Instance string
	Address  string
}

// StepDown is the effect of ordering an instance out of the role of primary, in
// favor of a term.
type StepDown struct {
	Instance string
	Address  string
	Term     uint64
}

// ReportBound is the effect of reporting a position to the control primary: it
// covers every commit that was acknowledged before the gap of that tenure.
type ReportBound struct {
	Database    string
	Tenure      string
	GapSequence uint64
	Position    model.Position
}

type phaseHandler func(Evidence, Timing) []failover.Effect

var phaseHandlers = map[string]phaseHandler{
	"":                   onUnknown,
	model.PhaseOpen:      onOpen,
	model.PhaseClosing:   onClosing,
	model.PhaseClosed:    onClosing,
	model.PhasePromoting: onPromoting,
}

// Step returns the effects that the evidence calls for, to be executed in
// order: values of failover.Record and of the effects of this package.
func Step(evidence Evidence, timing Timing) []failover.Effect {
	return phaseHandlers[evidence.Writer.Phase](evidence, timing)
}

func queryStatus(instance model.Instance) QueryStatus {
	return QueryStatus{Instance: instance.Name, Address: instance.Address}
}

func saysPrimary(instance model.Instance, term uint64) string {
	return fmt.Sprintf("%s says it is primary of term %d", instance.Name, term)
}
