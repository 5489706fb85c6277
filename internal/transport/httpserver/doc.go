// Package httpserver serves HTTP/1.1 and makes HTTP requests, both on nbio's event
// loops.
//
// Listen serves a standard http.Handler; handlers read bodies by ReadBody, which bounds
// them. A Client opens connections by Dial. A ClientConn carries one request at a time,
// by Post or Send, which wait, or by PostAsync, whose callback runs on the event loop
// and must not block. Nothing is retried here: the errors ErrNotSent and
// ErrOutcomeUnknown say whether a request may have taken effect.
package httpserver
