package asyncrepl

import (
	"fmt"
	"time"

	"tansyseam/internal/state/model"
)

// Observation is the combined view that the control primary and the nodes have of one
// instance. Ages are relative to the time at which the evidence was collected.
type Observation struct {
	Instance model.Instance
	// ContactAge is the age of the latest announcement or answer that the control
	// primary or a node with a lease received from the instance.
	ContactAge time.Duration
	// PositionAge is the time since a node sent the last query for the instance's
	// position that was answered. If Instance is the control primary's own
	// observation, it is so long that the position never counts as recent.
	PositionAge time.Duration
	// SilentNodes is the number of nodes, out of ReportingNodes, that received
	// neither an announcement nor an answer within the silence timeout. Only nodes
	// with a lease are counted.
	SilentNodes    int
	ReportingNodes int
	// CommitWait is the longest time that a pending commit has been waiting for this
	// replica.
	CommitWait time.Duration
}

// Evidence is the input of a step, collected by the control primary.
type Evidence struct {
	Database string
	Writer   model.WriterRole
	// Known is true if a writer role is recorded for the database.
	Known        bool
	Observations []Observation
	// Settled is true if every node that may hold a lease has acknowledged the
	// recorded writer role. SettledFor is how long this has been true.
	Settled    bool
	SettledFor time.Duration
	// PrimaryPosition is the position of the primary that was known at the first
	// contact with it after the writer role was settled. It is valid if
	// HasPrimaryPosition is true.
	PrimaryPosition    model.Position
	HasPrimaryPosition bool
	// ReportingNodes is the number of nodes with a lease that reported recently.
	ReportingNodes int
	// GatheredFor is how long the control primary has collected reports.
	GatheredFor time.Duration
	// WallNanos is the current wall time, in nanoseconds since the Unix epoch.
	WallNanos int64
}

func (e Evidence) observation(name string) (Observation, bool) {
	for _, observed := range e.Observations {
		if observed.Instance.Name == name {
			return observed, true
		}
	}
	return Observation{}, false
}

// responsive returns the instances that had contact with the control primary or a node
// within the silence timeout.
func (e Evidence) responsive(timing Timing) []Observation {
	var responsive []Observation
	for _, observed := range e.Observations {
		if observed.ContactAge <= timing.SilenceTimeout {
			responsive = append(responsive, observed)
		}
	}
	return responsive
}

// promotable returns the responsive candidates that hold all confirmed commits.
func (e Evidence) promotable(timing Timing) []Observation {
	var promotable []Observation
	for _, observed := range e.responsive(timing) {
		instance := observed.Instance
		incarnation, isCandidate := e.Writer.Candidates[instance.Name]
		eligible := isCandidate && !instance.Leaving && instance.Name != e.Writer.Primary
		if eligible && e.holdsConfirmedCommits(instance, incarnation) {
			promotable = append(promotable, observed)
		}
	}
	return promotable
}

// holdsConfirmedCommits reports whether an instance still has the data of the recorded
// incarnation, and all confirmed commits. An instance that lost its data returns with
// a new incarnation, and then its position does not prove which commits it holds.
func (e Evidence) holdsConfirmedCommits(instance model.Instance, incarnation string) bool {
	return instance.Incarnation == incarnation && !instance.Position.IsBefore(e.Writer.HighWatermark)
}

// unreachable reports whether neither the control primary nor a node had contact with an
// instance within the silence timeout, and most of the reporting nodes count it as
// silent. The reason is for the audit log.
func (o Observation) unreachable(timing Timing) (reason string, unreachable bool) {
	if o.ContactAge <= timing.SilenceTimeout || o.SilentNodes*2 <= o.ReportingNodes {
		return "", false
	}
	return fmt.Sprintf("unreachable for %d ms, from %d of %d nodes", o.ContactAge.Milliseconds(), o.SilentNodes, o.ReportingNodes), true
}
