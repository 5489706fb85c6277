package e2e

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// oversizedBody is a size, in bytes, that exceeds the limit of a request body.
const oversizedBody = 1500000

// checkBadInput sends invalid requests to a proxy's HTTP address, and invalid frames to
// the RPC address of each proxy and control process.
func (r *Run) checkBadInput(proxy string) {
	invalidBodies := map[string][]byte{
		"malformed": []byte(`{"id":`), "not an object": []byte(`[1,2]`), "duplicate field": []byte(`{"session":"a","session":"b"}`),
		"deeply nested": []byte(strings.Repeat("[", 100000)), "binary": {0, 1, 2, 0xff},
	}
	for name, body := range invalidBodies {
		for _, path := range []string{"/v1/bindings/put", "/v1/statement", "/v1/announce"} {
			if status, answer := r.postRaw(proxy, path, body); status != http.StatusBadRequest || !bytes.Contains(answer, []byte(`"path"`)) {
				r.Errorf("body %q at %s: status %d: %s", name, path, status, answer)
			}
		}
	}
	if status, _ := r.postRaw(proxy, "/v1/statement", bytes.Repeat([]byte("a"), oversizedBody)); status != http.StatusRequestEntityTooLarge {
		r.Errorf("oversized body: status %d", status)
	}
	if status, _ := r.postRaw(proxy, "/v1/nowhere", nil); status != http.StatusNotFound {
		r.Errorf("unknown path: status %d", status)
	}
	invalidFrames := [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		{'s', 'm', 'L', 1, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0},
		{'s', 'm', 'L', 77, 0, 0, 0, 0, 0, 0, 0, 0},
	}
	for _, process := range slices.Concat(r.Proxies, r.Controls) {
		for _, data := range invalidFrames {
			r.checkInvalidFrame(process, data)
		}
	}
}

// checkInvalidFrame sends bytes that are not a valid frame. The process must close the
// connection.
func (r *Run) checkInvalidFrame(process *Process, data []byte) {
	conn, err := net.DialTimeout("tcp", process.RPCAddress, time.Second)
	if err != nil {
		r.Errorf("%s does not listen: %v", process.Name, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(data)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		r.Errorf("%s did not close a connection that sent an invalid frame", process.Name)
	}
}
