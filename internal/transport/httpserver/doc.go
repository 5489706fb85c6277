// Package httpserver serves HTTP/1.1 and sends HTTP requests, both on event loops of
// nbio.
//
// Listen serves a standard http.Handler. Handlers read bodies with ReadBody, which
// limits their size. A Client opens connections with Dial. A ClientConn carries one
// request at a time. Post and Send wait for the response. PostAsync calls a callback,
// which runs on the event loop and must not block. The package retries nothing: the
// errors ErrNotSent and ErrOutcomeUnknown report whether a request may have taken
// effect.
package httpserver
