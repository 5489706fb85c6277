package plane

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam.example/pooler/cmd/fleet"
	"tansyseam.example/pooler/cmd/shown"
	"tansyseam.example/pooler/coordination/hall"
	"tansyseam.example/pooler/state/view"
	"tansyseam.example/pooler/transport/run"
)

type mark map[string]view.Position

func sealMark(marks map[string]view.Position) string {
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
	Position *view.Position  `json:"position,omitempty"`
	Error    string          `json:"error,omitempty"`
	IsClosed bool            `json:"is_closed,omitempty"`
	Retry    int64           `json:"retry_after_ms,omitempty"`
	Instance string          `json:"instance,omitempty"`
	Sequence uint64          `json:"sequence,omitempty"`
}

func (p *Plane) serveCalls() {
	p.node.Serve("/v1/session/open", p.openSession)
	p.node.Serve("/v1/session/close", p.closeSession)
	requests := map[string]func(*fastjson.Value) hall.Op{
		"/v1/statement": func(body *fastjson.Value) hall.Op {
			op := hall.Op{
				Act: hall.ActRun, Text: string(body.GetStringBytes("text")), Prepared: string(body.GetStringBytes("prepared")),
				IsWrite: string(body.GetStringBytes("kind")) == "write", Go: string(body.GetStringBytes("go")),
			}
			for _, argument := range body.GetArray("arguments") {
				op.Arguments = append(op.Arguments, string(argument.GetStringBytes()))
			}
			return op
		},
		"/v1/begin": func(*fastjson.Value) hall.Op { return hall.Op{Act: hall.ActBegin} },
		"/v1/commit": func(body *fastjson.Value) hall.Op {
			return hall.Op{Act: hall.ActCommit, Go: string(body.GetStringBytes("go"))}
		},
		"/v1/rollback": func(*fastjson.Value) hall.Op { return hall.Op{Act: hall.ActRollback} },
		"/v1/setting": func(body *fastjson.Value) hall.Op {
			return hall.Op{Act: hall.ActSet, Name: string(body.GetStringBytes("name")), Value: string(body.GetStringBytes("value"))}
		},
		"/v1/prepare": func(body *fastjson.Value) hall.Op {
			return hall.Op{Act: hall.ActPrepare, Name: string(body.GetStringBytes("name")), Text: string(body.GetStringBytes("text"))}
		},
	}
	for path, opOf := range requests {
		p.node.Serve(path, func(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) { return p.request(body, opOf(body)) })
	}
}

func (p *Plane) shown() *shown.Plane {
	return &shown.Plane{
		Node: p.node, Lock: &p.mutex, Machine: p.hall, Sessions: p.hall.Consumers,
		Queues: func(time.Duration) map[string]int {
			return map[string]int{
				p.bind.Name: p.bind.Depth(), p.admits.Name: p.admits.Depth(), p.forward.Name: p.forward.Depth(), p.answer.Name: p.answer.Depth(),
			}
		},
		Show: func(now time.Duration) (any, any) { return p.hall.Show(now) },
	}
}

func refusalOf(told hall.Result) fleet.Refusal {
	refusal := fleet.Refuse(told.Fault)
	refusal.Retry = told.Retry.Milliseconds()
	return refusal
}

func (p *Plane) openSession(body *fastjson.Value, _ []byte, request *http.Request) (int, any) {
	marks, isMark := openMark(string(body.GetStringBytes("mark")))
	if !isMark {
		return http.StatusBadRequest, fleet.Refuse("the mark is not one of ours")
	}
	var opened hall.Opened
	var told hall.Result
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
	var marks map[string]view.Position
	isHeld := false
	p.do(func(now time.Duration) {
		marks, isHeld = p.hall.Close(string(body.GetStringBytes("session")), now)
	})
	if !isHeld {
		return http.StatusNotFound, fleet.Refuse("no such session here")
	}
	return http.StatusOK, map[string]any{"mark": sealMark(marks)}
}

func (p *Plane) request(body *fastjson.Value, op hall.Op) (int, any) {
	bound := time.Duration(body.GetInt64("deadline_ms")) * time.Millisecond
	done := make(chan hall.Result, 1)
	var j *hall.Job
	var told hall.Result
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

func (p *Plane) through(j *hall.Job, done <-chan hall.Result) hall.Result {
	left := j.Deadline() - p.now()
	if !p.bind.Push(j, left) {
		p.giveUp(j)
	}
	timer := time.NewTimer(j.Deadline() - p.now())
	defer timer.Stop()
	if told, isIn := run.Take(done, timer.C); isIn {
		return told
	}
	p.giveUp(j)
	return <-done
}

var statuses = map[string]int{
	hall.CauseNoSession: http.StatusNotFound, hall.CauseBusy: http.StatusConflict, hall.CauseNoBinding: http.StatusNotFound,
	hall.CauseNoTurn: http.StatusConflict, hall.CauseBadGo: http.StatusBadRequest, hall.CauseFailed: http.StatusUnprocessableEntity,
}

func statusOf(told hall.Result) int {
	if told.Fault == "" {
		return http.StatusOK
	}
	if status, isOne := statuses[told.Cause]; isOne {
		return status
	}
	return http.StatusServiceUnavailable
}

func answerOf(told hall.Result) OutcomeAnswer {
	answer := OutcomeAnswer{
		Outcome: told.Outcome, Rows: told.Rows, Error: told.Fault, IsClosed: told.IsClosed, Retry: told.Retry.Milliseconds(),
		Instance: told.Instance, Sequence: told.Sequence, Mark: sealMark(told.Marks),
	}
	if told.Position != (view.Position{}) {
		answer.Position = &told.Position
	}
	return answer
}
