package admin

import (
	"net/http"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/node"
)

// HandleRead registers the handler of a call that takes no arguments and changes
// nothing. The function read returns the HTTP status and the body of the answer,
// as a node.CallHandler does.
func HandleRead(n *node.Node, path string, read func() (status int, answer any)) {
	n.HandleCall(path, func(*fastjson.Value, []byte, *http.Request) (int, any) { return read() })
}

// HandleForwarded registers a handler that forwards an operator's call to the
// control primary and returns the primary's answer.
func HandleForwarded(n *node.Node, path string) {
	n.HandleCall(path, func(_ *fastjson.Value, body []byte, _ *http.Request) (int, any) { return n.ForwardCall(path, body) })
}
