package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio/nbhttp"

	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/transport/tcp"
	"tansyseam/internal/transport/worker"
)

// Error types of a request, for errors.Is.
const (
	// ErrNotSent is returned when nothing of the request has left this process.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrOutcomeUnknown is returned when the request may have arrived and taken
	// effect.
	ErrOutcomeUnknown = errors.ConstError("connection broken with a request in flight")

	errNoResponse    = errors.ConstError("no response in time")
	errOtherResponse = errors.ConstError("response to another request")
)

const (
	// clientPollers is the number of event loops of a client.
	clientPollers = 2
	// maxResponseSize is the maximum size of a response body, in bytes.
	maxResponseSize = 16 << 20
)

// headerRequestNumber carries the number of a request on its connection. A server returns
// it with the response, which proves to which request the response belongs.
const headerRequestNumber = "Tansyseam-Request"

// Client opens HTTP connections to instances, to the platform and to nodes.
type Client struct {
	engine  *nbhttp.Engine
	local   net.Addr
	workers *worker.Group
}

// NewClient starts a client whose connections use localIP as their local address. If
// localIP is empty or unspecified, the system chooses the address.
func NewClient(localIP string, workers *worker.Group) (*Client, error) {
	engine := nbhttp.NewEngine(nbhttp.Config{NPoller: clientPollers, MaxHTTPBodySize: maxResponseSize})
	syncConnectionHandoff(engine.Engine)
	if err := engine.Start(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Client{engine: engine, local: tcp.LocalAddress(localIP), workers: workers}, nil
}

// Close stops the client and closes all its connections.
func (c *Client) Close() { c.engine.Stop() }

// Response is the response to a request, or the error Err of the request, which is of
// type ErrNotSent or ErrOutcomeUnknown.
type Response struct {
	Status int
	Body   []byte
	Err    error
}

// ClientConn is a persistent connection that carries one request at a time.
type ClientConn struct {
	client  *Client
	address string
	conn    *nbhttp.ClientConn
	mutex   sync.Mutex
	closed  bool
	// requestCount is the number of requests so far. It is guarded by the mutex.
	requestCount uint64
}

// Dial opens a connection. If onClose is not nil, it is called when the connection is
// closed. Dial blocks for up to timeout. Its errors are of type ErrNotSent.
func (c *Client) Dial(address string, timeout time.Duration, onClose func()) (*ClientConn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: c.local, KeepAliveConfig: tcp.KeepAlive}
	raw, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrNotSent)
	}
	conn := &ClientConn{client: c, address: address}
	conn.conn = &nbhttp.ClientConn{Engine: c.engine, Dial: func(string, string) (net.Conn, error) { return raw, nil }}
	conn.conn.OnClose(func() {
		conn.markClosed()
		if onClose != nil {
			onClose()
		}
	})
	return conn, nil
}

func (c *ClientConn) markClosed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
}

// IsClosed reports whether the connection was closed.
func (c *ClientConn) IsClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

// Address returns the remote address.
func (c *ClientConn) Address() string { return c.address }

// Close closes the connection. It does not block.
func (c *ClientConn) Close() { c.client.workers.Go(c.conn.Close) }

// PostAsync sends a POST request with a JSON body and a request number. The client's event
// loop calls done with the response; done must not block.
//
// HTTP responses name no request. If a server sends a response twice, the second one is
// taken for the response to the next request. A response with another request number is
// therefore an error of type ErrOutcomeUnknown, and closes the connection. A server that
// returns no numbers cannot be checked.
func (c *ClientConn) PostAsync(path string, body []byte, done func(Response)) {
	c.start(c.postRequest(path, body), done)
}

// Post sends a POST request as PostAsync does, and waits for the response as Send does.
func (c *ClientConn) Post(path string, body []byte, timeout time.Duration) Response {
	return c.Send(c.postRequest(path, body), timeout)
}

func (c *ClientConn) postRequest(path string, body []byte) adapter.Request {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requestCount++
	number := strconv.FormatUint(c.requestCount, 10)
	return adapter.Request{Method: http.MethodPost, Path: path, Header: map[string]string{headerRequestNumber: number}, Body: body}
}

// Send sends a request and waits for the response. If no response arrives within
// timeout, or before the client's workers stop, Send closes the connection and returns
// an error of type ErrOutcomeUnknown.
func (c *ClientConn) Send(request adapter.Request, timeout time.Duration) Response {
	responses := make(chan Response, 1)
	c.start(request, func(response Response) { worker.TrySend(responses, response) })
	response, received := worker.ReceiveWithin(c.client.workers, responses, timeout)
	if !received {
		c.Close()
		return Response{Err: errors.WithType(errNoResponse, ErrOutcomeUnknown)}
	}
	return response
}

func (c *ClientConn) start(request adapter.Request, done func(Response)) {
	httpRequest, err := http.NewRequest(request.Method, "http://"+c.address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		done(Response{Err: errors.WithType(err, ErrNotSent)})
		return
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	for name, value := range request.Header {
		httpRequest.Header.Set(name, value)
	}
	c.conn.Do(httpRequest, func(httpResponse *http.Response, _ net.Conn, err error) {
		if err != nil {
			done(Response{Err: errors.WithType(err, ErrOutcomeUnknown)})
			return
		}
		if !answers(httpResponse, request) {
			c.Close()
			done(Response{Err: errors.WithType(errOtherResponse, ErrOutcomeUnknown)})
			return
		}
		done(readResponse(httpResponse))
	})
}

// answers reports whether a response may be that to a request: it has the request's
// number, or the server returns none.
func answers(httpResponse *http.Response, request adapter.Request) bool {
	returned := httpResponse.Header.Get(headerRequestNumber)
	return returned == "" || returned == request.Header[headerRequestNumber]
}

func readResponse(httpResponse *http.Response) Response {
	if httpResponse.Body == nil {
		return Response{Status: httpResponse.StatusCode}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return Response{Err: errors.WithType(err, ErrOutcomeUnknown)}
	}
	return Response{Status: httpResponse.StatusCode, Body: body}
}
