package lineserver

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
)

type heard struct {
	lines chan string
	ended chan error
}

func (h *heard) Lines(lines [][]byte) {
	for _, line := range lines {
		h.lines <- string(line)
	}
}

func (h *heard) Ended(err error) { h.ended <- err }

func TestOpen(t *testing.T) {
	Convey("A connection that is opened writes first and hears lines", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		engine := New(worker.NewCrew(), "", 100, nil)
		So(engine.Start(), ShouldBeNil)
		h := &heard{lines: make(chan string, 9), ended: make(chan error, 9)}
		engine.Open(listener.Addr().String(), []byte("hello\r\n"), time.Second, h, func(*Conn) {})
		conn, err := listener.Accept()
		So(err, ShouldBeNil)
		buffer := make([]byte, 100)
		count, err := conn.Read(buffer)
		So(err, ShouldBeNil)
		So(string(buffer[:count]), ShouldEqual, "hello\r\n")
		_, err = conn.Write([]byte("one\r\ntwo\n"))
		So(err, ShouldBeNil)
		So(<-h.lines, ShouldEqual, "one")
		So(<-h.lines, ShouldEqual, "two")
		So(conn.Close(), ShouldBeNil)
		<-h.ended
	})
}
