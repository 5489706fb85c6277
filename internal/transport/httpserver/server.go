// Package httpserver is the HTTP/1.1 door and the HTTP client, both on nbio.
package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/transport/worker"
)

// Errors of the web layer.
const (
	// ErrNotSent says that nothing of the request left this process.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrBroken says that the request may have arrived.
	ErrOutcomeUnknown = errors.ConstError("session broken with a request out")
)

// MaxBody bounds a request's body.
const MaxBodySize = 1 << 20

// Door serves HTTP at an address.
type Server struct {
	engine *nbhttp.Engine
}

// order makes what was written before a connection was handed to a poller
// visible to that poller by Go's own memory model. The kernel orders the two
// already, by epoll_ctl before epoll_wait, which the model does not know.
func orderConnectionHandoff(engine *nbio.Engine) {
	var handed atomic.Uint64
	engine.OnOpen(func(*nbio.Conn) { handed.Add(1) })
	engine.OnReadBufferAlloc(func(conn *nbio.Conn) *[]byte {
		handed.Load()
		return engine.PollerBufferPtr(conn)
	})
}

// OpenDoor listens and serves; onGone hears of each caller's connection that
// ends, by its remote address.
func Listen(address string, handler http.Handler, onDisconnect func(remote string)) (*Server, error) {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{address}, Handler: withContentLength(handler), NPoller: 2,
		MaxHTTPBodySize: MaxBodySize * 2, KeepaliveTime: 10 * time.Minute, ReleaseWebsocketPayload: true,
	})
	orderConnectionHandoff(engine.Engine)
	if onDisconnect != nil {
		engine.OnClose(func(conn net.Conn, _ error) { onDisconnect(conn.RemoteAddr().String()) })
	}
	if err := engine.Start(); err != nil {
		return nil, errors.Annotatef(err, "listen %s", address)
	}
	return &Server{engine: engine}, nil
}

// whole is an answer that is written in one go, with its length told: one in
// chunks, of 64 KiB and more, has the library give a buffer back that it goes
// on using, and then once more, and two answers or bodies share it.
type sizedWriter struct {
	http.ResponseWriter
	request *http.Request
}

const (
	// oneWrite is what one write of a socket surely takes.
	singleWriteSize = 4 << 10
	// linger is how long a caller that asked to be parted from may take over the
	// rest of a long answer, if it does not part by itself.
	closeDelay = 5 * time.Second
)

// Write tells the length and writes the body.
func (w sizedWriter) Write(data []byte) (int, error) {
	if w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	if w.request.Close && len(data) > singleWriteSize {
		w.delayClose()
	}
	return w.ResponseWriter.Write(data)
}

// part leaves the parting to the caller, for a while: the library would close
// the connection with the rest of the answer still in its queue, and drop that.
func (w sizedWriter) delayClose() {
	response, ok := w.ResponseWriter.(*nbhttp.Response)
	if !ok {
		return
	}
	w.request.Close = false
	w.Header().Set("Connection", "close")
	conn, engine := response.Parser.Conn, response.Parser.Engine
	engine.AfterFunc(closeDelay, func() { _ = conn.Close() })
}

func withContentLength(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(sizedWriter{w, r}, r) })
}

// Close shuts the door.
func (d *Server) Close() { d.engine.Stop() }

// Client makes single HTTP sessions to back ends and the platform.
type Client struct {
	engine  *nbhttp.Engine
	local   net.IP
	workers *worker.Group
}

// NewClient starts the client's engine; sessions leave from the local IP.
func NewClient(local string, workers *worker.Group) (*Client, error) {
	engine := nbhttp.NewEngine(nbhttp.Config{NPoller: 2, MaxHTTPBodySize: 16 << 20})
	orderConnectionHandoff(engine.Engine)
	if err := engine.Start(); err != nil {
		return nil, errors.Trace(err)
	}
	ip := net.ParseIP(local)
	if ip != nil && ip.IsUnspecified() {
		ip = nil
	}
	return &Client{engine: engine, local: ip, workers: workers}, nil
}

// Close ends the engine with all sessions.
func (c *Client) Close() { c.engine.Stop() }

// Answer is what came back.
type Response struct {
	Status int
	Body   []byte
	Err    error
}

// Session is one TCP connection that carries one request at a time.
type ClientConn struct {
	client  *Client
	address string
	conn    *nbhttp.ClientConn
	mutex   sync.Mutex
	closed  bool
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Dial opens a session, for a bound; onShut, where given, hears of its end.
// It blocks, so it is called from a worker.
func (c *Client) Dial(address string, timeout time.Duration, onClose func()) (*ClientConn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	if c.local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.local}
	}
	raw, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrNotSent)
	}
	s := &ClientConn{client: c, address: address}
	s.conn = &nbhttp.ClientConn{Engine: c.engine, Dial: func(string, string) (net.Conn, error) { return raw, nil }}
	s.conn.OnClose(func() {
		s.mutex.Lock()
		s.closed = true
		s.mutex.Unlock()
		if onClose != nil {
			onClose()
		}
	})
	return s, nil
}

// IsShut says whether the session has ended.
func (s *ClientConn) IsClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// Close ends the session.
func (s *ClientConn) Close() { s.client.workers.Go(s.conn.Close) }

// Do sends a request; done is told the answer from the engine and must not
// block.
func (s *ClientConn) PostAsync(path string, body []byte, done func(Response)) {
	s.start(adapter.Request{Method: http.MethodPost, Path: path, Body: body}, done)
}

func (s *ClientConn) start(asked adapter.Request, done func(Response)) {
	request, err := http.NewRequest(asked.Method, "http://"+s.address+asked.Path, bytes.NewReader(asked.Body))
	if err != nil {
		done(Response{Err: errors.WithType(err, ErrNotSent)})
		return
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range asked.Header {
		request.Header.Set(name, value)
	}
	s.conn.Do(request, func(response *http.Response, _ net.Conn, err error) {
		if err != nil {
			done(Response{Err: errors.WithType(err, ErrOutcomeUnknown)})
			return
		}
		var data []byte
		if response.Body != nil {
			defer func() { _ = response.Body.Close() }()
			if data, err = io.ReadAll(response.Body); err != nil {
				done(Response{Err: errors.WithType(err, ErrOutcomeUnknown)})
				return
			}
		}
		done(Response{Status: response.StatusCode, Body: data})
	})
}

// Ask sends a request and waits, for a bound; on a miss the session ends.
func (s *ClientConn) Post(path string, body []byte, timeout time.Duration) Response {
	return s.Send(adapter.Request{Method: http.MethodPost, Path: path, Body: body}, timeout)
}

// AskAs does the same with a request of another manner.
func (s *ClientConn) Send(asked adapter.Request, timeout time.Duration) Response {
	answers := make(chan Response, 1)
	s.start(asked, func(answer Response) {
		select {
		case answers <- answer:
		default:
		}
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C:
	case <-s.client.workers.Stopping():
	}
	s.Close()
	return Response{Err: errors.WithType(errors.New("no answer in time"), ErrOutcomeUnknown)}
}

// ReadBody reads a bounded body.
func ReadBody(r *http.Request) ([]byte, bool) {
	if r.Body == nil {
		return nil, true
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxBodySize+1))
	return data, err == nil && len(data) <= MaxBodySize
}

// Address gives where the session goes.
func (s *ClientConn) Address() string { return s.address }
