package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

type instanceRequest struct {
	Text      string   `json:"text"`
	Prepared  string   `json:"prepared"`
	Arguments []string `json:"arguments"`
	Write     bool     `json:"write"`
	Name      string   `json:"name"`
	Value     string   `json:"value"`
	RequestID string   `json:"go"`
	Term      uint64   `json:"term"`
	Action    string   `json:"-"`
	After     Position `json:"after"`
	WaitMS    int      `json:"wait_ms"`
	Upstream  string   `json:"upstream"`
	Fault     *Fault   `json:"fault"`
}

func (x *Instance) handle(w http.ResponseWriter, r *http.Request, act func(*connection, instanceRequest) (int, any)) {
	accepted := r.Context().Value(connectionKey{}).(*connection)
	var request instanceRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, 4<<20)).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	code, body := act(accepted, request)
	if code == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(body)
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

func (x *Instance) reply(c *connection, extra map[string]any) map[string]any {
	body := map[string]any{
		"position": x.position(), "clean": c.isClean() || x.misreportClean, "inside": c.transaction != nil,
		"role": x.role, "term": x.term, "birth": x.incarnation, "leaving": x.leavingSince != 0,
	}
	for key, value := range extra {
		body[key] = value
	}
	return body
}

func (x *Instance) reject(c *connection, code int, text string) (int, any) {
	return code, x.reply(c, map[string]any{"error": text})
}

func (x *Instance) checkRequest(c *connection, request instanceRequest, write bool) (int, any) {
	if !c.open {
		return x.reject(c, http.StatusConflict, "session not open")
	}
	if request.Term != 0 && request.Term != x.term {
		return x.reject(c, http.StatusConflict, "another term")
	}
	if write && x.role != "primary" {
		return x.reject(c, http.StatusConflict, "not primary")
	}
	return 0, nil
}

func (x *Instance) answerOrLose(body map[string]any) (int, any) {
	if x.loseAnswers > 0 {
		x.loseAnswers--
		return 0, nil
	}
	return http.StatusOK, body
}
