package control

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/protocol/bindings"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

const (
	// callRetryMillis is when a call whose primary changed may be sent again.
	callRetryMillis = 1000
	// Outcomes of a call that was not acknowledged.
	outcomeNotCommitted = "not_kept"
	outcomeUnknown      = "unknown"
)

// operatorCall is a call that the control primary carries out.
type operatorCall struct {
	path  string
	value *fastjson.Value
	// reply is called once with the result.
	reply func(message.OperatorCallResult)
}

func (c operatorCall) id() string { return string(c.value.GetStringBytes("id")) }

// operations holds what is done with each operators' call. All of them are
// forwarded to the control primary.
var operations = map[string]func(*Server, operatorCall){
	admin.PathPutBindings:     (*Server).putBindings,
	admin.PathListBindings:    (*Server).listBindings,
	admin.PathScheduleChange:  (*Server).scheduleChange,
	admin.PathListChanges:     (*Server).listChanges,
	admin.PathReplaceManifest: (*Server).replaceManifest,
	admin.PathFetchManifest:   (*Server).fetchManifest,
}

// onOperatorCall carries out an operators' call as the control primary; any
// other node names the primary.
func (s *Server) onOperatorCall(call message.OperatorCall, reply func(any)) {
	s.mutex.Lock()
	isPrimary, primary := s.isPrimaryAt(s.node.Now()), s.distributor.Record().Primary
	s.mutex.Unlock()
	if !isPrimary {
		reply(message.OperatorCallResult{NotPrimary: true, Primary: primary})
		return
	}
	value, violations := s.node.Schemas.ValidateRequest(call.Path, call.Body)
	operate, known := operations[call.Path]
	if len(violations) > 0 || !known {
		reply(rejected(http.StatusBadRequest, "call refused", violations...))
		return
	}
	operate(s, operatorCall{path: call.Path, value: value, reply: func(result message.OperatorCallResult) { reply(result) }})
}

func newCallResult(status int, answer any) message.OperatorCallResult {
	return message.OperatorCallResult{Status: status, Body: encode(answer)}
}

// rejected is the result of a call that changed nothing.
func rejected(status int, reason string, violations ...schema.Violation) message.OperatorCallResult {
	return newCallResult(status, node.NewErrorResponse(reason, violations...))
}

// conflicting is the result of a call that contradicts a binding set which was
// accepted before.
func conflicting(reason string, sequence uint64) message.OperatorCallResult {
	response := node.NewErrorResponse(reason)
	response.Sequence = &sequence
	return newCallResult(http.StatusConflict, response)
}

// unacknowledged is the result of a call during which the control primary
// changed; it may be sent again with the same id.
func unacknowledged(outcome string, retryMillis int64) message.OperatorCallResult {
	response := node.NewErrorResponse("the control primary changed under the call")
	response.Outcome, response.RetryAfterMillis = outcome, retryMillis
	return newCallResult(http.StatusServiceUnavailable, response)
}

// mutation makes the writes of a call from the state as it is then; a call that
// is rejected makes none.
type mutation func(state *store.Table, wallTime int64) (message.OperatorCallResult, []store.Put)

// applyOnce carries out a call whose id makes it idempotent: a repeated call
// gets the result of the first.
func (s *Server) applyOnce(call operatorCall, mutate mutation) {
	wallTime := s.wallTime()
	var result message.OperatorCallResult
	s.submit(func(state *store.Table) []store.Put {
		if recorded, found := callresult.Find(state, call.id()); found {
			result = repeatedResult(call, recorded)
			return nil
		}
		var puts []store.Put
		result, puts = mutate(state, wallTime)
		if len(puts) == 0 {
			return nil
		}
		recorded := callresult.Result{Status: result.Status, Body: result.Body, Path: call.path}
		return callresult.Record(state, call.id(), recorded, puts)
	}, func(submitted consensus.SubmitResult) {
		if !submitted.Committed {
			result = unacknowledged(outcomeOf(submitted), callRetryMillis)
		}
		s.node.Counters.Add("operate_"+strings.ReplaceAll(strings.TrimPrefix(call.path, "/v1/"), "/", "_"), 1)
		call.reply(result)
	})
}

func repeatedResult(call operatorCall, recorded callresult.Result) message.OperatorCallResult {
	if recorded.Path != call.path {
		return rejected(http.StatusConflict, "the id was used for another call")
	}
	return message.OperatorCallResult{Status: recorded.Status, Body: recorded.Body}
}

func outcomeOf(submitted consensus.SubmitResult) string {
	if submitted.OutcomeUnknown {
		return outcomeUnknown
	}
	return outcomeNotCommitted
}

func (s *Server) knowsDatabase(database string) bool {
	observations := s.observations()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Contains(s.distributor.Databases(observations), database)
}

func (s *Server) putBindings(call operatorCall) {
	set, violations := bindings.Parse(call.value, s.knowsDatabase)
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
	set, violations := bindings.Parse(call.value, s.knowsDatabase)
	at, timeViolations := bindings.ParseScheduledTime(call.value, s.wallTime())
	violations = append(violations, timeViolations...)
	s.applyOnce(call, func(state *store.Table, wallTime int64) (message.OperatorCallResult, []store.Put) {
		if len(violations) > 0 {
			return rejected(http.StatusUnprocessableEntity, "the change is broken; nothing of it was taken", violations...), nil
		}
		puts, err := rollout.Schedule(state, call.id(), at, set, wallTime)
		var conflict *rollout.OrderError
		if errors.As(err, &conflict) {
			reason := fmt.Sprintf("sequence %d, due at %d, is on its way already: book for that moment or later",
				conflict.Set.Sequence, millis(conflict.Set.NotBefore))
			return conflicting(reason, conflict.Set.Sequence), nil
		}
		return newCallResult(http.StatusOK, scheduleChangeAnswer{EffectiveAtMillis: millis(at), ID: call.id()}), puts
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

// millis gives a wall time in ns as one in ms.
func millis(wallTime int64) int64 { return wallTime / int64(time.Millisecond) }
