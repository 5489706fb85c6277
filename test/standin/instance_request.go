package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// instanceRequest is the union of all calls' bodies.
type instanceRequest struct {
	Text      string   `json:"text"`
	Prepared  string   `json:"prepared"`
	Arguments []string `json:"arguments"`
	Write     bool     `json:"write"`
	Name      string   `json:"name"`
	Value     string   `json:"value"`
	RequestID string   `json:"go"`
	Term      uint64   `json:"term"`
	// Action is set by the handlers, for the execution record.
	Action   string   `json:"-"`
	After    Position `json:"after"`
	WaitMS   int      `json:"wait_ms"`
	Upstream string   `json:"upstream"`
	Fault    *Fault   `json:"fault"`
}

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 4 << 20

// result is what a handler answers.
type result struct {
	status int
	body   any
}

// noAnswer ends the connection without an answer.
var noAnswer = result{}

func ok(body any) result { return result{http.StatusOK, body} }

// statementReply answers each call of a database session.
type statementReply struct {
	Position    Position       `json:"position"`
	Clean       bool           `json:"clean"`
	Inside      bool           `json:"inside"`
	Role        string         `json:"role"`
	Term        uint64         `json:"term"`
	Incarnation string         `json:"birth"`
	Leaving     bool           `json:"leaving"`
	Rows        *statementRows `json:"rows,omitempty"`
	Error       string         `json:"error,omitempty"`
}

// statementRows is what a statement returns: the state that it ran with, from
// which the history checks see mix-ups.
type statementRows struct {
	// AppliedPosition is given for reads.
	AppliedPosition *Position         `json:"upto,omitempty"`
	Settings        map[string]string `json:"settings"`
	Text            string            `json:"text"`
}

type handler func(*connection, instanceRequest) result

func (x *Instance) routes() *http.ServeMux {
	mux := http.NewServeMux()
	for path, handle := range map[string]handler{
		"/db/open": x.onOpen, "/db/run": x.onRun, "/db/begin": x.onBegin, "/db/commit": x.onCommit,
		"/db/rollback": x.onRollback, "/db/set": x.onSet, "/db/prepare": x.onPrepare, "/db/status": x.onStatus,
		"/db/pull": x.onPull, "/admin/fault": x.onFault, "/admin/promote": x.onPromote, "/admin/follow": x.onFollow,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { serve(w, r, handle) })
	}
	return mux
}

func serve(w http.ResponseWriter, r *http.Request, handle handler) {
	session := r.Context().Value(connectionKey{}).(*connection)
	var request instanceRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer := handle(session, request)
	if answer.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(answer.body)
	w.WriteHeader(answer.status)
	_, _ = w.Write(data)
}

func (x *Instance) reply(c *connection) statementReply {
	return statementReply{
		Position: x.position(), Clean: c.isClean() || x.misreportClean, Inside: c.transaction != nil,
		Role: x.role, Term: x.term, Incarnation: x.incarnation, Leaving: x.leavingSince != 0,
	}
}

func (x *Instance) reject(c *connection, status int, text string) *result {
	reply := x.reply(c)
	reply.Error = text
	return &result{status, reply}
}

// checkRequest returns why a request is rejected, nil where it may proceed.
func (x *Instance) checkRequest(c *connection, request instanceRequest, write bool) *result {
	if !c.open {
		return x.reject(c, http.StatusConflict, "session not open")
	}
	if request.Term != 0 && request.Term != x.term {
		return x.reject(c, http.StatusConflict, "another term")
	}
	if write && x.role != rolePrimary {
		return x.reject(c, http.StatusConflict, "not primary")
	}
	return nil
}

// answerOrLose answers, unless answers are to be lost.
func (x *Instance) answerOrLose(reply statementReply) result {
	if x.loseAnswers > 0 {
		x.loseAnswers--
		return noAnswer
	}
	return ok(reply)
}
