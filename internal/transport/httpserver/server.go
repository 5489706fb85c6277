package httpserver

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// MaxBodySize is the largest body of a request, in bytes.
	MaxBodySize = 1 << 20
	// serverPollers is the number of event loops of a server.
	serverPollers = 2
	// idleTimeout is how long a connection without requests is kept.
	idleTimeout = 10 * time.Minute
)

// Errors of a server, as types for errors.Is.
const (
	// ErrListen says that the address cannot be listened on.
	ErrListen = errors.ConstError("address cannot be listened on")
	// ErrBodyTooLarge says that a request's body is larger than MaxBodySize.
	ErrBodyTooLarge = errors.ConstError("request body too large")
)

// Server serves HTTP at one address.
type Server struct {
	engine *nbhttp.Engine
}

// Listen opens an address and serves it. If onDisconnect is not nil, it is called
// with the remote address of each connection that ends. Its errors are of type
// ErrListen.
func Listen(address string, handler http.Handler, onDisconnect func(remoteAddress string)) (*Server, error) {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp",
		Addrs:   []string{address},
		Handler: withContentLength(handler),
		NPoller: serverPollers,
		// The limit of the library lies above that of ReadBody, so that a body which
		// is too large is answered.
		MaxHTTPBodySize:         MaxBodySize * 2,
		KeepaliveTime:           idleTimeout,
		ReleaseWebsocketPayload: true,
	})
	orderConnectionHandoff(engine.Engine)
	if onDisconnect != nil {
		engine.OnClose(func(conn net.Conn, _ error) { onDisconnect(conn.RemoteAddr().String()) })
	}
	if err := engine.Start(); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "listen %s", address), ErrListen)
	}
	return &Server{engine: engine}, nil
}

// Close closes the address and all connections.
func (s *Server) Close() { s.engine.Stop() }

// ReadBody returns the body of a request, ErrBodyTooLarge, or the error of
// reading it.
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
