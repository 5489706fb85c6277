package reserve

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
)

const dialTimeout = 10 * time.Second

// dialFrom connects from a local address to a remote address.
func dialFrom(local, remote string) (net.Conn, error) {
	localAddress, err := net.ResolveTCPAddr("tcp", local)
	So(err, ShouldBeNil)
	dialer := net.Dialer{LocalAddr: localAddress, Timeout: dialTimeout}
	return dialer.Dial("tcp", remote)
}

func TestReservedAddress(t *testing.T) {
	Convey("Given a reserved address and another server", t, func() {
		address := Loopback(t)
		other, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { _ = other.Close() })
		Convey("An outgoing connection cannot use its port, and a server can listen on it", func() {
			_, err := dialFrom(address, other.Addr().String())
			So(errors.Is(err, syscall.EADDRINUSE), ShouldBeTrue)
			listener, err := net.Listen("tcp", address)
			So(err, ShouldBeNil)
			So(listener.Close(), ShouldBeNil)
		})
		Convey("A server can listen on it again after it has closed", func() {
			for range 3 {
				listener, err := net.Listen("tcp", address)
				So(err, ShouldBeNil)
				conn, err := net.DialTimeout("tcp", address, dialTimeout)
				So(err, ShouldBeNil)
				So(conn.Close(), ShouldBeNil)
				So(listener.Close(), ShouldBeNil)
			}
		})
		Convey("Connections to it are refused until a server listens", func() {
			_, err := net.DialTimeout("tcp", address, dialTimeout)
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
		})
	})
	Convey("A port can be reserved on several addresses, and again once it is released", t, func() {
		first, err := Any("127.0.0.1")
		So(err, ShouldBeNil)
		second, err := Port("127.0.0.2", first.PortNumber())
		So(err, ShouldBeNil)
		second.Release()
		second.Release()
		first.Release()
		listener, err := net.Listen("tcp", first.Address())
		So(err, ShouldBeNil)
		_, err = Port("127.0.0.1", first.PortNumber())
		So(errors.Is(err, ErrReserve), ShouldBeTrue)
		So(errors.Is(err, syscall.EADDRINUSE), ShouldBeTrue)
		So(listener.Close(), ShouldBeNil)
	})
	Convey("One port is reserved on several addresses", t, func() {
		reservations, err := SharedPort("127.0.0.1", "127.0.0.2", "127.0.0.3")
		So(err, ShouldBeNil)
		So(len(reservations), ShouldEqual, 3)
		for _, reservation := range reservations {
			So(reservation.PortNumber(), ShouldEqual, reservations[0].PortNumber())
		}
		ReleaseAll(reservations)
		_, err = SharedPort("127.0.0.1", "not an address")
		So(errors.Is(err, ErrReserve), ShouldBeTrue)
	})
	Convey("Text that is not an IPv4 address is refused", t, func() {
		for _, text := range []string{"", "localhost", "::1"} {
			_, err := Any(text)
			So(errors.Is(err, ErrReserve), ShouldBeTrue)
		}
	})
}
