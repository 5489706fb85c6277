package e2e

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"tansyseam/internal/protocol/schema"
	"tansyseam/test/history"
	"tansyseam/test/standin"
)

// operatorPaths are the paths of the calls that both proxies and control processes
// answer.
var operatorPaths = []string{"/v1/bindings/list", "/v1/changes/list", "/v1/fleet", "/v1/vitals", "/v1/counters", "/v1/ready"}

// runCallChecks checks the answers of all calls against the schema.
func runCallChecks(r *Run) {
	validator, err := schema.NewValidator()
	if err != nil {
		r.Errorf("%v", err)
		return
	}
	checker := &callChecker{run: r, validator: validator, address: r.Proxies[0].HTTPAddress}
	for _, path := range operatorPaths {
		checker.check(path, struct{}{}, http.StatusOK)
	}
	for _, control := range r.Controls {
		for _, path := range operatorPaths {
			if status, answer := r.postRaw(control.HTTPAddress, path, nil); status != http.StatusOK || len(validator.ValidateAnswer(path, answer, false)) > 0 {
				r.Errorf("%s of %s: unexpected status %d or answer: %s", path, control.Name, status, answer)
			}
		}
	}
	checker.checkSession()
	checker.checkPositionTokens()
	checker.checkRejections()
	r.checkBadInput(checker.address)
	r.checkClientDisconnect()
	r.checkShell()
}

// postRaw posts a body unchanged. The status is 0 if there is no response.
func (r *Run) postRaw(address, path string, body []byte) (int, []byte) {
	response, err := r.client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, data
}

// bindingName returns the name of the first role's binding for the first database.
func (r *Run) bindingName() string { return r.Shape.Mix.Roles[0].Binding + "-" + r.database() }

type openCall struct {
	Binding       string `json:"binding"`
	PositionToken string `json:"mark,omitempty"`
}

// sessionCall has the fields of the request bodies of all calls within a session.
type sessionCall struct {
	Session   string   `json:"session"`
	Kind      string   `json:"kind,omitempty"`
	Name      string   `json:"name,omitempty"`
	Value     string   `json:"value,omitempty"`
	Text      string   `json:"text,omitempty"`
	Prepared  string   `json:"prepared,omitempty"`
	Arguments []string `json:"arguments,omitempty"`
	RequestID string   `json:"go,omitempty"`
}

// callAnswer has the fields of answers that the checks use.
type callAnswer struct {
	Session       string           `json:"session"`
	Outcome       string           `json:"outcome"`
	PositionToken string           `json:"mark"`
	Position      standin.Position `json:"position"`
}

// callChecker makes calls to one proxy and checks their answers.
type callChecker struct {
	run       *Run
	validator *schema.Validator
	address   string
}

// check makes a call, and checks its status and that its answer conforms to the schema.
func (c *callChecker) check(path string, body any, want int) callAnswer {
	data, _ := json.Marshal(body)
	status, raw := c.run.postRaw(c.address, path, data)
	if status != want {
		c.run.Errorf("%s: status %d, want %d: %s", path, status, want, raw)
	}
	isRefusal := status >= 400 && !bytes.Contains(raw, []byte(`"outcome":"`)) && path != "/v1/ready"
	if faults := c.validator.ValidateAnswer(path, raw, isRefusal); len(faults) > 0 {
		c.run.Errorf("%s: answer does not conform to the schema: %v: %s", path, faults, raw)
	}
	var answer callAnswer
	_ = json.Unmarshal(raw, &answer)
	return answer
}

// checkSession makes each call of a session, both when the session allows it and when it
// must refuse it.
func (c *callChecker) checkSession() {
	const author = "by probe x"
	session := c.check("/v1/session/open", openCall{Binding: c.run.bindingName()}, http.StatusOK).Session
	read := sessionCall{Session: session, Kind: "read", Text: "look " + author}
	write := sessionCall{Session: session, Kind: "write", Text: "book " + author, RequestID: session + ".1"}
	transactionWrite := sessionCall{Session: session, Kind: "write", Text: "hold " + author, RequestID: session + ".2"}
	c.recordStatements(session, sessionCall{Kind: history.KindSet, Text: "set " + author}, read, read, write, transactionWrite)
	sessionOnly := sessionCall{Session: session}
	c.check("/v1/statement", read, http.StatusOK)
	first := c.check("/v1/statement", write, http.StatusOK)
	repeated := c.check("/v1/statement", write, http.StatusOK)
	if first.Position != repeated.Position || first.Outcome != history.OutcomeKept {
		c.run.Errorf("a repeated write did not receive the first outcome: %v, %v", first, repeated)
	}
	c.check("/v1/setting", sessionCall{Session: session, Name: "app", Value: session}, http.StatusOK)
	c.check("/v1/prepare", sessionCall{Session: session, Name: "p1", Text: read.Text}, http.StatusOK)
	c.check("/v1/statement", sessionCall{Session: session, Kind: "read", Prepared: "p1", Arguments: []string{"a"}}, http.StatusOK)
	c.check("/v1/begin", sessionOnly, http.StatusOK)
	c.check("/v1/begin", sessionOnly, http.StatusConflict)
	c.check("/v1/statement", transactionWrite, http.StatusOK)
	c.check("/v1/commit", sessionCall{Session: session, RequestID: session + ".3"}, http.StatusOK)
	c.check("/v1/commit", sessionCall{Session: session, RequestID: session + ".3"}, http.StatusOK)
	c.check("/v1/commit", sessionCall{Session: session, RequestID: session + ".4"}, http.StatusConflict)
	c.check("/v1/rollback", sessionOnly, http.StatusConflict)
	c.checkForeignRequestIDs(session, author)
	c.check("/v1/session/close", sessionOnly, http.StatusOK)
	c.check("/v1/session/close", sessionOnly, http.StatusNotFound)
	c.check("/v1/statement", read, http.StatusNotFound)
}

// recordStatements adds to the history the statements that instances may execute for
// the checks.
func (c *callChecker) recordStatements(session string, calls ...sessionCall) {
	for _, call := range calls {
		kind := "probe"
		if call.Kind == history.KindSet {
			kind = history.KindSet
		}
		c.run.History.Add(standin.Event{Caller: "probe", Session: session, Kind: kind, Database: c.run.database(), Text: call.Text, RequestID: call.RequestID})
	}
}

// checkForeignRequestIDs sends a malformed request ID, and one that belongs to a proxy
// that does not exist. The answer to the latter must have a Retry-After header.
func (c *callChecker) checkForeignRequestIDs(session, author string) {
	c.check("/v1/statement", sessionCall{Session: session, Kind: "write", Text: "x " + author, RequestID: "nonsense"}, http.StatusBadRequest)
	foreign := sessionCall{Session: session, Kind: "write", Text: "x " + author, RequestID: "proxy9~1~1.5"}
	c.check("/v1/statement", foreign, http.StatusServiceUnavailable)
	data, _ := json.Marshal(foreign)
	response, err := c.run.client.Post("http://"+c.address+"/v1/statement", "application/json", bytes.NewReader(data))
	if err != nil || response.Header.Get("Retry-After") == "" {
		c.run.Errorf("a 503 response must have a Retry-After header: %v", err)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// checkPositionTokens opens sessions with a malformed and with a forged position token.
func (c *callChecker) checkPositionTokens() {
	binding := c.run.bindingName()
	c.check("/v1/session/open", openCall{Binding: binding, PositionToken: "!!"}, http.StatusBadRequest)
	forged := base64.RawURLEncoding.EncodeToString([]byte(`{"nowhere":{"term":9,"index":9},"` + c.run.database() + `":{"term":99,"index":1}}`))
	opened := c.check("/v1/session/open", openCall{Binding: binding, PositionToken: forged}, http.StatusOK)
	if decodedToken, _ := base64.RawURLEncoding.DecodeString(opened.PositionToken); strings.Contains(string(decodedToken), "nowhere") {
		c.run.Errorf("the position of an unknown database was kept: %s", decodedToken)
	}
}

// checkRejections makes well-formed calls that must be rejected.
func (c *callChecker) checkRejections() {
	bindings := c.run.Shape.Mix.Bindings()
	c.check("/v1/session/open", openCall{Binding: "nowhere"}, http.StatusNotFound)
	c.check("/v1/announce", standin.Announcement{
		Instance: c.run.database() + "-b", Database: "elsewhere", Address: "127.0.0.1:9", Zone: "za", Role: "primary", Incarnation: "x",
		Term: 1, Position: standin.Position{Term: 1, Index: 1}, Connections: 1, Slots: 1,
	}, http.StatusConflict)
	c.check("/v1/bindings/put", putRequest{ID: "stale", Bindings: bindings}, http.StatusConflict)
	c.check("/v1/changes/book", scheduleRequest{ID: "late", AtMS: 5, Bindings: bindings}, http.StatusUnprocessableEntity)
}

// checkClientDisconnect closes a client's connection during a transaction. The session
// must be closed and the write rolled back.
func (r *Run) checkClientDisconnect() {
	proxy := r.Proxies[1]
	lostBefore := r.counter(proxy, "sessions_lost")
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	call := func(path string, body any) callAnswer {
		var answer callAnswer
		data, _ := json.Marshal(body)
		response, err := client.Post("http://"+proxy.HTTPAddress+path, "application/json", bytes.NewReader(data))
		if err != nil {
			r.Errorf("%v", err)
			return answer
		}
		defer func() { _ = response.Body.Close() }()
		_ = json.NewDecoder(response.Body).Decode(&answer)
		return answer
	}
	session := call("/v1/session/open", openCall{Binding: r.bindingName()}).Session
	write := sessionCall{Session: session, Kind: "write", Text: "hold by dying x", RequestID: session + ".1"}
	call("/v1/begin", sessionCall{Session: session})
	if statementAnswer := call("/v1/statement", write); statementAnswer.Outcome != history.OutcomeDone {
		r.Errorf("unexpected answer to a statement in a transaction: %v", statementAnswer)
	}
	r.History.Add(standin.Event{Caller: "dying", Session: session, Kind: history.KindRollback, Database: r.database(), Text: write.Text, RequestID: write.RequestID})
	client.CloseIdleConnections()
	if !WaitUntil(5*time.Second, func() bool { return r.counter(proxy, "sessions_lost") > lostBefore }) {
		r.Errorf("a session was not closed within 5 s after its client had disconnected")
	}
}
