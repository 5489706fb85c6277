package rollout

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/schedule"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Schedule returns the puts that store a change of the bindings for a later time. It
// returns an OrderError if a set with a later effective time is already being distributed,
// since sets take effect in the order of their sequences.
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

// NextScheduled returns the first scheduled change, and reports whether it is due to be
// accepted now.
func NextScheduled(state *store.Table, wallNanos int64) (model.ScheduledChange, bool) {
	var changes []model.ScheduledChange
	for _, key := range state.Keys(model.PrefixScheduledChange) {
		if change, found := store.Get(state, key, model.ScheduledChangeFrom); found {
			changes = append(changes, change)
		}
	}
	return schedule.NextDue(changes, wallNanos)
}

// AcceptScheduled returns the puts that accept the next scheduled change. It returns no
// puts if no change is due.
func AcceptScheduled(state *store.Table, wallNanos int64) []store.Put {
	change, due := NextScheduled(state, wallNanos)
	if !due {
		return nil
	}
	snapshot := model.ReadSnapshot(state)
	set := successor(snapshot.NewestSet(), model.BindingSet{
		Bindings:   change.Bindings,
		NotBefore:  change.EffectiveAt,
		AcceptedAt: wallNanos,
		Source:     "booking " + change.ID,
	})
	puts := append([]store.Put{{Key: model.PrefixScheduledChange + change.ID, Deleted: true}}, acceptPuts(state, snapshot.Sets, set, nil)...)
	action := fmt.Sprintf("scheduled change %s accepted as sequence %d", change.ID, set.Sequence)
	return append(puts, auditPuts(state, wallNanos, action, "its effective time is near")...)
}

// AssignEffectiveTimes returns the puts that assign effective times to the pending sets,
// none of them before earliest. Sets written after acknowledged are left out, since some
// leased nodes may not have applied them yet. A set whose successor takes effect at the
// same time is deleted instead, because it would never be in effect. The parameter tenure
// identifies the primary's tenure that assigns the times.
func AssignEffectiveTimes(state *store.Table, acknowledged store.Version, earliest, wallNanos int64, tenure string) []store.Put {
	isUnacknowledged := func(set model.BindingSet) bool {
		return acknowledged.IsBefore(state.Records[model.BindingSetKey(set.Sequence)].Version)
	}
	sets := model.ReadSnapshot(state).Sets
	assigned := slices.DeleteFunc(schedule.AssignEffectiveTimes(sets, earliest), isUnacknowledged)
	assigned, superseded := dropSimultaneous(assigned)
	var puts []store.Put
	newest := uint64(0)
	for _, set := range assigned {
		set.ScheduledBy = tenure
		puts = append(puts, setPut(set))
		newest = set.Sequence
	}
	if len(puts) == 0 {
		return nil
	}
	puts = append(puts, deletePuts(sets, superseded, state.Keys(model.PrefixManifest))...)
	action := fmt.Sprintf("sequence %d takes effect at %d", newest, milliseconds(earliest))
	return append(puts, auditPuts(state, wallNanos, action, "every leased node has acknowledged it")...)
}

// milliseconds converts a Unix time in nanoseconds to milliseconds.
func milliseconds(wallNanos int64) int64 { return wallNanos / int64(time.Millisecond) }
