package worker

import (
	"syscall"
	"time"
)

const tcpUserTimeout = 0x12

// LimitSilence has the kernel end a connection whose bytes the far end has not
// taken for a bound, instead of trying ever more rarely: what was cut off for
// seconds is then found again by a new connection at once.
func SetUserTimeout(conn syscall.Conn, timeout time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout/time.Millisecond))
	})
}
