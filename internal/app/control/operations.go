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
	operate, found := operations[call.Path]
	if len(violations) > 0 || !found {
		reply(rejected(http.StatusBadRequest, "call refused", violations...))
		return
	}
	operate(s, operatorCall{path: call.Path, value: value, reply: func(result message.OperatorCallResult) { reply(result) }})
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
		s.node.Counters.Add(counterOf(call.path), 1)
		call.reply(result)
	})
}

// counterOf names the counter of an operators' call.
func counterOf(path string) string {
	return "operate_" + strings.ReplaceAll(strings.TrimPrefix(path, "/v1/"), "/", "_")
}
