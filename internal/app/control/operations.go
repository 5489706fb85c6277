package control

import (
	"net/http"
	"strings"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/store"
)

// operatorCall is an operator's call that the control primary executes.
type operatorCall struct {
	path  string
	value *fastjson.Value
	// reply is called once with the result.
	reply func(message.OperatorCallResult)
}

func (c operatorCall) id() string { return string(c.value.GetStringBytes("id")) }

// operations maps the path of each operator's call to the method that executes
// it. All of these calls are forwarded to the control primary.
var operations = map[string]func(*Server, operatorCall){
	admin.PathPutBindings:     (*Server).putBindings,
	admin.PathListBindings:    (*Server).listBindings,
	admin.PathScheduleChange:  (*Server).scheduleChange,
	admin.PathListChanges:     (*Server).listChanges,
	admin.PathReplaceManifest: (*Server).replaceManifest,
	admin.PathFetchManifest:   (*Server).fetchManifest,
}

// onOperatorCall executes an operator's call if this node is the control primary.
// Any other node replies with the name of the primary.
func (s *Server) onOperatorCall(call message.OperatorCall, reply func(any)) {
	s.mutex.Lock()
	isPrimary, primary := s.isPrimaryAt(s.node.Now()), s.distributor.Record().Primary
	s.mutex.Unlock()
	if !isPrimary {
		reply(message.OperatorCallResult{NotPrimary: true, Primary: primary})
		return
	}
	value, violations := s.node.Schemas.ValidateRequest(call.Path, call.Body)
	operate, found := operations[call.Path]
	if len(violations) > 0 || !found {
		reply(rejected(http.StatusBadRequest, "call refused", violations...))
		return
	}
	operate(s, operatorCall{path: call.Path, value: value, reply: func(result message.OperatorCallResult) { reply(result) }})
}

// mutation computes a call's result and writes from the state at the time of the
// write. A rejected call has no writes.
type mutation func(state *store.Table, wallTime int64) (message.OperatorCallResult, []store.Put)

// applyOnce executes a call whose id makes it idempotent: a call that repeats the
// id of an earlier call gets the recorded result of that call. A call without
// writes is not recorded, and is executed again if it is repeated.
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
		s.node.Counters.Add(counterOf(call.path), 1)
		call.reply(result)
	})
}

// counterOf returns the name of the counter of an operator's call.
func counterOf(path string) string {
	return "operate_" + strings.ReplaceAll(strings.TrimPrefix(path, "/v1/"), "/", "_")
}
