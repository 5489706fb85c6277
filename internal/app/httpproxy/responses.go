package httpproxy

import (
	"encoding/json"
	"net/http"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
)

// OpenSessionResponse is the answer to /v1/session/open.
type OpenSessionResponse struct {
	Mark     string `json:"mark"`
	Sequence uint64 `json:"sequence"`
	Session  string `json:"session"`
}

// CloseSessionResponse is the answer to /v1/session/close.
type CloseSessionResponse struct {
	Mark string `json:"mark"`
}

// OutcomeResponse is the answer to every request of a session. Mark holds the
// client's minimum positions. The client sends it when it opens its next session.
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

func newOutcomeResponse(result httppool.Result) OutcomeResponse {
	response := OutcomeResponse{
		Outcome:       string(result.Outcome),
		Rows:          result.Rows,
		Mark:          encodePositions(result.MinPositions),
		Error:         result.Error,
		SessionClosed: result.SessionClosed,
		RetryAfterMS:  result.RetryAfter.Milliseconds(),
		Instance:      result.Instance,
		Sequence:      result.BindingSequence,
	}
	if result.Position != (model.Position{}) {
		response.Position = &result.Position
	}
	return response
}

func newRejection(result httppool.Result) node.ErrorResponse {
	rejection := node.NewErrorResponse(result.Error)
	rejection.RetryAfterMillis = result.RetryAfter.Milliseconds()
	return rejection
}

var statusByCause = map[error]int{
	httppool.ErrNoSession:        http.StatusNotFound,
	httppool.ErrSessionBusy:      http.StatusConflict,
	httppool.ErrNoBinding:        http.StatusNotFound,
	httppool.ErrNoTransaction:    http.StatusConflict,
	httppool.ErrInvalidRequestID: http.StatusBadRequest,
	httppool.ErrStatementFailed:  http.StatusUnprocessableEntity,
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
