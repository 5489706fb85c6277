// Package reserve reserves TCP addresses for servers that tests and runners
// start later.
//
// A test could find a free port by listening on port 0 and closing the listener, but
// the port would be free only at that moment. Until the server listens, the kernel may
// assign the port to any outgoing connection of the machine, and the server then fails
// with "address already in use".
//
// A reserved port stays bound by a socket that does not listen. Linux does not assign
// such a port when a program requests any free port, and refuses connections to it.
// A server can still listen on the port if it requests that port and sets
// SO_REUSEADDR, as Go's listeners do.
package reserve

import (
	"net/netip"
	"sync"
	"syscall"
	"testing"

	"github.com/juju/errors"
)

// ErrReserve is returned when an address cannot be reserved.
const ErrReserve = errors.ConstError("address cannot be reserved")

// maxSharedPortAttempts is the maximum number of ports that SharedPort tries until
// one is free on all addresses.
const maxSharedPortAttempts = 200

// Reservation is a reserved address. The address stays reserved until Release is
// called.
type Reservation struct {
	address netip.AddrPort
	socket  int
	release sync.Once
}

// Any reserves a port that the kernel chooses on an IPv4 address.
func Any(ip string) (*Reservation, error) { return Port(ip, 0) }

// Port reserves a port on an IPv4 address. It fails if the port is in use.
func Port(ip string, port int) (*Reservation, error) {
	parsed, err := netip.ParseAddr(ip)
	if err != nil || !parsed.Is4() {
		return nil, errors.WithType(errors.Errorf("%q is not an IPv4 address", ip), ErrReserve)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "opening a socket"), ErrReserve)
	}
	bound, err := bind(socket, parsed, port)
	if err != nil {
		_ = syscall.Close(socket)
		return nil, errors.WithType(errors.Annotatef(err, "binding %s:%d", ip, port), ErrReserve)
	}
	return &Reservation{address: netip.AddrPortFrom(parsed, bound), socket: socket}, nil
}

// bind binds a socket so that a later listener can share its port, and returns the
// port.
func bind(socket int, ip netip.Addr, port int) (uint16, error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: ip.As4(), Port: port}); err != nil {
		return 0, err
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, err
	}
	return uint16(name.(*syscall.SockaddrInet4).Port), nil
}

// SharedPort reserves the same port, chosen by the kernel, on each of the given IPv4
// addresses.
func SharedPort(ips ...string) ([]*Reservation, error) {
	var lastError error
	for range maxSharedPortAttempts {
		reservations, err := trySharedPort(ips)
		if err == nil {
			return reservations, nil
		}
		lastError = err
	}
	return nil, lastError
}

func trySharedPort(ips []string) ([]*Reservation, error) {
	var reservations []*Reservation
	port := 0
	for _, ip := range ips {
		reservation, err := Port(ip, port)
		if err != nil {
			ReleaseAll(reservations)
			return nil, err
		}
		reservations = append(reservations, reservation)
		port = reservation.PortNumber()
	}
	return reservations, nil
}

// ReleaseAll releases the given reservations.
func ReleaseAll(reservations []*Reservation) {
	for _, reservation := range reservations {
		reservation.Release()
	}
}

// Address returns the address as "ip:port".
func (r *Reservation) Address() string { return r.address.String() }

// PortNumber returns the port.
func (r *Reservation) PortNumber() int { return int(r.address.Port()) }

// Release releases the address. It may be called more than once.
func (r *Reservation) Release() {
	r.release.Do(func() { _ = syscall.Close(r.socket) })
}

// Loopback returns an "ip:port" address on 127.0.0.1 that is reserved until the test
// ends.
func Loopback(t testing.TB) string {
	t.Helper()
	reservation, err := Any("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reservation.Release)
	return reservation.Address()
}
