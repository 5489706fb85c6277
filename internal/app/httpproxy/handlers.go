package httpproxy

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

type positionsByDatabase map[string]model.Position

func encodePositions(positions map[string]model.Position) string {
	data, _ := json.Marshal(positions)
	return base64.RawURLEncoding.EncodeToString(data)
}

func decodePositions(text string) (positionsByDatabase, bool) {
	found := positionsByDatabase{}
	if text == "" {
		return found, true
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || json.Unmarshal(data, &found) != nil || found == nil {
		return nil, false
	}
	return found, true
}

// OutcomeAnswer is what a consumer is told.
type OutcomeResponse struct {
	Outcome       string          `json:"outcome"`
	Rows          json.RawMessage `json:"rows,omitempty"`
	Mark          string          `json:"mark,omitempty"`
	Position      *model.Position `json:"position,omitempty"`
	Error         string          `json:"error,omitempty"`
	SessionClosed bool            `json:"is_closed,omitempty"`
	RetryAfterMS  int64           `json:"retry_after_ms,omitempty"`
	Instance      string          `json:"instance,omitempty"`
	Sequence      uint64          `json:"sequence,omitempty"`
}

func (p *Proxy) registerHandlers() {
	p.node.HandleCall("/v1/session/open", p.openSession)
	p.node.HandleCall("/v1/session/close", p.closeSession)
	requests := map[string]func(*fastjson.Value) httppool.Op{
		"/v1/statement": func(body *fastjson.Value) httppool.Op {
			op := httppool.Op{
				Kind: httppool.OpRun, Text: string(body.GetStringBytes("text")), Prepared: string(body.GetStringBytes("prepared")),
				Write: string(body.GetStringBytes("kind")) == "write", RequestID: string(body.GetStringBytes("go")),
			}
			for _, argument := range body.GetArray("arguments") {
				op.Arguments = append(op.Arguments, string(argument.GetStringBytes()))
			}
			return op
		},
		"/v1/begin": func(*fastjson.Value) httppool.Op { return httppool.Op{Kind: httppool.OpBegin} },
		"/v1/commit": func(body *fastjson.Value) httppool.Op {
			return httppool.Op{Kind: httppool.OpCommit, RequestID: string(body.GetStringBytes("go"))}
		},
		"/v1/rollback": func(*fastjson.Value) httppool.Op { return httppool.Op{Kind: httppool.OpRollback} },
		"/v1/setting": func(body *fastjson.Value) httppool.Op {
			return httppool.Op{Kind: httppool.OpSet, Name: string(body.GetStringBytes("name")), Value: string(body.GetStringBytes("value"))}
		},
		"/v1/prepare": func(body *fastjson.Value) httppool.Op {
			return httppool.Op{Kind: httppool.OpPrepare, Name: string(body.GetStringBytes("name")), Text: string(body.GetStringBytes("text"))}
		},
	}
	for path, opOf := range requests {
		p.node.HandleCall(path, func(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) {
			return p.serveRequest(body, opOf(body))
		})
	}
}

func (p *Proxy) adminPages() *admin.API {
	return &admin.API{
		Node: p.node, Locker: &p.mutex, Proxy: p.pool, SessionCount: p.pool.SessionCount,
		QueueDepths: func(time.Duration) map[string]int {
			return map[string]int{
				p.bindStage.Name: p.bindStage.QueueLength(), p.enqueueStage.Name: p.enqueueStage.QueueLength(), p.forwardStage.Name: p.forwardStage.QueueLength(), p.replyStage.Name: p.replyStage.QueueLength(),
			}
		},
		Describe: func(now time.Duration) (any, any) { return p.pool.Status(now) },
	}
}

func refusalFrom(result httppool.Result) node.ErrorResponse {
	refusal := node.NewErrorResponse(result.Error)
	refusal.RetryAfterMillis = result.RetryAfter.Milliseconds()
	return refusal
}

func (p *Proxy) openSession(body *fastjson.Value, _ []byte, request *http.Request) (int, any) {
	positions, valid := decodePositions(string(body.GetStringBytes("mark")))
	if !valid {
		return http.StatusBadRequest, node.NewErrorResponse("the mark is not one of ours")
	}
	var opened httppool.OpenedSession
	var result httppool.Result
	accepted := false
	p.apply(func(now time.Duration) {
		opened, result, accepted = p.pool.OpenSession(string(body.GetStringBytes("binding")), request.RemoteAddr, positions, now)
	})
	if !accepted {
		return httpStatus(result), refusalFrom(result)
	}
	return http.StatusOK, map[string]any{"session": opened.ID, "mark": encodePositions(opened.MinPositions), "sequence": opened.BindingSequence}
}

func (p *Proxy) closeSession(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) {
	var positions map[string]model.Position
	found := false
	p.apply(func(now time.Duration) {
		positions, found = p.pool.CloseSession(string(body.GetStringBytes("session")), now)
	})
	if !found {
		return http.StatusNotFound, node.NewErrorResponse("no such session here")
	}
	return http.StatusOK, map[string]any{"mark": encodePositions(positions)}
}

func (p *Proxy) serveRequest(body *fastjson.Value, op httppool.Op) (int, any) {
	bound := time.Duration(body.GetInt64("deadline_ms")) * time.Millisecond
	done := make(chan httppool.Result, 1)
	var request *httppool.Request
	var result httppool.Result
	accepted := false
	p.apply(func(now time.Duration) {
		request, result, accepted = p.pool.Accept(string(body.GetStringBytes("session")), op, bound, done, now)
	})
	if !accepted && result.Outcome == "" {
		return httpStatus(result), refusalFrom(result)
	}
	if accepted {
		result = p.awaitResult(request, done)
	}
	return httpStatus(result), outcomeResponse(result)
}

func (p *Proxy) awaitResult(request *httppool.Request, done <-chan httppool.Result) httppool.Result {
	remaining := request.Deadline() - p.now()
	if !p.bindStage.Submit(request, remaining) {
		p.cancel(request)
	}
	timer := time.NewTimer(request.Deadline() - p.now())
	defer timer.Stop()
	if result, accepted := worker.Receive(done, timer.C); accepted {
		return result
	}
	p.cancel(request)
	return <-done
}

var statusByCause = map[string]int{
	httppool.CauseNoSession: http.StatusNotFound, httppool.CauseSessionBusy: http.StatusConflict, httppool.CauseNoBinding: http.StatusNotFound,
	httppool.CauseNoTransaction: http.StatusConflict, httppool.CauseInvalidRequestID: http.StatusBadRequest, httppool.CauseStatementFailed: http.StatusUnprocessableEntity,
}

func httpStatus(result httppool.Result) int {
	if result.Error == "" {
		return http.StatusOK
	}
	if status, found := statusByCause[result.Cause]; found {
		return status
	}
	return http.StatusServiceUnavailable
}

func outcomeResponse(result httppool.Result) OutcomeResponse {
	answer := OutcomeResponse{
		Outcome: result.Outcome, Rows: result.Rows, Error: result.Error, SessionClosed: result.SessionClosed, RetryAfterMS: result.RetryAfter.Milliseconds(),
		Instance: result.Instance, Sequence: result.BindingSequence, Mark: encodePositions(result.MinPositions),
	}
	if result.Position != (model.Position{}) {
		answer.Position = &result.Position
	}
	return answer
}
