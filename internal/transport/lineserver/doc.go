// Package lineserver carries lines of text over TCP, on one event loop of nbio:
// on connections that are accepted and on connections that are dialed. Lines end
// with LF, or with CR and LF.
//
// NewServer gets a function that returns a Handler for each accepted connection; Dial
// gets the Handler of the one it opens. A connection's lines come to its handler in
// order, on the event loop, so that handlers must not block. OnClose comes once.
package lineserver
