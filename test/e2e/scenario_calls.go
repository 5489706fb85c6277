package e2e

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"tansyseam/internal/protocol/schema"
	"tansyseam/test/standin"
	"time"
)

func (r *Run) postRaw(address, path string, body []byte) (int, []byte) {
	response, err := r.client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, data
}

func runCallChecks(r *Run) {
	validator, err := schema.NewValidator()
	if err != nil {
		r.Errorf("%v", err)
		return
	}
	proxy := r.Proxies[0].HTTPAddress
	check := func(path string, body any, want int) map[string]any {
		data, _ := json.Marshal(body)
		code, answer := r.postRaw(proxy, path, data)
		if code != want {
			r.Errorf("%s: %d, wanted %d: %s", path, code, want, answer)
		}
		refusal := code >= 400 && !bytes.Contains(answer, []byte(`"outcome":"`)) && path != "/v1/ready"
		if faults := validator.ValidateAnswer(path, answer, refusal); len(faults) > 0 {
			r.Errorf("%s: answer is not of its shape: %v: %s", path, faults, answer)
		}
		found := map[string]any{}
		_ = json.Unmarshal(answer, &found)
		return found
	}
	none := map[string]any{}
	for _, path := range []string{"/v1/bindings/list", "/v1/changes/list", "/v1/fleet", "/v1/vitals", "/v1/counters", "/v1/ready"} {
		check(path, none, http.StatusOK)
	}
	for _, control := range r.Controls {
		for _, path := range []string{"/v1/bindings/list", "/v1/changes/list", "/v1/fleet", "/v1/vitals", "/v1/counters", "/v1/ready"} {
			if code, answer := r.postRaw(control.HTTPAddress, path, nil); code != http.StatusOK || len(validator.ValidateAnswer(path, answer, false)) > 0 {
				r.Errorf("%s of %s: %d %s", path, control.Name, code, answer)
			}
		}
	}
	r.checkSessionCalls(check)
	r.checkBadInput(proxy)
	r.checkClientDeath()
	r.checkShell()
}

func (r *Run) checkClientDeath() {
	proxy := r.Proxies[1]
	before := r.counter(proxy, "sessions_lost")
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	call := func(path string, body map[string]any) map[string]any {
		data, _ := json.Marshal(body)
		found := map[string]any{}
		response, err := client.Post("http://"+proxy.HTTPAddress+path, "application/json", bytes.NewReader(data))
		if err != nil {
			r.Errorf("%v", err)
			return found
		}
		defer func() { _ = response.Body.Close() }()
		_ = json.NewDecoder(response.Body).Decode(&found)
		return found
	}
	session, _ := call("/v1/session/open", map[string]any{"binding": r.Shape.Mix.Roles[0].Binding + "-" + r.database()})["session"].(string)
	text := "hold by dying x"
	call("/v1/begin", map[string]any{"session": session})
	inside := call("/v1/statement", map[string]any{"session": session, "kind": "write", "text": text, "go": session + ".1"})
	if inside["outcome"] != "done" {
		r.Errorf("a statement in a transaction: %v", inside)
	}
	r.History.Add(standin.Event{Caller: "dying", Session: session, Kind: "rollback", Database: r.database(), Text: text, RequestID: session + ".1"})
	client.CloseIdleConnections()
	if !WaitUntil(5*time.Second, func() bool { return r.counter(proxy, "sessions_lost") > before }) {
		r.Errorf("a consumer's death did not close its session")
	}
}

func (r *Run) checkSessionCalls(check func(string, any, int) map[string]any) {
	binding := r.Shape.Mix.Roles[0].Binding + "-" + r.database()
	session, _ := check("/v1/session/open", map[string]any{"binding": binding}, http.StatusOK)["session"].(string)
	with := func(parts ...any) map[string]any {
		body := map[string]any{"session": session}
		for index := 0; index+1 < len(parts); index += 2 {
			body[parts[index].(string)] = parts[index+1]
		}
		return body
	}
	probe := "by probe x"
	noted := func(kind, verb, id string) {
		r.History.Add(standin.Event{Caller: "probe", Session: session, Kind: kind, Database: r.database(), Text: verb + " " + probe, RequestID: id})
	}
	noted("set", "set", "")
	noted("probe", "look", "")
	noted("probe", "look", "")
	noted("probe", "book", session+".1")
	noted("probe", "hold", session+".2")
	check("/v1/statement", with("kind", "read", "text", "look "+probe), http.StatusOK)
	first := check("/v1/statement", with("kind", "write", "text", "book "+probe, "go", session+".1"), http.StatusOK)
	again := check("/v1/statement", with("kind", "write", "text", "book "+probe, "go", session+".1"), http.StatusOK)
	if fmt.Sprint(first["position"]) != fmt.Sprint(again["position"]) || first["outcome"] != "kept" {
		r.Errorf("a repeat must get the first outcome: %v, %v", first, again)
	}
	check("/v1/setting", with("name", "app", "value", session), http.StatusOK)
	check("/v1/prepare", with("name", "p1", "text", "look "+probe), http.StatusOK)
	check("/v1/statement", with("kind", "read", "prepared", "p1", "arguments", []string{"a"}), http.StatusOK)
	check("/v1/begin", with(), http.StatusOK)
	check("/v1/begin", with(), http.StatusConflict)
	check("/v1/statement", with("kind", "write", "text", "hold "+probe, "go", session+".2"), http.StatusOK)
	check("/v1/commit", with("go", session+".3"), http.StatusOK)
	check("/v1/commit", with("go", session+".3"), http.StatusOK)
	check("/v1/commit", with("go", session+".4"), http.StatusConflict)
	check("/v1/rollback", with(), http.StatusConflict)
	check("/v1/statement", with("kind", "write", "text", "x "+probe, "go", "nonsense"), http.StatusBadRequest)
	check("/v1/statement", with("kind", "write", "text", "x "+probe, "go", "proxy9~1~1.5"), http.StatusServiceUnavailable)
	data, _ := json.Marshal(with("kind", "write", "text", "x "+probe, "go", "proxy9~1~1.5"))
	response, err := r.client.Post("http://"+r.Proxies[0].HTTPAddress+"/v1/statement", "application/json", bytes.NewReader(data))
	if err != nil || response.Header.Get("Retry-After") == "" {
		r.Errorf("503 must say when to come back: %v", err)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	check("/v1/session/close", with(), http.StatusOK)
	check("/v1/session/close", with(), http.StatusNotFound)
	check("/v1/statement", with("kind", "read", "text", "look "+probe), http.StatusNotFound)
	check("/v1/session/open", map[string]any{"binding": "nowhere"}, http.StatusNotFound)
	check("/v1/session/open", map[string]any{"binding": binding, "mark": "!!"}, http.StatusBadRequest)
	made := base64.RawURLEncoding.EncodeToString([]byte(`{"nowhere":{"term":9,"index":9},"` + r.database() + `":{"term":99,"index":1}}`))
	opened := check("/v1/session/open", map[string]any{"binding": binding, "mark": made}, http.StatusOK)
	if kept, _ := base64.RawURLEncoding.DecodeString(fmt.Sprint(opened["mark"])); strings.Contains(string(kept), "nowhere") {
		r.Errorf("a mark of a database that nobody knows was kept: %s", kept)
	}
	check("/v1/announce", map[string]any{
		"instance": r.database() + "-b", "database": "elsewhere", "address": "127.0.0.1:9", "zone": "za", "role": "primary", "birth": "x",
		"term": 1, "position": map[string]any{"term": 1, "index": 1}, "leaving": false, "connections": 1, "slots": 1,
	}, http.StatusConflict)
	check("/v1/bindings/put", map[string]any{"id": "stale", "expected": 0, "bindings": r.Shape.Mix.Bindings()}, http.StatusConflict)
	check("/v1/changes/book", map[string]any{"id": "late", "at_ms": 5, "bindings": r.Shape.Mix.Bindings()}, http.StatusUnprocessableEntity)
}
