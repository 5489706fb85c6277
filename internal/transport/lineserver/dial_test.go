package lineserver

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
)

// lineCollector records the lines of a connection and the error of its close.
type lineCollector struct {
	lines chan string
	ended chan error
}

func (c *lineCollector) OnLines(lines [][]byte) {
	for _, line := range lines {
		c.lines <- string(line)
	}
}

func (c *lineCollector) OnClose(err error) { c.ended <- err }

func TestDial(t *testing.T) {
	Convey("A dialed connection sends its initial data and receives lines", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := NewServer(worker.NewGroup(), "", 100, nil)
		So(server.Start(), ShouldBeNil)
		collector := &lineCollector{lines: make(chan string, 9), ended: make(chan error, 9)}
		server.Dial(listener.Addr().String(), []byte("hello\r\n"), time.Second, collector, func(*Conn) {})
		conn, err := listener.Accept()
		So(err, ShouldBeNil)
		buffer := make([]byte, 100)
		count, err := conn.Read(buffer)
		So(err, ShouldBeNil)
		So(string(buffer[:count]), ShouldEqual, "hello\r\n")
		_, err = conn.Write([]byte("one\r\ntwo\r\n"))
		So(err, ShouldBeNil)
		So(<-collector.lines, ShouldEqual, "one")
		So(<-collector.lines, ShouldEqual, "two")
		So(conn.Close(), ShouldBeNil)
		<-collector.ended
	})
}
