package lineserver

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/reserve"
)

const testTimeout = 30 * time.Second

// recorder records the events of one connection: events receives each line, and
// "ended" when the connection was closed.
type recorder struct {
	conn   *Conn
	events chan string
	ended  chan error
	echo   bool
}

func newRecorder() *recorder {
	return &recorder{events: make(chan string, 1<<16), ended: make(chan error, 16)}
}

func (r *recorder) OnLines(lines [][]byte) {
	for _, line := range lines {
		r.events <- string(line)
	}
	if r.echo {
		r.conn.Write(append(bytes.Join(lines, lineEnd), lineEnd...))
	}
}

func (r *recorder) OnClose(err error) {
	r.ended <- err
	r.events <- "ended"
}

func (r *recorder) next() string {
	timer := time.NewTimer(testTimeout)
	defer timer.Stop()
	line, ok := worker.Receive(r.events, timer.C)
	So(ok, ShouldBeTrue)
	return line
}

func (r *recorder) closeError() error {
	timer := time.NewTimer(testTimeout)
	defer timer.Stop()
	err, ok := worker.Receive(r.ended, timer.C)
	So(ok, ShouldBeTrue)
	return err
}

type testServer struct {
	server    *Server
	address   string
	recorders chan *recorder
	// onAccept, if set, is called with each accepted connection before it has a
	// handler.
	onAccept atomic.Pointer[func(*Conn)]
}

func startTestServer(t *testing.T, maxLineLength int, echo bool) *testServer {
	s := &testServer{address: reserve.Loopback(t), recorders: make(chan *recorder, 1024)}
	s.server = NewServer(worker.NewGroup(), s.address, maxLineLength, func(conn *Conn) Handler {
		recorder := newRecorder()
		recorder.conn, recorder.echo = conn, echo
		if act := s.onAccept.Load(); act != nil {
			(*act)(conn)
		}
		s.recorders <- recorder
		return recorder
	})
	So(s.server.Start(), ShouldBeNil)
	// Wait until the listener accepts connections: the engine of nbio never stops if
	// Stop is called before its listener runs.
	firstConn, firstRecorder := s.dial()
	So(firstConn.Close(), ShouldBeNil)
	So(firstRecorder.next(), ShouldEqual, "ended")
	return s
}

func (s *testServer) dial() (*net.TCPConn, *recorder) {
	conn, err := net.Dial("tcp", s.address)
	So(err, ShouldBeNil)
	timer := time.NewTimer(testTimeout)
	defer timer.Stop()
	recorder, ok := worker.Receive(s.recorders, timer.C)
	So(ok, ShouldBeTrue)
	return conn.(*net.TCPConn), recorder
}

func TestAcceptedConnections(t *testing.T) {
	Convey("Given a server that listens", t, func() {
		s := startTestServer(t, 1000, false)
		defer s.server.Stop()
		conn, recorder := s.dial()
		defer func() { _ = conn.Close() }()
		send := func(text string) {
			_, err := conn.Write([]byte(text))
			So(err, ShouldBeNil)
		}
		Convey("Lines arrive complete and in order, including empty lines and lines with a lone CR or LF", func() {
			send("one\r\ntwo\r\nthr")
			So([]string{recorder.next(), recorder.next()}, ShouldResemble, []string{"one", "two"})
			send("ee\r")
			send("\n\r\n\nx\ry\r\r\n\r\n")
			So([]string{recorder.next(), recorder.next(), recorder.next(), recorder.next()}, ShouldResemble, []string{"three", "", "\nx\ry\r", ""})
			So(s.server.LoneLineFeeds(), ShouldEqual, 1)
		})
		Convey("A line of the maximum length is accepted, and a line that is one byte longer closes the connection", func() {
			send(strings.Repeat("a", 1000) + "\r")
			send("\n")
			So(recorder.next(), ShouldEqual, strings.Repeat("a", 1000))
			send("good\r\n" + strings.Repeat("b", 1001) + "\r\nnever\r\n")
			So(recorder.next(), ShouldEqual, "good")
			So(recorder.next(), ShouldEqual, "ended")
			So(errors.Is(recorder.closeError(), ErrLineTooLong), ShouldBeTrue)
			So(len(recorder.events), ShouldEqual, 0)
		})
		Convey("A line that is too long closes the connection before its end arrives", func() {
			send(strings.Repeat("b", 1001))
			So(recorder.next(), ShouldEqual, "ended")
			So(errors.Is(recorder.closeError(), ErrLineTooLong), ShouldBeTrue)
		})
		Convey("When the remote end closes the connection, the handler is notified once after the complete lines, and an incomplete line is dropped", func() {
			send("one\r\ntwo\r\nhalf")
			So(conn.CloseWrite(), ShouldBeNil)
			So([]string{recorder.next(), recorder.next(), recorder.next()}, ShouldResemble, []string{"one", "two", "ended"})
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(len(recorder.events), ShouldEqual, 0)
		})
		Convey("When the remote end resets the connection, the handler is notified once", func() {
			send("one\r\n")
			So(recorder.next(), ShouldEqual, "one")
			So(conn.SetLinger(0), ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
			So(recorder.next(), ShouldEqual, "ended")
			So(len(recorder.ended), ShouldEqual, 1)
		})
		Convey("When this end closes the connection, the handler is notified once, and later writes do nothing", func() {
			recorder.conn.Close()
			So(recorder.next(), ShouldEqual, "ended")
			recorder.conn.Close()
			recorder.conn.Write([]byte("x\r\n"))
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(len(recorder.ended), ShouldEqual, 1)
		})
		Convey("A connection that has sent an incomplete line does not block other connections", func() {
			send("half a li")
			for number := range 20 {
				other, otherRecorder := s.dial()
				_, err := fmt.Fprintf(other, "line %d\r\n", number)
				So(err, ShouldBeNil)
				So(otherRecorder.next(), ShouldEqual, fmt.Sprintf("line %d", number))
				So(other.Close(), ShouldBeNil)
				So(otherRecorder.next(), ShouldEqual, "ended")
			}
			send("ne\r\n")
			So(recorder.next(), ShouldEqual, "half a line")
		})
	})
}

func TestFlood(t *testing.T) {
	Convey("Many lines that are sent at once arrive complete and in order, and all of them are echoed", t, func() {
		s := startTestServer(t, 1000, true)
		defer s.server.Stop()
		conn, recorder := s.dial()
		defer func() { _ = conn.Close() }()
		const count = 20000
		workers := worker.NewGroup()
		workers.Go(func() {
			for number := range count {
				_, _ = fmt.Fprintf(conn, "%d\r\n", number)
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
		mismatches := 0
		for number := range count {
			if recorder.next() != fmt.Sprint(number) {
				mismatches++
			}
		}
		So(mismatches, ShouldEqual, 0)
		So(worker.Await(answered, testTimeout), ShouldBeTrue)
		So(workers.Stop(testTimeout), ShouldBeTrue)
	})
	Convey("A connection whose remote end never reads is closed before it uses 24 MiB of memory", t, func() {
		s := startTestServer(t, 1000, false)
		defer s.server.Stop()
		conn, recorder := s.dial()
		defer func() { _ = conn.Close() }()
		So(conn.SetReadBuffer(4096), ShouldBeNil)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		chunk := bytes.Repeat([]byte{'x'}, 64<<10)
		for writes := 0; writes < 1024 && len(recorder.ended) == 0; writes++ {
			recorder.conn.Write(chunk)
		}
		So(recorder.next(), ShouldEqual, "ended")
		runtime.GC()
		runtime.ReadMemStats(&after)
		So(int64(after.HeapAlloc)-int64(before.HeapAlloc), ShouldBeLessThan, 24<<20)
	})
	Convey("A hundred connections with an incomplete line each use less than four times the memory of the bytes sent", t, func() {
		const count, size = 100, 60000
		s := startTestServer(t, 1<<20, false)
		defer s.server.Stop()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var recorders []*recorder
		for range count {
			conn, recorder := s.dial()
			defer func() { _ = conn.Close() }()
			_, err := conn.Write(append([]byte("head\r\n"), bytes.Repeat([]byte{'x'}, size)...))
			So(err, ShouldBeNil)
			recorders = append(recorders, recorder)
		}
		for _, recorder := range recorders {
			So(recorder.next(), ShouldEqual, "head")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		// The channel of each recorder uses 1 MiB, which does not count.
		So(int64(after.HeapAlloc)-int64(before.HeapAlloc)-count<<20, ShouldBeLessThan, 4*count*size)
	})
}

func TestDialedConnections(t *testing.T) {
	Convey("Given a server that only dials", t, func() {
		server := NewServer(worker.NewGroup(), "", 1000, func(*Conn) Handler { panic("accepted a connection without a listener") })
		So(server.Start(), ShouldBeNil)
		defer server.Stop()
		dial := func(address string, timeout time.Duration) (*recorder, chan bool) {
			recorder, connected := newRecorder(), make(chan bool, 8)
			server.Dial(address, []byte("hello\r\n"), timeout, recorder, func(conn *Conn) { recorder.conn = conn; connected <- true })
			return recorder, connected
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		connect := func() (*recorder, net.Conn) {
			recorder, _ := dial(listener.Addr().String(), testTimeout)
			remote, err := listener.Accept()
			So(err, ShouldBeNil)
			return recorder, remote
		}
		// Wait until the engine runs: the engine of nbio never stops if Stop is called
		// before it runs.
		firstRecorder, remote := connect()
		So(remote.Close(), ShouldBeNil)
		So(firstRecorder.next(), ShouldEqual, "ended")
		Convey("A dialed connection sends the initial data first, and the handler is notified once of a close or of a failed dial", func() {
			recorder, remote := connect()
			received := make([]byte, len("hello\r\n"))
			_, err = remote.Read(received)
			So(err, ShouldBeNil)
			So(string(received), ShouldEqual, "hello\r\n")
			_, err = remote.Write([]byte("READY\r\nand\r\n"))
			So(err, ShouldBeNil)
			So([]string{recorder.next(), recorder.next()}, ShouldResemble, []string{"READY", "and"})
			So(remote.Close(), ShouldBeNil)
			So(recorder.next(), ShouldEqual, "ended")
			So(len(recorder.ended), ShouldEqual, 1)
			recorder, _ = dial("no address", testTimeout)
			So(recorder.next(), ShouldEqual, "ended")
			So(recorder.closeError(), ShouldNotBeNil)
		})
		Convey("When a connection is refused, the handler is notified once and onConnect is not called", func() {
			recorder, connected := dial(reserve.Loopback(t), testTimeout)
			So(recorder.next(), ShouldEqual, "ended")
			So(recorder.closeError(), ShouldNotBeNil)
			So(len(connected), ShouldEqual, 0)
			So(len(recorder.events), ShouldEqual, 0)
		})
		Convey("When the remote end does not answer, the dial fails at the timeout and onConnect is not called", func() {
			address, closeListener := listenWithFullBacklog()
			defer closeListener()
			recorder, connected := dial(address, 50*time.Millisecond)
			So(recorder.next(), ShouldEqual, "ended")
			So(recorder.closeError(), ShouldNotBeNil)
			So(len(connected), ShouldEqual, 0)
			So(len(recorder.events), ShouldEqual, 0)
		})
	})
}

// listenWithFullBacklog listens with a full backlog, so that further connections are
// not accepted. It returns the address and a function that closes the listener.
func listenWithFullBacklog() (string, func()) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	So(err, ShouldBeNil)
	So(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), ShouldBeNil)
	So(syscall.Listen(fd, 0), ShouldBeNil)
	name, err := syscall.Getsockname(fd)
	So(err, ShouldBeNil)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	var conns []net.Conn
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	return address, func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
		_ = syscall.Close(fd)
	}
}

func TestAddressInUse(t *testing.T) {
	Convey("Start returns an error of type ErrListen if the address is in use", t, func() {
		s := startTestServer(t, 1000, false)
		defer s.server.Stop()
		So(errors.Is(NewServer(worker.NewGroup(), s.address, 1000, nil).Start(), ErrListen), ShouldBeTrue)
	})
}

// FuzzLineSplitting checks that the lines are the same however the network splits the
// data into reads.
func FuzzLineSplitting(f *testing.F) {
	f.Add([]byte("one\r\ntwo\r\nthree\nfour\r"), []byte{1, 2, 3})
	f.Add([]byte("\r\n\n\r\r\n"), []byte{1})
	f.Add([]byte("a\r\nb"), []byte{2, 1, 1})
	f.Add([]byte(strings.Repeat("long ", 40)+"\r\n"), []byte{7})
	f.Add([]byte{}, []byte{0})
	f.Add([]byte("x\r\n\x00\xff\ny\r\n"), []byte{})
	f.Fuzz(func(t *testing.T, data, cuts []byte) {
		split := func(cuts []byte) []string {
			recorder := newRecorder()
			conn := &Conn{server: &Server{}, handler: recorder, maxLineLength: 1 << 20}
			rest := data
			for chunkIndex := 0; len(rest) > 0; chunkIndex++ {
				size := len(rest)
				if len(cuts) > 0 {
					size = min(size, int(cuts[chunkIndex%len(cuts)])+1)
				}
				// Overwrite the chunk after onData, as the event loop reuses its buffer.
				chunk := append([]byte(nil), rest[:size]...)
				conn.onData(chunk)
				for index := range chunk {
					chunk[index] = '#'
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
		uncut, cut := split(nil), split(cuts)
		if fmt.Sprintf("%q", uncut) != fmt.Sprintf("%q", cut) {
			t.Fatalf("lines from one read = %q, from split reads = %q", uncut, cut)
		}
	})
}
