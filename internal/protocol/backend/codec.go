// Package backend translates between the operations of the HTTP pool and the
// messages that database instances understand. Each protocol has its own Codec.
package backend

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
)

// ErrMalformedReply is returned when an instance's reply cannot be parsed.
const ErrMalformedReply = errors.ConstError("malformed reply of an instance")

// Codec turns operations into HTTP requests to an instance, and its responses
// into replies.
type Codec struct {
	Encode func(op httppool.Op) (path string, body []byte)
	// Decode returns an error of type ErrMalformedReply if the body cannot be parsed.
	Decode func(status int, body []byte) (httppool.Reply, error)
	// EncodeStatusRequest asks for the instance's position and role. The
	// instance answers once its position is past after, or when waitMS
	// milliseconds have elapsed. The request is not a statement and needs no
	// session at the instance.
	EncodeStatusRequest func(after model.Position, waitMS int) (path string, body []byte)
}

// NewJSONCodec returns the codec of the JSON protocol that docs/backends.md
// describes.
func NewJSONCodec() Codec {
	return Codec{Encode: encodeOperation, Decode: decodeReply, EncodeStatusRequest: encodeStatusRequest}
}

const statusPath = "/db/status"

var pathByOperation = map[httppool.OpKind]string{
	httppool.OpOpen:     "/db/open",
	httppool.OpRun:      "/db/run",
	httppool.OpBegin:    "/db/begin",
	httppool.OpCommit:   "/db/commit",
	httppool.OpRollback: "/db/rollback",
	httppool.OpSet:      "/db/set",
	httppool.OpPrepare:  "/db/prepare",
}

type operationBody struct {
	Text      string   `json:"text,omitempty"`
	Prepared  string   `json:"prepared,omitempty"`
	Arguments []string `json:"arguments,omitempty"`
	Write     bool     `json:"write,omitempty"`
	Name      string   `json:"name,omitempty"`
	Value     string   `json:"value,omitempty"`
	RequestID string   `json:"go,omitempty"`
	Term      uint64   `json:"term,omitempty"`
}

func encodeOperation(op httppool.Op) (string, []byte) {
	// Marshal cannot fail for strings, numbers, booleans and lists of strings.
	body, _ := json.Marshal(operationBody{
		Text:      op.Text,
		Prepared:  op.Prepared,
		Arguments: op.Arguments,
		Write:     op.Write,
		Name:      op.Name,
		Value:     op.Value,
		RequestID: op.RequestID,
		Term:      op.Term,
	})
	return pathByOperation[op.Kind], body
}

func decodeReply(status int, body []byte) (httppool.Reply, error) {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return httppool.Reply{}, errors.WithType(err, ErrMalformedReply)
	}
	rejected := status == http.StatusTooManyRequests || status == http.StatusConflict
	reply := httppool.Reply{
		Rejected: rejected,
		Failed:   status >= http.StatusBadRequest && !rejected,
		Error:    string(value.GetStringBytes("error")),
		Position: model.Position{
			Term:  value.GetUint64("position", "term"),
			Index: value.GetUint64("position", "index"),
		},
		Clean:         value.GetBool("clean"),
		InTransaction: value.GetBool("inside"),
		Role:          string(value.GetStringBytes("role")),
		Term:          value.GetUint64("term"),
		Incarnation:   string(value.GetStringBytes("birth")),
		Leaving:       value.GetBool("leaving"),
	}
	if rows := value.Get("rows"); rows != nil {
		reply.Rows = rows.MarshalTo(nil)
	}
	return reply, nil
}

type statusRequestBody struct {
	After  model.Position `json:"after"`
	WaitMS int            `json:"wait_ms"`
}

func encodeStatusRequest(after model.Position, waitMS int) (string, []byte) {
	// Marshal cannot fail for numbers.
	body, _ := json.Marshal(statusRequestBody{After: after, WaitMS: waitMS})
	return statusPath, body
}
