package control

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/protocol/bindings"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (s *Server) registerEndpoints() {
	passes := []string{"/v1/bindings/put", "/v1/changes/book", "/v1/changes/list", "/v1/bindings/list", "/v1/manifest/replace", "/v1/manifest/fetch"}
	for _, path := range passes {
		s.node.HandleCall(path, func(_ *fastjson.Value, raw []byte, _ *http.Request) (int, any) { return s.node.ForwardCall(path, raw) })
	}
	s.node.HandleCall("/v1/fleet", func(*fastjson.Value, []byte, *http.Request) (int, any) {
		return http.StatusOK, s.report(admin.QueryFleet)
	})
	s.node.HandleCall("/v1/vitals", func(*fastjson.Value, []byte, *http.Request) (int, any) { return s.health() })
	s.node.HandleCall("/v1/ready", func(*fastjson.Value, []byte, *http.Request) (int, any) { return s.ready() })
}

func (s *Server) health() (int, any) {
	ready, why := s.readiness()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record := s.distributor.Record()
	return http.StatusOK, healthAnswer{
		Backup: record.Backup, Epoch: record.Epoch, Ready: ready, Node: s.node.Config().Name, Primary: record.Primary,
		Sequence: s.appliedStamp.Sequence, Reason: why,
	}
}

func (s *Server) ready() (int, any) { return admin.NewReadiness(s.readiness()) }

func (s *Server) readiness() (bool, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.voters) == 0 && s.distributor.Record().Primary == "" {
		return false, "the fleet is not formed, or this machine does not know where it stands"
	}
	return true, ""
}

type operation func(s *Server, value *fastjson.Value, path string, raw []byte, answer func(any))

var operations = map[string]operation{
	"/v1/bindings/put":  (*Server).putBindings,
	"/v1/changes/book":  (*Server).scheduleChange,
	"/v1/changes/list":  (*Server).listChanges,
	"/v1/bindings/list": (*Server).listBindings,

	"/v1/manifest/replace": (*Server).replaceManifest,
	"/v1/manifest/fetch":   (*Server).fetchManifest,
}

func (s *Server) onOperate(call message.OperatorCall, answer func(any)) {
	s.mutex.Lock()
	elsewhere, primary := s.node.Now() >= s.primaryUntil, s.distributor.Record().Primary
	s.mutex.Unlock()
	if elsewhere {
		answer(message.OperatorCallResult{NotPrimary: true, Primary: primary})
		return
	}
	value, violations := s.node.Schemas.ValidateRequest(call.Path, call.Body)
	act, known := operations[call.Path]
	if len(violations) > 0 || !known {
		answer(operateReply(http.StatusBadRequest, node.NewErrorResponse("call refused", violations...)))
		return
	}
	act(s, value, call.Path, call.Body, answer)
}

func operateReply(status int, body any) message.OperatorCallResult {
	return message.OperatorCallResult{Status: status, Body: encode(body)}
}

type mutation func(stateTable *store.Table, wallTime int64) (status int, body any, puts []store.Put)

func (s *Server) applyOnce(value *fastjson.Value, path string, act mutation, answer func(any)) {
	id := string(value.GetStringBytes("id"))
	s.mutex.Lock()
	wallTime := s.wallNow()
	s.mutex.Unlock()
	var reply message.OperatorCallResult
	s.submit(func(stateTable *store.Table) []store.Put {
		if past, found := callresult.Find(stateTable, id); found {
			reply = message.OperatorCallResult{Status: past.Status, Body: past.Body}
			if past.Path != path {
				reply = operateReply(http.StatusConflict, node.NewErrorResponse("the id was used for another call"))
			}
			return nil
		}
		status, body, puts := act(stateTable, wallTime)
		reply = operateReply(status, body)
		if len(puts) == 0 {
			return nil
		}
		return callresult.Record(stateTable, id, callresult.Result{Status: reply.Status, Body: reply.Body, Path: path}, puts)
	}, func(done consensus.SubmitResult) {
		if !done.Committed {
			word := "not_kept"
			if done.OutcomeUnknown {
				word = "unknown"
			}
			refusal := node.NewErrorResponse("the control primary changed under the call")
			refusal.Outcome, refusal.RetryAfterMillis = word, 1000
			reply = operateReply(http.StatusServiceUnavailable, refusal)
		}
		s.node.Counters.Add("operate_"+strings.ReplaceAll(strings.TrimPrefix(path, "/v1/"), "/", "_"), 1)
		answer(reply)
	})
}

func (s *Server) knowsDatabase(database string) bool {
	observed := s.observations()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Contains(s.distributor.Databases(observed), database)
}

func conflictRefusal(text string, sequence uint64) node.ErrorResponse {
	refusal := node.NewErrorResponse(text)
	refusal.Sequence = &sequence
	return refusal
}

func (s *Server) putBindings(value *fastjson.Value, path string, _ []byte, answer func(any)) {
	set, violations := bindings.Parse(value, s.knowsDatabase)
	if len(violations) > 0 {
		answer(operateReply(http.StatusUnprocessableEntity, node.NewErrorResponse("the set is broken; nothing of it was taken", violations...)))
		return
	}
	expected := value.GetUint64("expected")
	s.applyOnce(value, path, func(stateTable *store.Table, wallTime int64) (int, any, []store.Put) {
		puts, newest := rollout.AcceptBindings(stateTable, expected, set, "call "+string(value.GetStringBytes("id")), wallTime)
		if len(puts) == 0 {
			return http.StatusConflict, conflictRefusal(fmt.Sprintf("sequence %d was expected, %d is current", expected, newest), newest), nil
		}
		return http.StatusOK, putBindingsAnswer{Sequence: newest + 1}, puts
	}, answer)
}

func (s *Server) scheduleChange(value *fastjson.Value, path string, _ []byte, answer func(any)) {
	s.mutex.Lock()
	wallTime := s.wallNow()
	s.mutex.Unlock()
	set, violations := bindings.Parse(value, s.knowsDatabase)
	at, timeViolations := bindings.ParseScheduledTime(value, wallTime)
	violations = append(violations, timeViolations...)
	id := string(value.GetStringBytes("id"))
	s.applyOnce(value, path, func(stateTable *store.Table, wallTime int64) (int, any, []store.Put) {
		if len(violations) > 0 {
			return http.StatusUnprocessableEntity, node.NewErrorResponse("the change is broken; nothing of it was taken", violations...), nil
		}
		puts, way := rollout.Schedule(stateTable, id, at, set, wallTime)
		if len(puts) == 0 {
			text := fmt.Sprintf("sequence %d, due at %d, is on its way already: book for that moment or later", way.Sequence, way.NotBefore/int64(time.Millisecond))
			return http.StatusConflict, conflictRefusal(text, way.Sequence), nil
		}
		return http.StatusOK, scheduleChangeAnswer{EffectiveAtMillis: at / int64(time.Millisecond), ID: id}, puts
	}, answer)
}

func (s *Server) listChanges(_ *fastjson.Value, _ string, _ []byte, answer func(any)) {
	s.mutex.Lock()
	stateTable := s.distributor.State()
	s.mutex.Unlock()
	changes := []scheduledChange{}
	for _, key := range stateTable.Keys(model.PrefixScheduledChange) {
		if change, found := store.Get(stateTable, key, model.ScheduledChangeFrom); found {
			changes = append(changes, scheduledChange{
				EffectiveAtMillis: change.EffectiveAt / int64(time.Millisecond), Bindings: admin.NewBindings(change.Bindings), ID: change.ID,
			})
		}
	}
	answer(operateReply(http.StatusOK, listChangesAnswer{Changes: changes}))
}

func (s *Server) listBindings(_ *fastjson.Value, _ string, _ []byte, answer func(any)) {
	s.mutex.Lock()
	snapshot, wallTime := s.distributor.Snapshot(), s.wallNow()
	s.mutex.Unlock()
	answer(operateReply(http.StatusOK, admin.NewBindingSets(s.node.Config().Name, snapshot, snapshot.ActiveSet(wallTime))))
}
