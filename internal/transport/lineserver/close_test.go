package lineserver

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// longAnswerSize is larger than what the sockets of a connection buffer, and
	// smaller than maxWriteBufferSize.
	longAnswerSize = 3 << 20
	smallBuffer    = 32 << 10
)

// readAll reads up to the end of the connection and returns the number of bytes.
func readAll(conn net.Conn) int {
	So(conn.SetReadDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
	received, err := io.ReadAll(conn)
	So(err, ShouldBeNil)
	return len(received)
}

func TestCloseGracefully(t *testing.T) {
	// Guards against answers that are lost because the connection is closed right
	// after they were written.
	Convey("Given a server that listens", t, func() {
		s := startTestServer(t, 1000, false)
		defer s.server.Stop()
		conn, recorder := s.dial()
		defer func() { _ = conn.Close() }()
		Convey("The remote end receives everything that was written before a graceful close", func() {
			So(recorder.conn.raw.SetWriteBuffer(smallBuffer), ShouldBeNil)
			recorder.conn.Write(bytes.Repeat([]byte{'x'}, longAnswerSize))
			So(recorder.conn.unsent.Load(), ShouldBeGreaterThan, 0)
			recorder.conn.CloseGracefully()
			So(s.server.Sending(), ShouldEqual, 1)
			So(readAll(conn), ShouldEqual, longAnswerSize)
			So(s.server.Sending(), ShouldEqual, 0)
			So(conn.Close(), ShouldBeNil)
			So(recorder.next(), ShouldEqual, "ended")
			So(s.server.UnsentAtClose(), ShouldEqual, 0)
			So(s.server.Accepted(), ShouldEqual, 0)
		})
		Convey("A line that arrives after a graceful close is dropped and resets nothing", func() {
			recorder.conn.Write([]byte("answer\r\n"))
			recorder.conn.CloseGracefully()
			_, err := conn.Write([]byte("late\r\n"))
			So(err, ShouldBeNil)
			So(readAll(conn), ShouldEqual, len("answer\r\n"))
			So(conn.Close(), ShouldBeNil)
			So(recorder.next(), ShouldEqual, "ended")
			So(len(recorder.events), ShouldEqual, 0)
		})
		Convey("The handler is notified once when the remote end has closed its side, also if the connection is closed twice", func() {
			recorder.conn.CloseGracefully()
			recorder.conn.CloseGracefully()
			So(readAll(conn), ShouldEqual, 0)
			So(s.server.Accepted(), ShouldEqual, 1)
			So(conn.Close(), ShouldBeNil)
			So(recorder.next(), ShouldEqual, "ended")
			recorder.conn.CloseGracefully()
			So(len(recorder.ended), ShouldEqual, 1)
		})
		Convey("A handler may answer and close a connection as soon as it was accepted", func() {
			refuse := func(conn *Conn) {
				conn.Write([]byte("refused\r\n"))
				conn.CloseGracefully()
			}
			s.onAccept.Store(&refuse)
			refused, refusedRecorder := s.dial()
			defer func() { _ = refused.Close() }()
			So(readAll(refused), ShouldEqual, len("refused\r\n"))
			So(refused.Close(), ShouldBeNil)
			So(refusedRecorder.next(), ShouldEqual, "ended")
			So(s.server.Accepted(), ShouldEqual, 1)
		})
		Convey("A remote end that does not close its side is closed after a time-out", func() {
			recorder.conn.CloseGracefully()
			So(recorder.next(), ShouldEqual, "ended")
			So(s.server.Accepted(), ShouldEqual, 0)
		})
		Convey("A remote end that reads nothing is closed after a time-out, and the unsent bytes are counted", func() {
			So(recorder.conn.raw.SetWriteBuffer(smallBuffer), ShouldBeNil)
			recorder.conn.Write(bytes.Repeat([]byte{'x'}, longAnswerSize))
			So(recorder.conn.unsent.Load(), ShouldBeGreaterThan, 0)
			recorder.conn.CloseGracefully()
			So(recorder.next(), ShouldEqual, "ended")
			So(s.server.Sending(), ShouldEqual, 0)
			So(s.server.UnsentAtClose(), ShouldBeGreaterThan, 0)
		})
	})
}
