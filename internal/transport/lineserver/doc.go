// Package lineserver carries lines of text over TCP, on accepted connections and on
// dialed connections. All connections of a server run on one event loop of nbio.
// Lines end with CR and LF. A CR or an LF alone is part of a line.
//
// NewServer takes a function that returns a Handler for each accepted connection. Dial
// takes the Handler of the connection that it opens. A Handler receives the lines of
// its connection in order, on the event loop, so it must not block. OnClose is called
// once.
package lineserver
