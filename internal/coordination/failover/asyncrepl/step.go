package asyncrepl

import (
	"fmt"
	"maps"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

// Promote is the effect that asks the platform to make an instance the primary of a
// term.
type Promote struct {
	Database string
	Instance string
	Address  string
	Term     uint64
}

type phaseHandler func(Evidence, Timing) []failover.Effect

var phaseHandlers = map[string]phaseHandler{
	"":                   onUnrecorded,
	model.PhaseOpen:      onOpen,
	model.PhaseClosing:   onClosing,
	model.PhaseClosed:    onClosed,
	model.PhasePromoting: onPromoting,
}

// Step returns the effects that follow from the evidence, to be executed in order. They
// are of the types failover.Record and Promote.
func Step(evidence Evidence, timing Timing) []failover.Effect {
	return phaseHandlers[evidence.Writer.Phase](evidence, timing)
}

// onUnrecorded records the writer role of a database that has none yet. It requires
// exactly one responsive primary, and at least one responsive replica for its commits.
func onUnrecorded(evidence Evidence, timing Timing) []failover.Effect {
	var primaries []model.Instance
	replicas := map[string]string{}
	for _, observed := range evidence.responsive(timing) {
		instance := observed.Instance
		if instance.Role == model.RolePrimary {
			primaries = append(primaries, instance)
		}
		if instance.Role == model.RoleReplica {
			replicas[instance.Name] = instance.Incarnation
		}
	}
	if len(primaries) != 1 || len(replicas) == 0 {
		return nil
	}
	primary := primaries[0]
	writer := model.WriterRole{
		Database:           evidence.Database,
		Term:               primary.Term,
		Primary:            primary.Name,
		PrimaryIncarnation: primary.Incarnation,
		Phase:              model.PhaseOpen,
		LastTransitionAt:   evidence.WallNanos,
		HighWatermark:      primary.Position,
		RequiredReplicas:   replicas,
		Candidates:         maps.Clone(replicas),
	}
	return []failover.Effect{failover.Record{Writer: writer, Change: "writer role known", Reason: primaryOfTermReason(primary)}}
}

func primaryOfTermReason(instance model.Instance) string {
	return fmt.Sprintf("%s announces itself primary of term %d", instance.Name, instance.Term)
}

// onOpen closes the term if the primary is suspected, or records why the term cannot be
// closed. If the primary is not suspected, it maintains the replica sets.
func onOpen(evidence Evidence, timing Timing) []failover.Effect {
	primary, found := evidence.observation(evidence.Writer.Primary)
	reason, suspected := suspectPrimary(evidence, primary, found, timing)
	if !suspected {
		return maintainReplicas(evidence, primary, timing)
	}
	if len(evidence.Writer.Candidates) == 0 {
		return failover.RecordReason(evidence.Writer, "primary is gone, and no replica is shown to hold every confirmed commit: nothing is promoted")
	}
	if found && primary.Instance.Leaving && len(evidence.promotable(timing)) == 0 {
		return failover.RecordReason(evidence.Writer, "primary is leaving, and no candidate is reachable")
	}
	return []failover.Effect{failover.CloseTerm(evidence.Writer, evidence.WallNanos, reason)}
}

func suspectPrimary(evidence Evidence, primary Observation, found bool, timing Timing) (reason string, suspected bool) {
	if !found {
		return "no node has reached it", evidence.ReportingNodes > 0 && evidence.GatheredFor > 2*timing.SilenceTimeout
	}
	if primary.Instance.Leaving {
		return "announces that it is leaving", true
	}
	responsive := primary.ContactAge <= timing.SilenceTimeout
	if responsive && primary.Instance.Incarnation != evidence.Writer.PrimaryIncarnation {
		return "came back without its data", true
	}
	if reason, unreachable := primary.unreachable(timing); unreachable {
		return reason, true
	}
	return "announces that it is no longer primary", responsive && primary.Instance.Role != model.RolePrimary
}

// onClosing waits until no node with a lease writes to the primary any more.
func onClosing(evidence Evidence, _ Timing) []failover.Effect {
	if !evidence.Settled {
		return nil
	}
	writer := model.CloneWriterRole(evidence.Writer)
	writer.Phase = model.PhaseClosed
	writer.LastTransitionAt = evidence.WallNanos
	return []failover.Effect{failover.Record{Writer: writer, Change: "term closed", Reason: "every node that may hold a lease has stopped writing there"}}
}
