package httpserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// singleWriteSize is a number of bytes that a socket always accepts in one write.
	singleWriteSize = 4 << 10
	// closeDelay is the time after which the server closes the connection of a client
	// that sent Connection: close and receives a long response. The client has this
	// time to read the rest of the response, unless it closes the connection earlier.
	closeDelay = 5 * time.Second
)

// sizedWriter writes a response with its Content-Length, in one piece. For a chunked
// response of 64 KiB or more, the library frees a buffer that it continues to use, and
// then frees the buffer a second time, so that two responses share it.
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

// delayClose lets the client close the connection, and closes it after closeDelay. The
// library would close the connection immediately and drop the rest of the response,
// which is still queued.
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
