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

type mark map[string]model.Position

func sealMark(marks map[string]model.Position) string {
	data, _ := json.Marshal(marks)
	return base64.RawURLEncoding.EncodeToString(data)
}

func openMark(text string) (mark, bool) {
	found := mark{}
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
type OutcomeAnswer struct {
	Outcome  string          `json:"outcome"`
	Rows     json.RawMessage `json:"rows,omitempty"`
	Mark     string          `json:"mark,omitempty"`
	Position *model.Position `json:"position,omitempty"`
	Error    string          `json:"error,omitempty"`
	IsClosed bool            `json:"is_closed,omitempty"`
	Retry    int64           `json:"retry_after_ms,omitempty"`
	Instance string          `json:"instance,omitempty"`
	Sequence uint64          `json:"sequence,omitempty"`
}

func (p *Plane) serveCalls() {
	p.node.Serve("/v1/session/open", p.openSession)
	p.node.Serve("/v1/session/close", p.closeSession)
	requests := map[string]func(*fastjson.Value) httppool.Op{
		"/v1/statement": func(body *fastjson.Value) httppool.Op {
			op := httppool.Op{
				Act: httppool.ActRun, Text: string(body.GetStringBytes("text")), Prepared: string(body.GetStringBytes("prepared")),
				IsWrite: string(body.GetStringBytes("kind")) == "write", Go: string(body.GetStringBytes("go")),
			}
			for _, argument := range body.GetArray("arguments") {
				op.Arguments = append(op.Arguments, string(argument.GetStringBytes()))
			}
			return op
		},
		"/v1/begin": func(*fastjson.Value) httppool.Op { return httppool.Op{Act: httppool.ActBegin} },
		"/v1/commit": func(body *fastjson.Value) httppool.Op {
			return httppool.Op{Act: httppool.ActCommit, Go: string(body.GetStringBytes("go"))}
		},
		"/v1/rollback": func(*fastjson.Value) httppool.Op { return httppool.Op{Act: httppool.ActRollback} },
		"/v1/setting": func(body *fastjson.Value) httppool.Op {
			return httppool.Op{Act: httppool.ActSet, Name: string(body.GetStringBytes("name")), Value: string(body.GetStringBytes("value"))}
		},
		"/v1/prepare": func(body *fastjson.Value) httppool.Op {
			return httppool.Op{Act: httppool.ActPrepare, Name: string(body.GetStringBytes("name")), Text: string(body.GetStringBytes("text"))}
		},
	}
	for path, opOf := range requests {
		p.node.Serve(path, func(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) { return p.request(body, opOf(body)) })
	}
}

func (p *Plane) shown() *admin.Plane {
	return &admin.Plane{
		Node: p.node, Lock: &p.mutex, Machine: p.hall, Sessions: p.hall.Consumers,
		Queues: func(time.Duration) map[string]int {
			return map[string]int{
				p.bind.Name: p.bind.Depth(), p.admits.Name: p.admits.Depth(), p.forward.Name: p.forward.Depth(), p.answer.Name: p.answer.Depth(),
			}
		},
		Show: func(now time.Duration) (any, any) { return p.hall.Show(now) },
	}
}

func refusalOf(told httppool.Result) node.Refusal {
	refusal := node.Refuse(told.Fault)
	refusal.Retry = told.Retry.Milliseconds()
	return refusal
}

func (p *Plane) openSession(body *fastjson.Value, _ []byte, request *http.Request) (int, any) {
	marks, isMark := openMark(string(body.GetStringBytes("mark")))
	if !isMark {
		return http.StatusBadRequest, node.Refuse("the mark is not one of ours")
	}
	var opened httppool.Opened
	var told httppool.Result
	isIn := false
	p.do(func(now time.Duration) {
		opened, told, isIn = p.hall.Open(string(body.GetStringBytes("binding")), request.RemoteAddr, marks, now)
	})
	if !isIn {
		return statusOf(told), refusalOf(told)
	}
	return http.StatusOK, map[string]any{"session": opened.Session, "mark": sealMark(opened.Marks), "sequence": opened.Sequence}
}

func (p *Plane) closeSession(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) {
	var marks map[string]model.Position
	isHeld := false
	p.do(func(now time.Duration) {
		marks, isHeld = p.hall.Close(string(body.GetStringBytes("session")), now)
	})
	if !isHeld {
		return http.StatusNotFound, node.Refuse("no such session here")
	}
	return http.StatusOK, map[string]any{"mark": sealMark(marks)}
}

func (p *Plane) request(body *fastjson.Value, op httppool.Op) (int, any) {
	bound := time.Duration(body.GetInt64("deadline_ms")) * time.Millisecond
	done := make(chan httppool.Result, 1)
	var j *httppool.Job
	var told httppool.Result
	isIn := false
	p.do(func(now time.Duration) {
		j, told, isIn = p.hall.Enter(string(body.GetStringBytes("session")), op, bound, done, now)
	})
	if !isIn && told.Outcome == "" {
		return statusOf(told), refusalOf(told)
	}
	if isIn {
		told = p.through(j, done)
	}
	return statusOf(told), answerOf(told)
}

func (p *Plane) through(j *httppool.Job, done <-chan httppool.Result) httppool.Result {
	left := j.Deadline() - p.now()
	if !p.bind.Push(j, left) {
		p.giveUp(j)
	}
	timer := time.NewTimer(j.Deadline() - p.now())
	defer timer.Stop()
	if told, isIn := worker.Take(done, timer.C); isIn {
		return told
	}
	p.giveUp(j)
	return <-done
}

var statuses = map[string]int{
	httppool.CauseNoSession: http.StatusNotFound, httppool.CauseBusy: http.StatusConflict, httppool.CauseNoBinding: http.StatusNotFound,
	httppool.CauseNoTurn: http.StatusConflict, httppool.CauseBadGo: http.StatusBadRequest, httppool.CauseFailed: http.StatusUnprocessableEntity,
}

func statusOf(told httppool.Result) int {
	if told.Fault == "" {
		return http.StatusOK
	}
	if status, isOne := statuses[told.Cause]; isOne {
		return status
	}
	return http.StatusServiceUnavailable
}

func answerOf(told httppool.Result) OutcomeAnswer {
	answer := OutcomeAnswer{
		Outcome: told.Outcome, Rows: told.Rows, Error: told.Fault, IsClosed: told.IsClosed, Retry: told.Retry.Milliseconds(),
		Instance: told.Instance, Sequence: told.Sequence, Mark: sealMark(told.Marks),
	}
	if told.Position != (model.Position{}) {
		answer.Position = &told.Position
	}
	return answer
}
