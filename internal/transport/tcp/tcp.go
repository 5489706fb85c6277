// Package tcp holds the settings of TCP sockets that the transports share.
package tcp

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// KeepAlive makes the kernel close an idle connection about four seconds after the
// remote host became unreachable.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// SetUserTimeout makes the kernel close a connection if the remote host does not
// acknowledge sent bytes within timeout. By default the kernel retransmits the bytes
// at growing intervals for minutes. A new connection, in contrast, works as soon as
// the host is reachable again. If the option cannot be set, the default remains.
func SetUserTimeout(conn syscall.Conn, timeout time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout/time.Millisecond))
	})
}

// LocalAddress returns the local address for outgoing connections from an IP address,
// with any port. It returns nil, which lets the system choose the address, if host is
// an unspecified IP address or not an IP address.
func LocalAddress(host string) net.Addr {
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}
