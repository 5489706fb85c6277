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

const patience = 30 * time.Second

// ear hears one connection; events holds lines and, at the end, the end.
type ear struct {
	conn   *Conn
	events chan string
	ended  chan error
	echo   bool
}

func newEar() *ear { return &ear{events: make(chan string, 1<<16), ended: make(chan error, 16)} }

func (e *ear) Lines(lines [][]byte) {
	for _, line := range lines {
		e.events <- string(line)
	}
	if e.echo {
		e.conn.Write(append(bytes.Join(lines, []byte{'\n'}), '\n'))
	}
}

func (e *ear) Ended(err error) {
	e.ended <- err
	e.events <- "ended"
}

func (e *ear) next() string {
	over := time.NewTimer(patience)
	defer over.Stop()
	line, isOne := worker.Take(e.events, over.C)
	So(isOne, ShouldBeTrue)
	return line
}

func (e *ear) over() error {
	bound := time.NewTimer(patience)
	defer bound.Stop()
	err, isOne := worker.Take(e.ended, bound.C)
	So(isOne, ShouldBeTrue)
	return err
}

type port struct {
	engine  *Engine
	address string
	ears    chan *ear
}

func open(longest int, echo bool) *port {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	p := &port{address: probe.Addr().String(), ears: make(chan *ear, 1024)}
	So(probe.Close(), ShouldBeNil)
	p.engine = New(worker.NewCrew(), p.address, longest, func(conn *Conn) Handler {
		one := newEar()
		one.conn, one.echo = conn, echo
		p.ears <- one
		return one
	})
	So(p.engine.Start(), ShouldBeNil)
	// The engine below never ends if it is stopped before its listener runs.
	first, _ := p.dial()
	So(first.Close(), ShouldBeNil)
	return p
}

func (p *port) dial() (*net.TCPConn, *ear) {
	conn, err := net.Dial("tcp", p.address)
	So(err, ShouldBeNil)
	over := time.NewTimer(patience)
	defer over.Stop()
	one, isOne := worker.Take(p.ears, over.C)
	So(isOne, ShouldBeTrue)
	return conn.(*net.TCPConn), one
}

func TestAccepted(t *testing.T) {
	Convey("Given a listening engine", t, func() {
		p := open(1000, false)
		defer p.engine.Stop()
		conn, one := p.dial()
		defer func() { _ = conn.Close() }()
		say := func(text string) {
			_, err := conn.Write([]byte(text))
			So(err, ShouldBeNil)
		}
		Convey("Lines come whole and in order, with or without CR, and blank ones too", func() {
			say("one\r\ntwo\nthr")
			So([]string{one.next(), one.next()}, ShouldResemble, []string{"one", "two"})
			say("ee\r")
			say("\n\r\n\nx\ry\r\r\n")
			So([]string{one.next(), one.next(), one.next(), one.next()}, ShouldResemble, []string{"three", "", "", "x\ry\r"})
		})
		Convey("A line of the longest length is taken; one byte more ends the connection, whole or not", func() {
			say(strings.Repeat("a", 1000) + "\n")
			So(one.next(), ShouldEqual, strings.Repeat("a", 1000))
			say("good\n" + strings.Repeat("b", 1001) + "\nnever\n")
			So(one.next(), ShouldEqual, "good")
			So(one.next(), ShouldEqual, "ended")
			So(errors.Is(one.over(), ErrTooLong), ShouldBeTrue)
			So(len(one.events), ShouldEqual, 0)
		})
		Convey("An overlong line without an end is not waited for", func() {
			say(strings.Repeat("b", 1001))
			So(one.next(), ShouldEqual, "ended")
			So(errors.Is(one.over(), ErrTooLong), ShouldBeTrue)
		})
		Convey("A far end that closes its side is told after its lines, once, without what it left half said", func() {
			say("one\ntwo\nhalf")
			So(conn.CloseWrite(), ShouldBeNil)
			So([]string{one.next(), one.next(), one.next()}, ShouldResemble, []string{"one", "two", "ended"})
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(len(one.events), ShouldEqual, 0)
		})
		Convey("A far end that resets is told once", func() {
			say("one\n")
			So(one.next(), ShouldEqual, "one")
			So(conn.SetLinger(0), ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
			So(one.next(), ShouldEqual, "ended")
			So(len(one.ended), ShouldEqual, 1)
		})
		Convey("Closed from this side, it ends once, and writes to it do nothing", func() {
			one.conn.Close()
			So(one.next(), ShouldEqual, "ended")
			one.conn.Close()
			one.conn.Write([]byte("x\n"))
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(len(one.ended), ShouldEqual, 1)
		})
		Convey("A silent one holds up nobody", func() {
			say("half a li")
			for at := range 20 {
				other, heard := p.dial()
				_, err := fmt.Fprintf(other, "line %d\n", at)
				So(err, ShouldBeNil)
				So(heard.next(), ShouldEqual, fmt.Sprintf("line %d", at))
				So(other.Close(), ShouldBeNil)
				So(heard.next(), ShouldEqual, "ended")
			}
			say("ne\n")
			So(one.next(), ShouldEqual, "half a line")
		})
	})
}

func TestFlood(t *testing.T) {
	Convey("A flood of lines comes whole and in order, and is answered in order", t, func() {
		p := open(1000, true)
		defer p.engine.Stop()
		conn, one := p.dial()
		defer func() { _ = conn.Close() }()
		const count = 20000
		crew := worker.NewCrew()
		crew.Go(func() {
			for at := range count {
				_, _ = fmt.Fprintf(conn, "%d\n", at)
			}
		})
		answered := make(chan int, 1)
		crew.Go(func() {
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
			if one.next() != fmt.Sprint(at) {
				wrong++
			}
		}
		So(wrong, ShouldEqual, 0)
		So(worker.Await(answered, patience), ShouldBeTrue)
		So(crew.Stop(patience), ShouldBeTrue)
	})
	Convey("A far end that never reads is given up before it takes much memory", t, func() {
		p := open(1000, false)
		defer p.engine.Stop()
		conn, one := p.dial()
		defer func() { _ = conn.Close() }()
		So(conn.SetReadBuffer(4096), ShouldBeNil)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		piece := bytes.Repeat([]byte{'x'}, 64<<10)
		for at := 0; at < 1024 && len(one.ended) == 0; at++ {
			one.conn.Write(piece)
		}
		So(one.next(), ShouldEqual, "ended")
		runtime.GC()
		runtime.ReadMemStats(&after)
		So(int64(after.HeapAlloc)-int64(before.HeapAlloc), ShouldBeLessThan, 24<<20)
	})
	Convey("A hundred far ends that say half a line each take no more than they said", t, func() {
		const count, size = 100, 60000
		p := open(1<<20, false)
		defer p.engine.Stop()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var ears []*ear
		for range count {
			conn, one := p.dial()
			defer func() { _ = conn.Close() }()
			_, err := conn.Write(append([]byte("head\n"), bytes.Repeat([]byte{'x'}, size)...))
			So(err, ShouldBeNil)
			ears = append(ears, one)
		}
		for _, one := range ears {
			So(one.next(), ShouldEqual, "head")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		// each ear's channel holds 1 MiB of its own
		So(int64(after.HeapAlloc)-int64(before.HeapAlloc)-count<<20, ShouldBeLessThan, 4*count*size)
	})
}

func TestOpened(t *testing.T) {
	Convey("Given an engine that only opens", t, func() {
		e := New(worker.NewCrew(), "", 1000, func(*Conn) Handler { panic("nobody is greeted") })
		So(e.Start(), ShouldBeNil)
		defer e.Stop()
		reach := func(address string, bound time.Duration) (*ear, chan bool) {
			one, ups := newEar(), make(chan bool, 8)
			e.Open(address, []byte("hello\n"), bound, one, func(conn *Conn) { one.conn = conn; ups <- true })
			return one, ups
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		meet := func() (*ear, net.Conn) {
			one, _ := reach(listener.Addr().String(), patience)
			far, err := listener.Accept()
			So(err, ShouldBeNil)
			return one, far
		}
		// The engine below never ends if it is stopped before it runs.
		first, far := meet()
		So(far.Close(), ShouldBeNil)
		So(first.next(), ShouldEqual, "ended")
		Convey("The first words go out before all others, and the end comes once", func() {
			one, far := meet()
			heard := make([]byte, 6)
			_, err = far.Read(heard)
			So(err, ShouldBeNil)
			So(string(heard), ShouldEqual, "hello\n")
			_, err = far.Write([]byte("READY\nand\n"))
			So(err, ShouldBeNil)
			So([]string{one.next(), one.next()}, ShouldResemble, []string{"READY", "and"})
			So(far.Close(), ShouldBeNil)
			So(one.next(), ShouldEqual, "ended")
			So(len(one.ended), ShouldEqual, 1)
			one, _ = reach("no address", patience)
			So(one.next(), ShouldEqual, "ended")
			So(one.over(), ShouldNotBeNil)
		})
		Convey("A refused one ends once, and was never up", func() {
			probe, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			So(probe.Close(), ShouldBeNil)
			one, ups := reach(probe.Addr().String(), patience)
			So(one.next(), ShouldEqual, "ended")
			So(one.over(), ShouldNotBeNil)
			So(len(ups), ShouldEqual, 0)
			So(len(one.events), ShouldEqual, 0)
		})
		Convey("A far end that never answers is given up at the bound", func() {
			address, done := deaf()
			defer done()
			one, ups := reach(address, 50*time.Millisecond)
			So(one.next(), ShouldEqual, "ended")
			So(one.over(), ShouldNotBeNil)
			So(len(ups), ShouldEqual, 0)
			So(len(one.events), ShouldEqual, 0)
		})
	})
}

// deaf listens with a queue that is full, so that openings are not answered.
func deaf() (string, func()) {
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
		p := open(1000, false)
		defer p.engine.Stop()
		So(errors.Is(New(worker.NewCrew(), p.address, 1000, nil).Start(), ErrListen), ShouldBeTrue)
	})
}

// FuzzSplit holds the splitting to one thing: wherever the chunks are cut,
// the lines are the same.
func FuzzSplit(f *testing.F) {
	f.Add([]byte("one\r\ntwo\nthree"), []byte{1, 2, 3})
	f.Add([]byte("\r\n\n\r\r\n"), []byte{1})
	f.Add([]byte("a\r\nb"), []byte{2, 1, 1})
	f.Add([]byte(strings.Repeat("long ", 40)+"\n"), []byte{7})
	f.Add([]byte{}, []byte{0})
	f.Add([]byte("x\n\x00\xff\ny\n"), []byte{})
	f.Fuzz(func(t *testing.T, data, cuts []byte) {
		split := func(cuts []byte) []string {
			one := newEar()
			conn := &Conn{handler: one, longest: 1 << 20}
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
			close(one.events)
			var lines []string
			for line := range one.events {
				lines = append(lines, line)
			}
			return append(lines, string(conn.rest))
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
