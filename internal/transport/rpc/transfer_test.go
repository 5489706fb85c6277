package rpc

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
	"tansyseam/test/reserve"
)

// slowServer accepts one connection, and passes it with the reply to its first call, ID 1,
// to send. The connection stays open until the listener is closed.
func slowServer(send func(conn net.Conn, reply []byte)) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	reply := encodeFrame(Envelope{From: "server", ID: 1, IsReply: true, Body: idempotency.Status{State: strings.Repeat("x", 1<<20)}})
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1<<10))
			send(conn, reply)
			_, _ = listener.Accept()
			_ = conn.Close()
		}
	}()
	return listener
}

func TestReplyThatArrivesAfterTimeoutIsLost(t *testing.T) {
	message.Register()
	const timeout = 20 * time.Millisecond
	newClient := func(checkInterval time.Duration) *Hub {
		workers, address := worker.NewGroup(), reserve.Loopback(t)
		hub := NewHub("client", address, workers, &worker.Counters{}, func(_ string, _ any, reply func(any)) { reply(idempotency.Status{}) })
		hub.transferCheckInterval = checkInterval
		So(hub.Listen(), ShouldBeNil)
		Reset(func() {
			workers.Stop(5 * time.Second)
			hub.Close()
		})
		// The engine of nbio never stops if it is stopped before its listener runs.
		_, err := exchange(address, encodeFrame(Envelope{From: "other", ID: 1, Body: idempotency.StatusRequest{}}))
		So(err, ShouldBeNil)
		return hub
	}
	Convey("A call receives a reply whose bytes keep arriving past its timeout", t, func() {
		client := newClient(time.Minute)
		listener := slowServer(func(conn net.Conn, reply []byte) {
			_, _ = conn.Write(reply[:len(reply)/2])
			<-time.After(3 * timeout)
			_, _ = conn.Write(reply[len(reply)/2:])
		})
		Reset(func() { _ = listener.Close() })
		reply, err := client.Call(listener.Addr().String(), idempotency.StatusRequest{}, timeout)
		So(err, ShouldBeNil)
		So(len(reply.(idempotency.Status).State), ShouldEqual, 1<<20)
	})
	Convey("A call ends with a timeout if nothing arrives, or no more of a reply", t, func() {
		for _, part := range []int{0, 2} {
			client := newClient(timeout)
			listener := slowServer(func(conn net.Conn, reply []byte) {
				if part > 0 {
					_, _ = conn.Write(reply[:len(reply)/part])
				}
			})
			_, err := client.Call(listener.Addr().String(), idempotency.StatusRequest{}, timeout)
			So(errors.Is(err, ErrTimeout), ShouldBeTrue)
			So(listener.Close(), ShouldBeNil)
		}
	})
}
