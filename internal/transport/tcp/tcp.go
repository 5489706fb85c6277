// Package tcp holds the settings of TCP sockets that the transports share.
package tcp

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// KeepAlive has the kernel end an idle connection about four seconds after the
// remote host became unreachable.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// SetUserTimeout has the kernel end a connection if the remote host does not
// acknowledge sent bytes within timeout. By default it would retransmit them at
// growing intervals for minutes; a new connection finds a host that is reachable
// again at once. An error leaves the default.
func SetUserTimeout(conn syscall.Conn, timeout time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout/time.Millisecond))
	})
}

// LocalAddress returns the local address of outgoing connections from an IP
// address, with any port. It is nil, which leaves the choice to the system, for
// an unspecified IP address and for any other text.
func LocalAddress(host string) net.Addr {
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}
