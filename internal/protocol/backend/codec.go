// Package backend is the narrow way in which the pooler meets back ends; a
// further dialect is one more value of Wire.
package backend

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
)

// ErrDialect says that a back end's answer made no sense.
const ErrMalformedReply = errors.ConstError("answer not in the dialect")

// Wire turns requests into bytes and back.
type Codec struct {
	Encode func(op httppool.Op) (path string, body []byte)
	Decode func(status int, body []byte) (httppool.Reply, error)
	// Status asks for the position, answered when it has passed after or a
	// bounded wait is over. It is no statement and takes no session.
	EncodeStatusRequest func(after model.Position, wait int) (path string, body []byte)
}

// JSON is the dialect of docs/backends.md.
func NewJSONCodec() Codec {
	return Codec{Encode: encodeOperation, Decode: decodeReply, EncodeStatusRequest: encodeStatusRequest}
}

var pathByOperation = map[string]string{
	httppool.OpOpen: "/db/open", httppool.OpRun: "/db/run", httppool.OpBegin: "/db/begin", httppool.OpCommit: "/db/commit",
	httppool.OpRollback: "/db/rollback", httppool.OpSet: "/db/set", httppool.OpPrepare: "/db/prepare",
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
	body, _ := json.Marshal(operationBody{
		Text: op.Text, Prepared: op.Prepared, Arguments: op.Arguments, Write: op.Write,
		Name: op.Name, Value: op.Value, RequestID: op.RequestID, Term: op.Term,
	})
	return pathByOperation[op.Kind], body
}

func decodeReply(code int, body []byte) (httppool.Reply, error) {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return httppool.Reply{}, errors.WithType(err, ErrMalformedReply)
	}
	reply := httppool.Reply{
		Rejected: code == 429 || code == 409,
		Failed:   code >= 400 && code != 429 && code != 409,
		Error:    string(value.GetStringBytes("error")),
		Position: model.Position{
			Term: value.GetUint64("position", "term"), Index: value.GetUint64("position", "index"),
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

func encodeStatusRequest(after model.Position, wait int) (string, []byte) {
	body, _ := json.Marshal(struct {
		After model.Position `json:"after"`
		Wait  int            `json:"wait_ms"`
	}{after, wait})
	return "/db/status", body
}
