package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// instanceRequest is the union of the bodies of all calls to an instance.
type instanceRequest struct {
	Text      string   `json:"text"`
	Prepared  string   `json:"prepared"`
	Arguments []string `json:"arguments"`
	Write     bool     `json:"write"`
	Name      string   `json:"name"`
	Value     string   `json:"value"`
	RequestID string   `json:"go"`
	Term      uint64   `json:"term"`
	// Action is set by the handlers and copied to the execution record.
	Action   string   `json:"-"`
	After    Position `json:"after"`
	WaitMS   int      `json:"wait_ms"`
	Upstream string   `json:"upstream"`
	Fault    *Fault   `json:"fault"`
}

// headerRequestNumber carries the number of a request, which the response returns.
const headerRequestNumber = "Tansyseam-Request"

// maxRequestBytes is the maximum size of a request's body.
const maxRequestBytes = 4 << 20

// result is the status and body of a handler's answer.
type result struct {
	status int
	body   any
}

// noAnswer is the result that closes the connection without an answer.
var noAnswer = result{}

func ok(body any) result { return result{http.StatusOK, body} }

// statementReply is the answer to each call of a database session.
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

// statementRows is the result of a statement: the session state that it ran
// with. The history checks use it to detect state mixed up between sessions.
type statementRows struct {
	// AppliedPosition is the position of the instance's last log entry. It is
	// set for reads only.
	AppliedPosition *Position         `json:"upto,omitempty"`
	Settings        map[string]string `json:"settings"`
	Text            string            `json:"text"`
}

type handler func(*connection, instanceRequest) result

func (i *Instance) routes() *http.ServeMux {
	mux := http.NewServeMux()
	for path, handle := range map[string]handler{
		"/db/open": i.onOpen, "/db/run": i.onRun, "/db/begin": i.onBegin, "/db/commit": i.onCommit,
		"/db/rollback": i.onRollback, "/db/set": i.onSet, "/db/prepare": i.onPrepare, "/db/status": i.onStatus,
		"/db/pull": i.onPull, "/admin/fault": i.onFault, "/admin/promote": i.onPromote, "/admin/follow": i.onFollow,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { serve(w, r, handle) })
	}
	return mux
}

func serve(w http.ResponseWriter, r *http.Request, handle handler) {
	conn := r.Context().Value(connectionKey{}).(*connection)
	var request instanceRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer := handle(conn, request)
	if answer.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestNumber, r.Header.Get(headerRequestNumber))
	data, _ := json.Marshal(answer.body)
	w.WriteHeader(answer.status)
	_, _ = w.Write(data)
}

func (i *Instance) reply(c *connection) statementReply {
	return statementReply{
		Position: i.position(), Clean: c.isClean() || i.misreportClean, Inside: c.transaction != nil,
		Role: i.role, Term: i.term, Incarnation: i.incarnation, Leaving: i.leavingSince != 0,
	}
}

func (i *Instance) reject(c *connection, status int, text string) *result {
	reply := i.reply(c)
	reply.Error = text
	return &result{status, reply}
}

// checkRequest returns the answer that rejects a request, or nil if the request
// is allowed.
func (i *Instance) checkRequest(c *connection, request instanceRequest, write bool) *result {
	if !c.open {
		return i.reject(c, http.StatusConflict, "session not open")
	}
	if request.Term != 0 && request.Term != i.term {
		return i.reject(c, http.StatusConflict, "another term")
	}
	if write && i.role != rolePrimary {
		return i.reject(c, http.StatusConflict, "not primary")
	}
	return nil
}

// answerOrLose returns the reply as the result, or noAnswer if this answer is to
// be lost.
func (i *Instance) answerOrLose(reply statementReply) result {
	if i.answersToLose > 0 {
		i.answersToLose--
		return noAnswer
	}
	return ok(reply)
}
