package rollout

import (
	"fmt"
	"time"

	"tansyseam/internal/coordination/schedule"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Schedule returns the puts that store a change of the bindings for a later time.
// Sets take effect in the order of their sequences, so it returns an OrderError if a
// set with a later effective time is already being distributed.
func Schedule(state *store.Table, id string, effectiveAt int64, bindings []model.Binding, wallNanos int64) ([]store.Put, error) {
	for _, set := range model.ReadSnapshot(state).Sets {
		isActive := set.EffectiveAt != 0 && set.EffectiveAt <= wallNanos
		if set.NotBefore > effectiveAt && !isActive {
			return nil, &OrderError{Set: set}
		}
	}
	change := model.ScheduledChange{ID: id, EffectiveAt: effectiveAt, Bindings: bindings, Order: state.Version.Sequence}
	puts := []store.Put{{Key: model.PrefixScheduledChange + id, Data: store.Encode(change)}}
	action := "change scheduled: " + id
	return append(puts, auditPuts(state, wallNanos, action, fmt.Sprintf("for %d", milliseconds(effectiveAt)))...), nil
}

// NextScheduled returns the scheduled change that is due to be accepted.
func NextScheduled(state *store.Table, wallNanos int64) (model.ScheduledChange, bool) {
	var changes []model.ScheduledChange
	for _, key := range state.Keys(model.PrefixScheduledChange) {
		if change, found := store.Get(state, key, model.ScheduledChangeFrom); found {
			changes = append(changes, change)
		}
	}
	return schedule.NextDue(changes, wallNanos)
}

// AcceptScheduled returns the puts that accept the scheduled change that is due.
func AcceptScheduled(state *store.Table, wallNanos int64) []store.Put {
	change, due := NextScheduled(state, wallNanos)
	if !due {
		return nil
	}
	set := successor(model.ReadSnapshot(state).NewestSet(), model.BindingSet{
		Bindings:   change.Bindings,
		NotBefore:  change.EffectiveAt,
		AcceptedAt: wallNanos,
		Source:     "booking " + change.ID,
	})
	puts := []store.Put{{Key: model.PrefixScheduledChange + change.ID, Deleted: true}, setPut(set)}
	action := fmt.Sprintf("scheduled change %s accepted as sequence %d", change.ID, set.Sequence)
	return append(puts, auditPuts(state, wallNanos, action, "its effective time is near")...)
}

// AssignEffectiveTimes returns the puts that give the pending sets their effective
// time, which is earliest or later. Sets written after the version seen are left
// out, since not every node is known to have them. Tenure identifies the primary's
// tenure that assigns the times.
func AssignEffectiveTimes(state *store.Table, applied store.Version, earliest, wallNanos int64, tenure string) []store.Put {
	var puts []store.Put
	newest := uint64(0)
	for _, set := range schedule.AssignEffectiveTimes(model.ReadSnapshot(state).Sets, earliest) {
		version := state.Records[model.BindingSetKey(set.Sequence)].Version
		if applied.IsBefore(version) {
			continue
		}
		set.ScheduledBy = tenure
		puts = append(puts, setPut(set))
		newest = set.Sequence
	}
	if len(puts) == 0 {
		return nil
	}
	action := fmt.Sprintf("sequence %d takes effect at %d", newest, milliseconds(earliest))
	return append(puts, auditPuts(state, wallNanos, action, "every leased node has acknowledged it")...)
}

// milliseconds converts a Unix time in nanoseconds.
func milliseconds(wallNanos int64) int64 { return wallNanos / int64(time.Millisecond) }
