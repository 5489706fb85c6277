package control

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/protocol/bindings"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func (s *Server) databaseExists(database string) bool {
	observations := s.observations()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Contains(s.distributor.Databases(observations), database)
}

func (s *Server) putBindings(call operatorCall) {
	set, violations := bindings.Parse(call.value, s.databaseExists)
	if len(violations) > 0 {
		call.reply(rejected(http.StatusUnprocessableEntity, "the set is broken; nothing of it was taken", violations...))
		return
	}
	expected := call.value.GetUint64("expected")
	s.applyOnce(call, func(state *store.Table, wallTime int64) (message.OperatorCallResult, []store.Put) {
		puts, err := rollout.AcceptBindings(state, expected, set, "call "+call.id(), wallTime)
		var conflict *rollout.SequenceError
		if errors.As(err, &conflict) {
			return conflicting(fmt.Sprintf("sequence %d was expected, %d is current", expected, conflict.Newest), conflict.Newest), nil
		}
		return newCallResult(http.StatusOK, putBindingsAnswer{Sequence: expected + 1}), puts
	})
}

func (s *Server) scheduleChange(call operatorCall) {
	set, violations := bindings.Parse(call.value, s.databaseExists)
	effectiveAt, timeViolations := bindings.ParseScheduledTime(call.value, s.wallTime())
	violations = append(violations, timeViolations...)
	s.applyOnce(call, func(state *store.Table, wallTime int64) (message.OperatorCallResult, []store.Put) {
		if len(violations) > 0 {
			return rejected(http.StatusUnprocessableEntity, "the change is broken; nothing of it was taken", violations...), nil
		}
		puts, err := rollout.Schedule(state, call.id(), effectiveAt, set, wallTime)
		var conflict *rollout.OrderError
		if errors.As(err, &conflict) {
			reason := fmt.Sprintf("sequence %d, due at %d, is on its way already: book for that moment or later",
				conflict.Set.Sequence, millis(conflict.Set.NotBefore))
			return conflicting(reason, conflict.Set.Sequence), nil
		}
		return newCallResult(http.StatusOK, scheduleChangeAnswer{EffectiveAtMillis: millis(effectiveAt), ID: call.id()}), puts
	})
}

func (s *Server) listChanges(call operatorCall) {
	s.mutex.Lock()
	state := s.distributor.State()
	s.mutex.Unlock()
	changes := []scheduledChange{}
	for _, key := range state.Keys(model.PrefixScheduledChange) {
		if change, found := store.Get(state, key, model.ScheduledChangeFrom); found {
			changes = append(changes, scheduledChange{
				EffectiveAtMillis: millis(change.EffectiveAt), Bindings: admin.NewBindings(change.Bindings), ID: change.ID,
			})
		}
	}
	call.reply(newCallResult(http.StatusOK, listChangesAnswer{Changes: changes}))
}

func (s *Server) listBindings(call operatorCall) {
	s.mutex.Lock()
	snapshot, wallTime := s.distributor.Snapshot(), s.wallTimeLocked()
	s.mutex.Unlock()
	call.reply(newCallResult(http.StatusOK, admin.NewBindingSets(s.node.Config().Name, snapshot, snapshot.ActiveSet(wallTime))))
}

// millis converts a wall time from ns to ms.
func millis(wallTime int64) int64 { return wallTime / int64(time.Millisecond) }
