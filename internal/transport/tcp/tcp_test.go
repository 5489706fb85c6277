package tcp

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLocalAddress(t *testing.T) {
	Convey("LocalAddress returns an address for a specific IP address only", t, func() {
		So(LocalAddress("127.0.0.2").String(), ShouldEqual, "127.0.0.2:0")
		for _, host := range []string{"", "0.0.0.0", "::", "localhost"} {
			So(LocalAddress(host), ShouldBeNil)
		}
	})
}

func TestSetUserTimeout(t *testing.T) {
	Convey("The timeout is set on the socket, in milliseconds", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { _ = listener.Close() })
		conn, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() { _ = conn.Close() })
		SetUserTimeout(conn.(*net.TCPConn), 1500*time.Millisecond)
		raw, err := conn.(*net.TCPConn).SyscallConn()
		So(err, ShouldBeNil)
		value := 0
		So(raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		}), ShouldBeNil)
		So(err, ShouldBeNil)
		So(value, ShouldEqual, 1500)
	})
}
