package tcp

import (
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"
)

// Dial opens a connection that can be added to an event loop of nbio, and sets its
// user timeout (see SetUserTimeout). It blocks for up to the timeout of the dialer.
//
// Dial uses package net because nbio's own dial may report a connection as refused
// before the connection is open.
func Dial(dialer net.Dialer, address string, userTimeout time.Duration) (*nbio.Conn, error) {
	dialed, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	SetUserTimeout(dialed.(*net.TCPConn), userTimeout)
	conn, err := nbio.NBConn(dialed)
	if err != nil {
		_ = dialed.Close()
		return nil, errors.Trace(err)
	}
	return conn, nil
}
