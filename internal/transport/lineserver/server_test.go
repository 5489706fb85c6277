package lineserver

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
)

const testTimeout = 30 * time.Second

// ear hears one connection; events holds lines and, at the end, the end.
type recorder struct {
	conn   *Conn
	events chan string
	ended  chan error
	echo   bool
}

func newRecorder() *recorder {
	return &recorder{events: make(chan string, 1<<16), ended: make(chan error, 16)}
}

func (e *recorder) OnLines(lines [][]byte) {
	for _, line := range lines {
		e.events <- string(line)
	}
	if e.echo {
		e.conn.Write(append(bytes.Join(lines, []byte{'\n'}), '\n'))
	}
}

func (e *recorder) OnClose(err error) {
	e.ended <- err
	e.events <- "ended"
}

func (e *recorder) next() string {
	over := time.NewTimer(testTimeout)
	defer over.Stop()
	line, ok := worker.Receive(e.events, over.C)
	So(ok, ShouldBeTrue)
	return line
}

func (e *recorder) closeError() error {
	timeout := time.NewTimer(testTimeout)
	defer timeout.Stop()
	err, ok := worker.Receive(e.ended, timeout.C)
	So(ok, ShouldBeTrue)
	return err
}

type testServer struct {
	engine    *Server
	address   string
	recorders chan *recorder
}

func startTestServer(maxLineLength int, echo bool) *testServer {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	p := &testServer{address: probe.Addr().String(), recorders: make(chan *recorder, 1024)}
	So(probe.Close(), ShouldBeNil)
	p.engine = NewServer(worker.NewGroup(), p.address, maxLineLength, func(conn *Conn) Handler {
		recorder := newRecorder()
		recorder.conn, recorder.echo = conn, echo
		p.recorders <- recorder
		return recorder
	})
	So(p.engine.Start(), ShouldBeNil)
	// The engine below never ends if it is stopped before its listener runs.
	first, _ := p.dial()
	So(first.Close(), ShouldBeNil)
	return p
}

func (p *testServer) dial() (*net.TCPConn, *recorder) {
	conn, err := net.Dial("tcp", p.address)
	So(err, ShouldBeNil)
	over := time.NewTimer(testTimeout)
	defer over.Stop()
	recorder, ok := worker.Receive(p.recorders, over.C)
	So(ok, ShouldBeTrue)
	return conn.(*net.TCPConn), recorder
}

func TestAccepted(t *testing.T) {
	Convey("Given a listening engine", t, func() {
		p := startTestServer(1000, false)
		defer p.engine.Stop()
		conn, recorder := p.dial()
		defer func() { _ = conn.Close() }()
		send := func(text string) {
			_, err := conn.Write([]byte(text))
			So(err, ShouldBeNil)
		}
		Convey("Lines come whole and in order, with or without CR, and blank ones too", func() {
			send("one\r\ntwo\nthr")
			So([]string{recorder.next(), recorder.next()}, ShouldResemble, []string{"one", "two"})
			send("ee\r")
			send("\n\r\n\nx\ry\r\r\n")
			So([]string{recorder.next(), recorder.next(), recorder.next(), recorder.next()}, ShouldResemble, []string{"three", "", "", "x\ry\r"})
		})
		Convey("A line of the longest length is taken; one byte more ends the connection, whole or not", func() {
			send(strings.Repeat("a", 1000) + "\n")
			So(recorder.next(), ShouldEqual, strings.Repeat("a", 1000))
			send("good\n" + strings.Repeat("b", 1001) + "\nnever\n")
			So(recorder.next(), ShouldEqual, "good")
			So(recorder.next(), ShouldEqual, "ended")
			So(errors.Is(recorder.closeError(), ErrLineTooLong), ShouldBeTrue)
			So(len(recorder.events), ShouldEqual, 0)
		})
		Convey("An overlong line without an end is not waited for", func() {
			send(strings.Repeat("b", 1001))
			So(recorder.next(), ShouldEqual, "ended")
			So(errors.Is(recorder.closeError(), ErrLineTooLong), ShouldBeTrue)
		})
		Convey("A far end that closes its side is told after its lines, once, without what it left half said", func() {
			send("one\ntwo\nhalf")
			So(conn.CloseWrite(), ShouldBeNil)
			So([]string{recorder.next(), recorder.next(), recorder.next()}, ShouldResemble, []string{"one", "two", "ended"})
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(len(recorder.events), ShouldEqual, 0)
		})
		Convey("A far end that resets is told once", func() {
			send("one\n")
			So(recorder.next(), ShouldEqual, "one")
			So(conn.SetLinger(0), ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
			So(recorder.next(), ShouldEqual, "ended")
			So(len(recorder.ended), ShouldEqual, 1)
		})
		Convey("Closed from this side, it ends once, and writes to it do nothing", func() {
			recorder.conn.Close()
			So(recorder.next(), ShouldEqual, "ended")
			recorder.conn.Close()
			recorder.conn.Write([]byte("x\n"))
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(len(recorder.ended), ShouldEqual, 1)
		})
		Convey("A silent one holds up nobody", func() {
			send("half a li")
			for at := range 20 {
				other, heard := p.dial()
				_, err := fmt.Fprintf(other, "line %d\n", at)
				So(err, ShouldBeNil)
				So(heard.next(), ShouldEqual, fmt.Sprintf("line %d", at))
				So(other.Close(), ShouldBeNil)
				So(heard.next(), ShouldEqual, "ended")
			}
			send("ne\n")
			So(recorder.next(), ShouldEqual, "half a line")
		})
	})
}

func TestFlood(t *testing.T) {
	Convey("A flood of lines comes whole and in order, and is answered in order", t, func() {
		p := startTestServer(1000, true)
		defer p.engine.Stop()
		conn, recorder := p.dial()
		defer func() { _ = conn.Close() }()
		const count = 20000
		workers := worker.NewGroup()
		workers.Go(func() {
			for at := range count {
				_, _ = fmt.Fprintf(conn, "%d\n", at)
			}
		})
		answered := make(chan int, 1)
		workers.Go(func() {
			buffer, lines := make([]byte, 4096), 0
			for lines < count {
				read, err := conn.Read(buffer)
				lines += bytes.Count(buffer[:read], []byte{'\n'})
				if err != nil {
					break
				}
			}
			answered <- lines
		})
		wrong := 0
		for at := range count {
			if recorder.next() != fmt.Sprint(at) {
				wrong++
			}
		}
		So(wrong, ShouldEqual, 0)
		So(worker.Await(answered, testTimeout), ShouldBeTrue)
		So(workers.Stop(testTimeout), ShouldBeTrue)
	})
	Convey("A far end that never reads is given up before it takes much memory", t, func() {
		p := startTestServer(1000, false)
		defer p.engine.Stop()
		conn, recorder := p.dial()
		defer func() { _ = conn.Close() }()
		So(conn.SetReadBuffer(4096), ShouldBeNil)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		piece := bytes.Repeat([]byte{'x'}, 64<<10)
		for at := 0; at < 1024 && len(recorder.ended) == 0; at++ {
			recorder.conn.Write(piece)
		}
		So(recorder.next(), ShouldEqual, "ended")
		runtime.GC()
		runtime.ReadMemStats(&after)
		So(int64(after.HeapAlloc)-int64(before.HeapAlloc), ShouldBeLessThan, 24<<20)
	})
	Convey("A hundred far ends that say half a line each take no more than they said", t, func() {
		const count, size = 100, 60000
		p := startTestServer(1<<20, false)
		defer p.engine.Stop()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var recorders []*recorder
		for range count {
			conn, recorder := p.dial()
			defer func() { _ = conn.Close() }()
			_, err := conn.Write(append([]byte("head\n"), bytes.Repeat([]byte{'x'}, size)...))
			So(err, ShouldBeNil)
			recorders = append(recorders, recorder)
		}
		for _, recorder := range recorders {
			So(recorder.next(), ShouldEqual, "head")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		// each ear's channel holds 1 MiB of its own
		So(int64(after.HeapAlloc)-int64(before.HeapAlloc)-count<<20, ShouldBeLessThan, 4*count*size)
	})
}

func TestDialed(t *testing.T) {
	Convey("Given an engine that only opens", t, func() {
		e := NewServer(worker.NewGroup(), "", 1000, func(*Conn) Handler { panic("nobody is greeted") })
		So(e.Start(), ShouldBeNil)
		defer e.Stop()
		reach := func(address string, timeout time.Duration) (*recorder, chan bool) {
			recorder, ups := newRecorder(), make(chan bool, 8)
			e.Dial(address, []byte("hello\n"), timeout, recorder, func(conn *Conn) { recorder.conn = conn; ups <- true })
			return recorder, ups
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		meet := func() (*recorder, net.Conn) {
			recorder, _ := reach(listener.Addr().String(), testTimeout)
			far, err := listener.Accept()
			So(err, ShouldBeNil)
			return recorder, far
		}
		// The engine below never ends if it is stopped before it runs.
		first, far := meet()
		So(far.Close(), ShouldBeNil)
		So(first.next(), ShouldEqual, "ended")
		Convey("The first words go out before all others, and the end comes once", func() {
			recorder, far := meet()
			heard := make([]byte, 6)
			_, err = far.Read(heard)
			So(err, ShouldBeNil)
			So(string(heard), ShouldEqual, "hello\n")
			_, err = far.Write([]byte("READY\nand\n"))
			So(err, ShouldBeNil)
			So([]string{recorder.next(), recorder.next()}, ShouldResemble, []string{"READY", "and"})
			So(far.Close(), ShouldBeNil)
			So(recorder.next(), ShouldEqual, "ended")
			So(len(recorder.ended), ShouldEqual, 1)
			recorder, _ = reach("no address", testTimeout)
			So(recorder.next(), ShouldEqual, "ended")
			So(recorder.closeError(), ShouldNotBeNil)
		})
		Convey("A refused one ends once, and was never up", func() {
			probe, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			So(probe.Close(), ShouldBeNil)
			recorder, ups := reach(probe.Addr().String(), testTimeout)
			So(recorder.next(), ShouldEqual, "ended")
			So(recorder.closeError(), ShouldNotBeNil)
			So(len(ups), ShouldEqual, 0)
			So(len(recorder.events), ShouldEqual, 0)
		})
		Convey("A far end that never answers is given up at the bound", func() {
			address, done := listenWithFullBacklog()
			defer done()
			recorder, ups := reach(address, 50*time.Millisecond)
			So(recorder.next(), ShouldEqual, "ended")
			So(recorder.closeError(), ShouldNotBeNil)
			So(len(ups), ShouldEqual, 0)
			So(len(recorder.events), ShouldEqual, 0)
		})
	})
}

// deaf listens with a queue that is full, so that openings are not answered.
func listenWithFullBacklog() (string, func()) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	So(err, ShouldBeNil)
	So(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), ShouldBeNil)
	So(syscall.Listen(fd, 0), ShouldBeNil)
	name, err := syscall.Getsockname(fd)
	So(err, ShouldBeNil)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	var held []net.Conn
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		held = append(held, conn)
	}
	return address, func() {
		for _, conn := range held {
			_ = conn.Close()
		}
		_ = syscall.Close(fd)
	}
}

func TestAddress(t *testing.T) {
	Convey("An address in use is told as such", t, func() {
		p := startTestServer(1000, false)
		defer p.engine.Stop()
		So(errors.Is(NewServer(worker.NewGroup(), p.address, 1000, nil).Start(), ErrListen), ShouldBeTrue)
	})
}

// FuzzSplit holds the splitting to one thing: wherever the chunks are cut,
// the lines are the same.
func FuzzLineSplitting(f *testing.F) {
	f.Add([]byte("one\r\ntwo\nthree"), []byte{1, 2, 3})
	f.Add([]byte("\r\n\n\r\r\n"), []byte{1})
	f.Add([]byte("a\r\nb"), []byte{2, 1, 1})
	f.Add([]byte(strings.Repeat("long ", 40)+"\n"), []byte{7})
	f.Add([]byte{}, []byte{0})
	f.Add([]byte("x\n\x00\xff\ny\n"), []byte{})
	f.Fuzz(func(t *testing.T, data, cuts []byte) {
		split := func(cuts []byte) []string {
			recorder := newRecorder()
			conn := &Conn{handler: recorder, maxLineLength: 1 << 20}
			rest := data
			for at := 0; len(rest) > 0; at++ {
				size := len(rest)
				if len(cuts) > 0 {
					size = min(size, int(cuts[at%len(cuts)])+1)
				}
				// what is handed over is used again once it has been heard
				piece := append([]byte(nil), rest[:size]...)
				conn.onData(piece)
				for index := range piece {
					piece[index] = '#'
				}
				rest = rest[size:]
			}
			close(recorder.events)
			var lines []string
			for line := range recorder.events {
				lines = append(lines, line)
			}
			return append(lines, string(conn.partial))
		}
		if len(data) > 1<<15 {
			return
		}
		whole, cut := split(nil), split(cuts)
		if fmt.Sprintf("%q", whole) != fmt.Sprintf("%q", cut) {
			t.Fatalf("%q at once, %q in pieces", whole, cut)
		}
	})
}
