package httpserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
)

const repetitionTestTimeout = 10 * time.Second

// repeatingServer accepts one connection. It answers each request with its path, and with
// the request's number if it is to echo numbers. Before an answer, it sends the answer to
// the previous request again.
type repeatingServer struct {
	listener net.Listener
	echoes   bool
	// idleRepeats receives a value for each answer that was sent again while no request
	// waited, if repeatsIdle is true.
	repeatsIdle bool
	idleRepeats chan bool
}

func startRepeatingServer(workers *worker.Group, echoes, repeatsIdle bool) *repeatingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	server := &repeatingServer{listener: listener, echoes: echoes, repeatsIdle: repeatsIdle, idleRepeats: make(chan bool, 10)}
	workers.Go(server.serve)
	return server
}

func (s *repeatingServer) serve() {
	conn, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(repetitionTestTimeout))
	reader, previous := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = request.Body.Close()
		answer := s.answerTo(request)
		if !s.repeatsIdle {
			_, _ = conn.Write([]byte(previous))
		}
		_, _ = conn.Write([]byte(answer))
		if s.repeatsIdle {
			_, _ = conn.Write([]byte(answer))
			s.idleRepeats <- true
		}
		previous = answer
	}
}

func (s *repeatingServer) answerTo(request *http.Request) string {
	header := ""
	if s.echoes {
		header = headerRequestNumber + ": " + request.Header.Get(headerRequestNumber) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(request.URL.Path), request.URL.Path)
}

func TestRepeatedResponses(t *testing.T) {
	// Guards against a response that is sent twice, and of which the second is taken for
	// the response to the next request on the connection.
	workers := worker.NewGroup()
	t.Cleanup(func() { workers.Stop(repetitionTestTimeout) })
	client, err := NewClient("", workers)
	if err != nil {
		t.Fatal(err)
	}
	dial := func(server *repeatingServer) *ClientConn {
		conn, err := client.Dial(server.listener.Addr().String(), repetitionTestTimeout, nil)
		So(err, ShouldBeNil)
		return conn
	}
	Convey("A response with the number of an earlier request is no response, and closes the connection", t, func() {
		server := startRepeatingServer(workers, true, false)
		defer func() { _ = server.listener.Close() }()
		conn := dial(server)
		So(string(conn.Post("/first", nil, repetitionTestTimeout).Body), ShouldEqual, "/first")
		response := conn.Post("/second", nil, repetitionTestTimeout)
		So(errors.Is(response.Err, ErrOutcomeUnknown), ShouldBeTrue)
		So(string(response.Body), ShouldBeEmpty)
		response = conn.Post("/third", nil, repetitionTestTimeout)
		So(response.Err, ShouldNotBeNil)
		conn.Close()
	})
	Convey("A response that is sent again at once never answers a later request", t, func() {
		server := startRepeatingServer(workers, true, true)
		conn := dial(server)
		So(string(conn.Post("/first", nil, repetitionTestTimeout).Body), ShouldEqual, "/first")
		<-server.idleRepeats
		response := conn.Post("/second", nil, repetitionTestTimeout)
		// The client may read the repetition before or after it sends the request.
		if response.Err == nil {
			So(string(response.Body), ShouldEqual, "/second")
		} else {
			So(errors.Is(response.Err, ErrOutcomeUnknown), ShouldBeTrue)
		}
		conn.Close()
		So(server.listener.Close(), ShouldBeNil)
	})
}
