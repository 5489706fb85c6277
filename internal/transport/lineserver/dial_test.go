package lineserver

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
)

type lineCollector struct {
	lines chan string
	ended chan error
}

func (h *lineCollector) OnLines(lines [][]byte) {
	for _, line := range lines {
		h.lines <- string(line)
	}
}

func (h *lineCollector) OnClose(err error) { h.ended <- err }

func TestDial(t *testing.T) {
	Convey("A connection that is opened writes first and hears lines", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		engine := NewServer(worker.NewGroup(), "", 100, nil)
		So(engine.Start(), ShouldBeNil)
		h := &lineCollector{lines: make(chan string, 9), ended: make(chan error, 9)}
		engine.Dial(listener.Addr().String(), []byte("hello\r\n"), time.Second, h, func(*Conn) {})
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
