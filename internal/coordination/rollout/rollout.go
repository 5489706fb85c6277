// Package rollout decides how binding sets change: how a set is accepted from an
// operator or from the schedule, when it takes effect on all nodes, and when it is
// deleted. Its functions read the control state, which they do not change, and return the
// puts that carry out a decision. If the decision does not apply to that state, they return
// no puts or an error.
//
// A set passes through these states:
//   - scheduled: it is stored as a model.ScheduledChange;
//   - pending: it is accepted under a sequence and distributed to the nodes, but has no
//     effective time yet;
//   - waiting for its effective time;
//   - active;
//   - obsolete.
//
// The parameter wallNanos is the Unix time in nanoseconds by the control primary's clock.
// Effective times are Unix times in nanoseconds too.
package rollout

import (
	"fmt"

	"tansyseam/internal/coordination/audit"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// auditSubject is the subject of the audit entries about binding sets.
const auditSubject = "bindings"

// AcceptBindings returns the puts that accept a set of bindings as the successor of the
// sequence expected. It returns a SequenceError if expected is not the newest sequence.
func AcceptBindings(state *store.Table, expected uint64, bindings []model.Binding, source string, wallNanos int64) ([]store.Put, error) {
	snapshot := model.ReadSnapshot(state)
	newest := snapshot.NewestSet()
	if newest.Sequence != expected {
		return nil, &SequenceError{Expected: expected, Newest: newest.Sequence}
	}
	set := successor(newest, model.BindingSet{Bindings: bindings, AcceptedAt: wallNanos, Source: source})
	action := fmt.Sprintf("sequence %d accepted", set.Sequence)
	return append(acceptPuts(state, snapshot.Sets, set, nil), auditPuts(state, wallNanos, action, source)...), nil
}

// auditPuts returns the puts that add a decision about binding sets to the audit log.
func auditPuts(state *store.Table, wallNanos int64, action, evidence string) []store.Put {
	return audit.Puts(state, model.AuditEntry{
		At:       wallNanos,
		Subject:  auditSubject,
		Action:   action,
		Evidence: evidence,
	})
}

// successor returns a set with the sequence that follows the newest one. A set that does
// not come from a manifest inherits the version, databases and limits of the newest set.
func successor(newest, set model.BindingSet) model.BindingSet {
	set.Sequence = newest.Sequence + 1
	if set.Version == 0 {
		set.Version, set.Databases, set.Limits = newest.Version, newest.Databases, newest.Limits
	}
	return set
}

func setPut(set model.BindingSet) store.Put {
	return store.Put{Key: model.BindingSetKey(set.Sequence), Data: store.Encode(set)}
}

// ReplaceSets returns the puts that overwrite the stored sets with the given ones. A set
// that has been deleted in the meantime stays deleted.
func ReplaceSets(state *store.Table, sets []model.BindingSet) []store.Put {
	var puts []store.Put
	for _, set := range sets {
		if _, found := state.Records[model.BindingSetKey(set.Sequence)]; found {
			puts = append(puts, setPut(set))
		}
	}
	return puts
}

// DeleteObsolete returns the puts that delete the sets with a sequence below lowest, and
// the texts of manifests whose sets are not stored. The text of the newest manifest is
// always kept.
func DeleteObsolete(state *store.Table, lowest uint64) []store.Put {
	sets := model.ReadSnapshot(state).Sets
	var obsolete []model.BindingSet
	for _, set := range sets {
		if set.Sequence < lowest {
			obsolete = append(obsolete, set)
		}
	}
	return deletePuts(sets, obsolete, state.Keys(model.PrefixManifest))
}
