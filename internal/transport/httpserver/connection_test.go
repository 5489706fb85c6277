package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/reserve"
)

func TestFirstRequestOfEachConnection(t *testing.T) {
	Convey("The first request of each connection is served, because the poller observes the state that the listener set up for the connection", t, func() {
		const dialers, connectionsPerDialer = 8, 60
		address := reserve.Loopback(t)
		var served atomic.Int64
		server, err := Listen(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(r)
			if err == nil && string(body) == "request" && r.RemoteAddr != "" {
				served.Add(1)
			}
			_, _ = w.Write([]byte("response"))
		}), nil)
		So(err, ShouldBeNil)
		Reset(server.Close)
		workers := worker.NewGroup()
		client, err := NewClient("127.0.0.1", workers)
		So(err, ShouldBeNil)
		Reset(client.Close)
		var answered atomic.Int64
		var running sync.WaitGroup
		for range dialers {
			running.Add(1)
			workers.Go(func() {
				defer running.Done()
				for range connectionsPerDialer {
					conn, err := client.Dial(address, 10*time.Second, nil)
					if err != nil {
						continue
					}
					if response := conn.Post("/", []byte("request"), 10*time.Second); response.Err == nil && string(response.Body) == "response" {
						answered.Add(1)
					}
					conn.Close()
				}
			})
		}
		running.Wait()
		So(answered.Load(), ShouldEqual, dialers*connectionsPerDialer)
		So(served.Load(), ShouldEqual, dialers*connectionsPerDialer)
	})
}

func TestLongResponseWithConnectionClose(t *testing.T) {
	Convey("A response that is longer than the connection accepts at once arrives completely, even if the client sent Connection: close", t, func() {
		const size = 16 << 20
		address := reserve.Loopback(t)
		server, err := Listen(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte("x"), size))
		}), nil)
		So(err, ShouldBeNil)
		Reset(server.Close)
		smallBufferDialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		}}
		conn, err := smallBufferDialer.Dial("tcp", address)
		So(err, ShouldBeNil)
		Reset(func() { _ = conn.Close() })
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
		So(err, ShouldBeNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		So(len(body), ShouldEqual, size)
		So(response.Close, ShouldBeTrue)
	})
}
