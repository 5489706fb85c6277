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
	"tansyseam/test/reserve"
)

// recordingAllocator never reuses a buffer. It records a fault for each buffer that is
// freed more than once, or changed after it was freed.
type recordingAllocator struct {
	mutex  sync.Mutex
	freed  map[*[]byte]bool
	faults []string
}

func (a *recordingAllocator) Malloc(size int) *[]byte {
	buffer := make([]byte, size, max(size, 1024))
	return &buffer
}

func (a *recordingAllocator) Realloc(buffer *[]byte, size int) *[]byte {
	panic("called Realloc, which is deprecated")
}

func (a *recordingAllocator) Append(buffer *[]byte, data ...byte) *[]byte {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.freed[buffer] {
		a.faults = append(a.faults, fmt.Sprintf("%d bytes appended to a freed buffer", len(data)))
	}
	*buffer = append(*buffer, data...)
	return buffer
}

func (a *recordingAllocator) AppendString(buffer *[]byte, text string) *[]byte {
	return a.Append(buffer, []byte(text)...)
}

func (a *recordingAllocator) Free(buffer *[]byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.freed[buffer] {
		a.faults = append(a.faults, "buffer freed twice")
	}
	a.freed[buffer] = true
}

func (a *recordingAllocator) recordedFaults() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.faults
}

func installRecordingAllocator() (*recordingAllocator, func()) {
	allocator, previous := &recordingAllocator{freed: map[*[]byte]bool{}}, mempool.DefaultMemPool
	mempool.DefaultMemPool = allocator
	return allocator, func() { mempool.DefaultMemPool = previous }
}

// echo responds with the request body, repeated as often as the number in the path.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r)
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	count := 0
	_, _ = fmt.Sscanf(r.URL.Path, "/%d", &count)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(bytes.Repeat(body, count))
}

// recordedConn is a connection that records the bytes written to it.
type recordedConn struct {
	net.Conn
	written bytes.Buffer
}

func (c *recordedConn) Write(data []byte) (int, error)   { return c.written.Write(data) }
func (c *recordedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *recordedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *recordedConn) SetWriteDeadline(time.Time) error { return nil }

func TestResponsesFreeBuffersOnce(t *testing.T) {
	allocator, restore := installRecordingAllocator()
	defer restore()
	Convey("A response of any size is written completely with its Content-Length, and each of its buffers is freed once", t, func() {
		engine := nbhttp.NewEngine(nbhttp.Config{Handler: withContentLength(http.HandlerFunc(echo))})
		for _, size := range []int{0, 1, 500, 1024, 40000, 65000, 65300, 65530, 65536, 70000, 200000} {
			conn := &recordedConn{}
			parser := nbhttp.NewParser(conn, engine, nbhttp.NewServerProcessor(), false, func(job func()) bool { job(); return true })
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
	address := reserve.Loopback(t)
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
	post := func(body string, count int) Response {
		conn, err := client.Dial(address, 5*time.Second, nil)
		if err != nil {
			return Response{Err: err}
		}
		defer conn.Close()
		return conn.Post(fmt.Sprintf("/%d", count), []byte(body), 20*time.Second)
	}
	Convey("A response of any size arrives completely with its Content-Length, and each buffer is freed once", t, func() {
		var lengths []int64
		for _, size := range []int{0, 1, 500, 1024, 40000, 65000, 65300, 65530, 65536, 70000, 200000} {
			posted := post(strings.Repeat("x", 100), size/100)
			So(posted.Err, ShouldBeNil)
			So(len(posted.Body), ShouldEqual, size/100*100)
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
	Convey("No connection receives the body of another connection, even if some are closed with a response in flight", t, func() {
		var running sync.WaitGroup
		mismatches := make(chan string, 1000)
		for number := range 40 {
			running.Add(1)
			workers.Go(func() {
				defer running.Done()
				for round := range 10 {
					body := fmt.Sprintf("<%d.%d>", number, round)
					count := []int{1, 30, 2000, 30000}[(number+round)%4]
					conn, err := client.Dial(address, 5*time.Second, nil)
					if err != nil {
						mismatches <- err.Error()
						continue
					}
					if number%5 == 0 {
						conn.PostAsync(fmt.Sprintf("/%d", count), []byte(body), func(Response) {})
						conn.Close()
						continue
					}
					for range 3 {
						response := conn.Post(fmt.Sprintf("/%d", count), []byte(body), 20*time.Second)
						if response.Err != nil || string(response.Body) != strings.Repeat(body, count) {
							mismatches <- fmt.Sprintf("%s: %v, %.40s", body, response.Err, response.Body)
						}
					}
					conn.Close()
				}
			})
		}
		running.Wait()
		close(mismatches)
		for mismatch := range mismatches {
			So(mismatch, ShouldBeEmpty)
		}
		So(allocator.recordedFaults(), ShouldBeEmpty)
	})
}
