package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/transport/httpserver"
)

// CallHandler handles one call of the HTTP API, whose body has been validated
// against the schema. It returns the HTTP status and the body of the answer,
// either encoded as []byte or as a value to be encoded as JSON.
type CallHandler func(body *fastjson.Value, raw []byte, request *http.Request) (int, any)

// Outcomes of a call that got no answer from the control primary.
const (
	// OutcomeNotKept means that the call changed nothing.
	OutcomeNotKept = "not_kept"
	// OutcomeUnknown means that the call may have taken effect.
	OutcomeUnknown = "unknown"
)

// encodeFailure is the body that is sent if an answer cannot be encoded.
const encodeFailure = `{"error":"answer could not be written","faults":[]}`

// ErrorResponse is the body of the answer to a call that failed.
type ErrorResponse struct {
	Error            string             `json:"error"`
	Faults           []schema.Violation `json:"faults"`
	Sequence         *uint64            `json:"sequence,omitempty"`
	Outcome          string             `json:"outcome,omitempty"`
	RetryAfterMillis int64              `json:"retry_after_ms,omitempty"`
}

// NewErrorResponse returns an ErrorResponse with the given text and violations of
// the schema.
func NewErrorResponse(text string, violations ...schema.Violation) ErrorResponse {
	if violations == nil {
		violations = []schema.Violation{}
	}
	return ErrorResponse{Error: text, Faults: violations}
}

type countersResponse struct {
	Counters map[string]int64 `json:"counters"`
	Node     string           `json:"node"`
}

// HandleCall sets the handler for the calls with a path.
func (n *Node) HandleCall(path string, handle CallHandler) { n.callHandlers[path] = handle }

// OnDisconnect sets the function that is called when a caller's connection ends.
func (n *Node) OnDisconnect(handle func(remoteAddress string)) { n.onDisconnect = handle }

func (n *Node) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/schema" {
		w.Header().Set("Content-Type", "application/schema+json")
		_, _ = w.Write(schema.Document())
		return
	}
	body, err := httpserver.ReadBody(r)
	if err != nil {
		n.Counters.Add("calls_oversized", 1)
		n.WriteResponse(w, http.StatusRequestEntityTooLarge, NewErrorResponse("body too large"))
		return
	}
	path := r.URL.Path
	translation, translated := n.translate(r.Method, path, body)
	if translated {
		path, body = translation.Path, translation.Body
	}
	status, answer := n.encode(n.dispatchCall(path, body, r))
	if translated && translation.Answer != nil {
		status, answer = translation.Answer(status, answer)
	}
	n.WriteResponse(w, status, answer)
}

// translate translates a call of another API to a call of the product's own API. It
// returns false if the call does not belong to the other API.
func (n *Node) translate(method, path string, body []byte) (adapter.Translation, bool) {
	if n.Translate == nil {
		return adapter.Translation{}, false
	}
	return n.Translate(method, path, body)
}

func (n *Node) dispatchCall(path string, raw []byte, r *http.Request) (int, any) {
	handle, found := n.callHandlers[path]
	if !found {
		return http.StatusNotFound, NewErrorResponse("no such call: " + path)
	}
	body, violations := n.Schemas.ValidateRequest(path, raw)
	if len(violations) > 0 {
		n.Counters.Add("calls_bad_shape", 1)
		return http.StatusBadRequest, NewErrorResponse("the call does not have the shape that the schema gives it", violations...)
	}
	return handle(body, raw, r)
}

func (n *Node) encode(status int, answer any) (int, []byte) {
	if encoded, ok := answer.([]byte); ok {
		return status, encoded
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		n.Counters.Add("answer_encode_faults", 1)
		return http.StatusInternalServerError, []byte(encodeFailure)
	}
	return status, encoded
}

// WriteResponse sends the answer to a call. With the status 503 it also sets the
// header Retry-After, in whole seconds.
func (n *Node) WriteResponse(w http.ResponseWriter, status int, answer any) {
	status, encoded := n.encode(status, answer)
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter(encoded))
	}
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// retryAfter returns the retry delay of an encoded answer, rounded up to whole
// seconds and at least 1.
func retryAfter(answer []byte) string {
	delay := time.Duration(fastjson.GetInt(answer, "retry_after_ms")) * time.Millisecond
	seconds := int64((delay + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(1, seconds), 10)
}
