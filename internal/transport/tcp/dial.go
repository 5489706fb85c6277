package tcp

import (
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"
)

// Dial opens a connection that an event loop of nbio can be given, and sets its user
// timeout (see SetUserTimeout). It blocks for up to the timeout of the dialer.
//
// The dial of package net is used since nbio's own may report a connection as refused
// before it is open.
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
