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
const ErrDialect = errors.ConstError("answer not in the dialect")

// Wire turns requests into bytes and back.
type Wire struct {
	Encode func(op httppool.Op) (path string, body []byte)
	Decode func(status int, body []byte) (httppool.Reply, error)
	// Status asks for the position, answered when it has passed after or a
	// bounded wait is over. It is no statement and takes no session.
	Status func(after model.Position, wait int) (path string, body []byte)
}

// JSON is the dialect of docs/backends.md.
func JSON() Wire {
	return Wire{Encode: encode, Decode: decode, Status: status}
}

var paths = map[string]string{
	httppool.ActOpen: "/db/open", httppool.ActRun: "/db/run", httppool.ActBegin: "/db/begin", httppool.ActCommit: "/db/commit",
	httppool.ActRollback: "/db/rollback", httppool.ActSet: "/db/set", httppool.ActPrepare: "/db/prepare",
}

type wireOp struct {
	Text      string   `json:"text,omitempty"`
	Prepared  string   `json:"prepared,omitempty"`
	Arguments []string `json:"arguments,omitempty"`
	IsWrite   bool     `json:"write,omitempty"`
	Name      string   `json:"name,omitempty"`
	Value     string   `json:"value,omitempty"`
	Go        string   `json:"go,omitempty"`
	Term      uint64   `json:"term,omitempty"`
}

func encode(op httppool.Op) (string, []byte) {
	body, _ := json.Marshal(wireOp{
		Text: op.Text, Prepared: op.Prepared, Arguments: op.Arguments, IsWrite: op.IsWrite,
		Name: op.Name, Value: op.Value, Go: op.Go, Term: op.Term,
	})
	return paths[op.Act], body
}

func decode(code int, body []byte) (httppool.Reply, error) {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return httppool.Reply{}, errors.WithType(err, ErrDialect)
	}
	reply := httppool.Reply{
		IsRefused: code == 429 || code == 409,
		IsFailed:  code >= 400 && code != 429 && code != 409,
		Error:     string(value.GetStringBytes("error")),
		Position: model.Position{
			Term: value.GetUint64("position", "term"), Index: value.GetUint64("position", "index"),
		},
		IsClean:  value.GetBool("clean"),
		IsInside: value.GetBool("inside"),
		Role:     string(value.GetStringBytes("role")),
		Term:     value.GetUint64("term"),
		Birth:    string(value.GetStringBytes("birth")),
		IsLeave:  value.GetBool("leaving"),
	}
	if rows := value.Get("rows"); rows != nil {
		reply.Rows = rows.MarshalTo(nil)
	}
	return reply, nil
}

func status(after model.Position, wait int) (string, []byte) {
	body, _ := json.Marshal(struct {
		After model.Position `json:"after"`
		Wait  int            `json:"wait_ms"`
	}{after, wait})
	return "/db/status", body
}
