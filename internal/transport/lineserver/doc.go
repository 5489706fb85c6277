// Package lineserver carries lines of text over TCP, on one event loop of nbio:
// on connections that are accepted and on connections that are dialed. Lines end
// with LF, or with CR and LF.
package lineserver
