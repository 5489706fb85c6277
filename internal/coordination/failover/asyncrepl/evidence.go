package asyncrepl

import (
	"fmt"
	"time"

	"tansyseam/internal/state/model"
)

// Observation is what the nodes know of one instance. Ages count back from the
// moment at which the evidence was put together.
type Observation struct {
	Instance model.Instance
	// ContactAge is the age of the latest announcement to, or answer at, any node.
	ContactAge time.Duration
	// PositionAge is the age of the position in Instance.
	PositionAge time.Duration
	// SilentNodes counts the nodes with a lease that had neither an announcement
	// nor an answer within the silence timeout, out of ReportingNodes.
	SilentNodes    int
	ReportingNodes int
	// CommitWait is the longest time that a commit has waited for this replica.
	CommitWait time.Duration
}

// Evidence is all that a step depends on, put together by the control primary.
type Evidence struct {
	Database string
	Writer   model.WriterRole
	// Known says that a writer role is recorded for the database.
	Known        bool
	Observations []Observation
	// Settled says that every node that may hold a lease acknowledged the writer
	// role as it is recorded, SettledFor how long that has been so.
	Settled    bool
	SettledFor time.Duration
	// PrimaryPosition is a position that the primary had once the role was
	// settled. It is valid where HasPrimaryPosition is set.
	PrimaryPosition    model.Position
	HasPrimaryPosition bool
	// ReportingNodes counts the nodes with a lease that reported lately.
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

// responsive gives the instances with contact within the silence timeout.
func (e Evidence) responsive(timing Timing) []Observation {
	var found []Observation
	for _, observed := range e.Observations {
		if observed.ContactAge <= timing.SilenceTimeout {
			found = append(found, observed)
		}
	}
	return found
}

// promotable gives the responsive candidates that hold all confirmed commits.
func (e Evidence) promotable(timing Timing) []Observation {
	var found []Observation
	for _, observed := range e.responsive(timing) {
		instance := observed.Instance
		incarnation, candidate := e.Writer.Candidates[instance.Name]
		eligible := candidate && !instance.Leaving && instance.Name != e.Writer.Primary
		if eligible && e.holdsConfirmedCommits(instance, incarnation) {
			found = append(found, observed)
		}
	}
	return found
}

// holdsConfirmedCommits says whether an instance still has the data of a recorded
// incarnation, and all confirmed commits. One that lost its data comes back as
// another incarnation, whose position proves nothing.
func (e Evidence) holdsConfirmedCommits(instance model.Instance, incarnation string) bool {
	return instance.Incarnation == incarnation && !instance.Position.IsBefore(e.Writer.HighWatermark)
}

// unreachable says whether an instance is silent to most of the nodes, and gives
// the reason for the audit log.
func (o Observation) unreachable(timing Timing) (reason string, unreachable bool) {
	if o.ContactAge <= timing.SilenceTimeout || o.SilentNodes*2 <= o.ReportingNodes {
		return "", false
	}
	return fmt.Sprintf("unreachable for %d ms, from %d of %d nodes", o.ContactAge.Milliseconds(), o.SilentNodes, o.ReportingNodes), true
}
