package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
)

// ledger is an allocator that gives no buffer twice, and notes each one that
// is freed more than once, or changed after it was freed.
type recordingAllocator struct {
	mutex  sync.Mutex
	freed  map[*[]byte]bool
	faults []string
}

func (l *recordingAllocator) Malloc(size int) *[]byte {
	buffer := make([]byte, size, max(size, 1024))
	return &buffer
}

func (l *recordingAllocator) Realloc(buffer *[]byte, size int) *[]byte {
	panic("deprecated: nothing calls it")
}

func (l *recordingAllocator) Append(buffer *[]byte, more ...byte) *[]byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.freed[buffer] {
		l.faults = append(l.faults, fmt.Sprintf("%d bytes appended to a buffer that was freed", len(more)))
	}
	*buffer = append(*buffer, more...)
	return buffer
}

func (l *recordingAllocator) AppendString(buffer *[]byte, more string) *[]byte {
	return l.Append(buffer, []byte(more)...)
}

func (l *recordingAllocator) Free(buffer *[]byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.freed[buffer] {
		l.faults = append(l.faults, "a buffer freed twice")
	}
	l.freed[buffer] = true
}

func (l *recordingAllocator) recordedFaults() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.faults
}

func installRecordingAllocator() (*recordingAllocator, func()) {
	allocator, before := &recordingAllocator{freed: map[*[]byte]bool{}}, mempool.DefaultMemPool
	mempool.DefaultMemPool = allocator
	return allocator, func() { mempool.DefaultMemPool = before }
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// echo answers with the body, repeated as often as the path says.
func echo(w http.ResponseWriter, r *http.Request) {
	body, complete := ReadBody(r)
	if !complete {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	count := 0
	_, _ = fmt.Sscanf(r.URL.Path, "/%d", &count)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(bytes.Repeat(body, count))
}

// drawer is a connection whose far end is the test: what is written is kept.
type recordedConn struct {
	net.Conn
	written bytes.Buffer
}

func (d *recordedConn) Write(data []byte) (int, error)   { return d.written.Write(data) }
func (d *recordedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (d *recordedConn) SetReadDeadline(time.Time) error  { return nil }
func (d *recordedConn) SetWriteDeadline(time.Time) error { return nil }

func TestResponsesFreeBuffersOnce(t *testing.T) {
	allocator, restore := installRecordingAllocator()
	defer restore()
	Convey("An answer of any size is written whole, its length told, and each of its buffers given back once", t, func() {
		engine := nbhttp.NewEngine(nbhttp.Config{Handler: withContentLength(http.HandlerFunc(echo))})
		for _, size := range []int{0, 1, 500, 1024, 40000, 65000, 65300, 65530, 65536, 70000, 200000} {
			conn := &recordedConn{}
			parser := nbhttp.NewParser(conn, engine, nbhttp.NewServerProcessor(), false, func(act func()) bool { act(); return true })
			So(parser.Parse([]byte(fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\ny", size))), ShouldBeNil)
			response, err := http.ReadResponse(bufio.NewReader(&conn.written), nil)
			So(err, ShouldBeNil)
			data, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, strings.Repeat("y", size))
			So(allocator.recordedFaults(), ShouldBeEmpty)
			So(response.ContentLength, ShouldEqual, size)
			So(response.TransferEncoding, ShouldBeEmpty)
		}
	})
}

func TestBodiesKeepApart(t *testing.T) {
	allocator, restore := installRecordingAllocator()
	defer restore()
	address := freeAddress(t)
	server, err := Listen(address, http.HandlerFunc(echo), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	workers := worker.NewGroup()
	defer workers.Stop(5 * time.Second)
	client, err := NewClient("127.0.0.1", workers)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ask := func(body string, count int) Response {
		session, err := client.Dial(address, 5*time.Second, nil)
		if err != nil {
			return Response{Err: err}
		}
		defer session.Close()
		return session.Post(fmt.Sprintf("/%d", count), []byte(body), 20*time.Second)
	}
	Convey("An answer of any size arrives whole with its length told, and each buffer is given back once", t, func() {
		var lengths []int64
		for _, size := range []int{0, 1, 500, 1024, 40000, 65000, 65300, 65530, 65536, 70000, 200000} {
			answer := ask(strings.Repeat("x", 100), size/100)
			So(answer.Err, ShouldBeNil)
			So(len(answer.Body), ShouldEqual, size/100*100)
			response, err := http.Post("http://"+address+fmt.Sprintf("/%d", size), "text/plain", strings.NewReader("y"))
			So(err, ShouldBeNil)
			data, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, strings.Repeat("y", size))
			lengths = append(lengths, response.ContentLength-int64(size))
		}
		So(allocator.recordedFaults(), ShouldBeEmpty)
		So(lengths, ShouldResemble, make([]int64, len(lengths)))
	})
	Convey("Many sessions, large and small, some of them closed with an answer on its way: nobody reads another's body", t, func() {
		var group sync.WaitGroup
		wrong := make(chan string, 1000)
		for at := range 40 {
			group.Add(1)
			workers.Go(func() {
				defer group.Done()
				for turn := range 10 {
					body := fmt.Sprintf("<%d.%d>", at, turn)
					count := []int{1, 30, 2000, 30000}[(at+turn)%4]
					session, err := client.Dial(address, 5*time.Second, nil)
					if err != nil {
						wrong <- err.Error()
						continue
					}
					if at%5 == 0 {
						session.PostAsync(fmt.Sprintf("/%d", count), []byte(body), func(Response) {})
						session.Close()
						continue
					}
					for range 3 {
						answer := session.Post(fmt.Sprintf("/%d", count), []byte(body), 20*time.Second)
						if answer.Err != nil || string(answer.Body) != strings.Repeat(body, count) {
							wrong <- fmt.Sprintf("%s: %v, %.40s", body, answer.Err, answer.Body)
						}
					}
					session.Close()
				}
			})
		}
		group.Wait()
		close(wrong)
		for one := range wrong {
			So(one, ShouldBeEmpty)
		}
		So(allocator.recordedFaults(), ShouldBeEmpty)
	})
}
