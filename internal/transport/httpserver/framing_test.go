package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/reserve"
)

// requestRecorder records the paths and bodies of the requests that a server runs.
type requestRecorder struct {
	mutex sync.Mutex
	ran   []string
}

func (r *requestRecorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, _ := ReadBody(request)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ran = append(r.ran, request.URL.Path+" "+string(body))
	_, _ = w.Write([]byte("ran"))
}

func (r *requestRecorder) take() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ran := r.ran
	r.ran = nil
	return ran
}

const smuggled = "POST /smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"

// lastRequest ends the connection, so that a test can read up to its end.
const lastRequest = "POST /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

func TestEndsOfRequests(t *testing.T) {
	// Guards against requests that are read from inside another request (UNASKED).
	recorder := &requestRecorder{}
	address := reserve.Loopback(t)
	server, err := Listen(address, recorder, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	exchange := func(parts ...string) string {
		conn, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		So(conn.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
		for _, part := range parts {
			_, _ = conn.Write([]byte(part))
		}
		answer, _ := io.ReadAll(conn)
		return string(answer)
	}
	post := func(header, body string) string {
		return fmt.Sprintf("POST /first HTTP/1.1\r\nHost: x\r\n%s\r\n%s", header, body)
	}
	Convey("A body ends where its length says, whatever it contains and wherever it is divided", t, func() {
		for _, body := range []string{"\n", "\r\n\r\n", "a\r", "\r\n\r\n" + smuggled, "0\r\n\r\n" + smuggled} {
			data := post(fmt.Sprintf("Content-Length: %d\r\n", len(body)), body) + lastRequest
			for division := 0; division <= len(data); division += 3 {
				exchange(data[:division], data[division:])
				So(recorder.take(), ShouldResemble, []string{"/first " + body, "/last "})
			}
		}
	})
	Convey("A CR or an LF inside a header or a path ends the connection, and nothing runs", t, func() {
		for _, data := range []string{
			post("A: a\nContent-Length: 2\r\n", smuggled), post("A: a\rB: b\r\nContent-Length: 2\r\n", "hi"),
			strings.Replace(post("Content-Length: 2\r\n", "hi"), "/first", "/fi\nrst", 1),
		} {
			exchange(data + lastRequest)
			So(recorder.take(), ShouldBeEmpty)
		}
	})
	Convey("A request whose body has several ends, or a length that is no number, is rejected, and nothing behind it runs", t, func() {
		for _, header := range []string{
			"Content-Length: 2\r\nContent-Length: 40\r\n", "Content-Length: 60\r\nTransfer-Encoding: chunked\r\n",
			"Transfer-Encoding: chunked\r\nContent-Length: 60\r\n", "Content-Length: +2\r\n", "Content-Length: 2, 40\r\n",
		} {
			body := "hi"
			if strings.Contains(header, "chunked") {
				body = "0\r\n\r\n"
			}
			exchange(post(header, body) + smuggled + lastRequest)
			SoMsg(header, recorder.take(), ShouldBeEmpty)
		}
	})
}
