package httpserver

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// MaxBodySize is the maximum size of a request body, in bytes.
	MaxBodySize = 1 << 20
	// serverPollers is the number of event loops of a server.
	serverPollers = 2
	// closeTimeout is how long Close waits for the handlers that run.
	closeTimeout = 500 * time.Millisecond
	// closePollInterval is how often Close checks whether handlers run.
	closePollInterval = 2 * time.Millisecond
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 10 * time.Minute
)

// Error types of a server, for errors.Is.
const (
	// ErrListen is returned when the server cannot listen on its address.
	ErrListen = errors.ConstError("cannot listen on address")
	// ErrBodyTooLarge is returned when the body of a request is larger than
	// MaxBodySize.
	ErrBodyTooLarge = errors.ConstError("request body too large")
)

// Server serves HTTP at one address.
type Server struct {
	engine       *nbhttp.Engine
	closeTimeout time.Duration
	// running is the number of jobs that run handlers and write their responses.
	running atomic.Int64
	// closing is true once Close has been called.
	closing atomic.Bool
}

// Listen listens on an address and serves requests. If onDisconnect is not nil, it is
// called with the remote address of each connection that is closed. The errors of
// Listen are of type ErrListen.
func Listen(address string, handler http.Handler, onDisconnect func(remoteAddress string)) (*Server, error) {
	server := &Server{closeTimeout: closeTimeout}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp",
		Addrs:   []string{address},
		Handler: rejectAmbiguousLength(server.rejectWhileClosing(withContentLength(handler))),
		NPoller: serverPollers,
		// The library's limit is above the limit of ReadBody, so that a request whose
		// body is too large receives a response.
		MaxHTTPBodySize:         MaxBodySize * 2,
		KeepaliveTime:           idleTimeout,
		ReleaseWebsocketPayload: true,
	})
	server.engine = engine
	server.countJobs()
	syncConnectionHandoff(engine.Engine)
	if onDisconnect != nil {
		engine.OnClose(func(conn net.Conn, _ error) { onDisconnect(conn.RemoteAddr().String()) })
	}
	if err := engine.Start(); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "listen %s", address), ErrListen)
	}
	return server, nil
}

// rejectWhileClosing answers the requests that arrive after Close has been called.
func (s *Server) rejectWhileClosing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// countJobs has the engine count the jobs that run handlers. A job ends after the
// response has been written.
func (s *Server) countJobs() {
	execute := s.engine.Execute
	s.engine.Execute = func(job func()) {
		s.running.Add(1)
		execute(func() {
			defer s.running.Add(-1)
			job()
		})
	}
}

// Close waits for the handlers that run, within a bound, and then closes the listener
// and all connections. Requests that arrive meanwhile get the status 503.
func (s *Server) Close() {
	s.closing.Store(true)
	for deadline := time.Now().Add(s.closeTimeout); s.running.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(closePollInterval)
	}
	s.engine.Stop()
}

// ReadBody returns the body of a request. The error is ErrBodyTooLarge, or the error
// of reading the body.
func ReadBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodySize+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) > MaxBodySize {
		return nil, ErrBodyTooLarge
	}
	return body, nil
}
