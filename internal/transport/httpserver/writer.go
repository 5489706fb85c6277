package httpserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// singleWriteSize is the number of bytes that one write to a socket accepts
	// for certain.
	singleWriteSize = 4 << 10
	// closeDelay is how long a client that asked for the connection to be closed
	// may take over the rest of a long response, if it does not close it itself.
	closeDelay = 5 * time.Second
)

// sizedWriter writes a response with its Content-Length, in one piece. A chunked
// response of 64 KiB and more makes the library free a buffer that it goes on
// using, and then free it again, so that two responses share it.
type sizedWriter struct {
	http.ResponseWriter
	request *http.Request
}

func withContentLength(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(sizedWriter{w, r}, r) })
}

// Write sets the Content-Length and writes the complete body.
func (w sizedWriter) Write(body []byte) (int, error) {
	if w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if w.request.Close && len(body) > singleWriteSize {
		w.delayClose()
	}
	return w.ResponseWriter.Write(body)
}

// delayClose leaves it to the client to close the connection, for some time. The
// library would close it with the rest of the response still queued, and drop
// that.
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
