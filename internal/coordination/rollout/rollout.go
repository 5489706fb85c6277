// Package rollout decides how binding sets change: how a set is accepted from an
// operator or from the schedule, at what time it takes effect on all nodes, and when
// it is deleted. Its functions return the puts that carry out a decision against a
// copy of the control state; where that no longer applies, they return none or an error.
//
// A set passes through these states: scheduled (a model.ScheduledChange), pending
// (accepted under a sequence, without an effective time, while it is distributed to
// the nodes), waiting for its effective time, active, and obsolete.
//
// The parameter wallNanos is the control primary's Unix time in nanoseconds, and so are
// effective times.
package rollout

import (
	"fmt"

	"tansyseam/internal/coordination/audit"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// auditSubject is the subject of the audit entries about binding sets.
const auditSubject = "bindings"

// AcceptBindings returns the puts that accept a set of bindings as the successor of
// the sequence that the caller expects to be the newest. It returns a SequenceError if
// another one is.
func AcceptBindings(state *store.Table, expected uint64, bindings []model.Binding, source string, wallNanos int64) ([]store.Put, error) {
	newest := model.ReadSnapshot(state).NewestSet()
	if newest.Sequence != expected {
		return nil, &SequenceError{Expected: expected, Newest: newest.Sequence}
	}
	set := successor(newest, model.BindingSet{Bindings: bindings, AcceptedAt: wallNanos, Source: source})
	action := fmt.Sprintf("sequence %d accepted", set.Sequence)
	return append([]store.Put{setPut(set)}, auditPuts(state, wallNanos, action, source)...), nil
}

// auditPuts returns the puts that log a decision about binding sets.
func auditPuts(state *store.Table, wallNanos int64, action, evidence string) []store.Put {
	return audit.Puts(state, model.AuditEntry{
		At:       wallNanos,
		Subject:  auditSubject,
		Action:   action,
		Evidence: evidence,
	})
}

// successor gives a set the sequence after the newest. A set that is not of a
// manifest keeps the newest manifest's version, databases and limits.
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

// ReplaceSets returns the puts that write changed sets in place of those stored; a
// set that is stored no more stays deleted.
func ReplaceSets(state *store.Table, sets []model.BindingSet) []store.Put {
	var puts []store.Put
	for _, set := range sets {
		if _, found := state.Records[model.BindingSetKey(set.Sequence)]; found {
			puts = append(puts, setPut(set))
		}
	}
	return puts
}

// DeleteObsolete returns the puts that delete the sets below a sequence, and the
// manifests they were read from; the newest manifest is always kept.
func DeleteObsolete(state *store.Table, lowest uint64) []store.Put {
	var puts []store.Put
	for _, set := range model.ReadSnapshot(state).Sets {
		if set.Sequence < lowest {
			puts = append(puts, store.Put{Key: model.BindingSetKey(set.Sequence), Deleted: true})
		}
	}
	manifests := state.Keys(model.PrefixManifest)
	for index, key := range manifests {
		isNewest := index+1 == len(manifests)
		if !isNewest && key < ManifestKey(lowest) {
			puts = append(puts, store.Put{Key: key, Deleted: true})
		}
	}
	return puts
}
