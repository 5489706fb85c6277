package httpserver

import (
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	headerContentLength    = "Content-Length"
	headerTransferEncoding = "Transfer-Encoding"
)

// errAmbiguousLength closes the connection of a request whose end is not certain.
const errAmbiguousLength = errors.ConstError("ambiguous length of a request")

// rejectAmbiguousLength closes the connection of a request whose body has more than one
// end, depending on the reader. What follows may be a part of the body, so nothing that
// has been read from the connection behind it is run.
func rejectAmbiguousLength(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connectionOf(w)
		if conn == nil {
			handler.ServeHTTP(w, r)
			return
		}
		if hasAmbiguousLength(r.Header) {
			_ = conn.CloseWithError(errAmbiguousLength)
			return
		}
		if _, err := conn.IsClosed(); errors.Is(err, errAmbiguousLength) {
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// connectionOf returns the connection of a response, or nil if it is not one of the
// server's.
func connectionOf(w http.ResponseWriter) *nbio.Conn {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return nil
	}
	httpConn, ok := response.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return nil
	}
	conn, _ := httpConn.Conn.(*nbio.Conn)
	return conn
}

func hasAmbiguousLength(header http.Header) bool {
	lengths := header[headerContentLength]
	if len(lengths) == 0 {
		return false
	}
	isDigit := func(character rune) bool { return character >= '0' && character <= '9' }
	isNumber := lengths[0] != "" && strings.TrimFunc(lengths[0], isDigit) == ""
	return len(lengths) > 1 || len(header[headerTransferEncoding]) > 0 || !isNumber
}
