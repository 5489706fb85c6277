package admin

import (
	"net/http"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/node"
)

// HandleRead serves a call that takes no arguments and changes nothing. The
// function gives the HTTP status and the body of the answer, as for
// node.CallHandler.
func HandleRead(to *node.Node, path string, read func() (status int, answer any)) {
	to.HandleCall(path, func(*fastjson.Value, []byte, *http.Request) (int, any) { return read() })
}

// HandleForwarded serves an operator's call by forwarding it to the control
// primary, whose answer it gives.
func HandleForwarded(to *node.Node, path string) {
	to.HandleCall(path, func(_ *fastjson.Value, body []byte, _ *http.Request) (int, any) { return to.ForwardCall(path, body) })
}
