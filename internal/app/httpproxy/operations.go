package httpproxy

import (
	"github.com/valyala/fastjson"

	"tansyseam/internal/coordination/pool/httppool"
)

const writeKind = "write"

// operationParsers holds, for each call of a session, the function that parses
// its body. The body has been validated against the schema.
var operationParsers = map[string]func(body *fastjson.Value) httppool.Op{
	"/v1/statement": parseStatement,
	"/v1/begin":     func(*fastjson.Value) httppool.Op { return httppool.Op{Kind: httppool.OpBegin} },
	"/v1/commit": func(body *fastjson.Value) httppool.Op {
		return httppool.Op{Kind: httppool.OpCommit, RequestID: stringField(body, "go")}
	},
	"/v1/rollback": func(*fastjson.Value) httppool.Op { return httppool.Op{Kind: httppool.OpRollback} },
	"/v1/setting": func(body *fastjson.Value) httppool.Op {
		return httppool.Op{Kind: httppool.OpSet, Name: stringField(body, "name"), Value: stringField(body, "value")}
	},
	"/v1/prepare": func(body *fastjson.Value) httppool.Op {
		return httppool.Op{Kind: httppool.OpPrepare, Name: stringField(body, "name"), Text: stringField(body, "text")}
	},
}

func parseStatement(body *fastjson.Value) httppool.Op {
	op := httppool.Op{
		Kind:      httppool.OpRun,
		Text:      stringField(body, "text"),
		Prepared:  stringField(body, "prepared"),
		Write:     stringField(body, "kind") == writeKind,
		RequestID: stringField(body, "go"),
	}
	for _, argument := range body.GetArray("arguments") {
		op.Arguments = append(op.Arguments, string(argument.GetStringBytes()))
	}
	return op
}

func stringField(body *fastjson.Value, name string) string { return string(body.GetStringBytes(name)) }
