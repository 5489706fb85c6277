package e2e

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

func (r *Run) checkBadInput(proxy string) {
	bad := map[string][]byte{
		"malformed": []byte(`{"id":`), "not an object": []byte(`[1,2]`), "twice": []byte(`{"session":"a","session":"b"}`),
		"deep": []byte(strings.Repeat("[", 100000)), "binary": {0, 1, 2, 0xff},
	}
	for name, body := range bad {
		for _, path := range []string{"/v1/bindings/put", "/v1/statement", "/v1/announce"} {
			if code, answer := r.postRaw(proxy, path, body); code != http.StatusBadRequest || !bytes.Contains(answer, []byte(`"path"`)) {
				r.Errorf("%s at %s: %d %s", name, path, code, answer)
			}
		}
	}
	if code, _ := r.postRaw(proxy, "/v1/statement", bytes.Repeat([]byte("a"), 1500000)); code != http.StatusRequestEntityTooLarge {
		r.Errorf("an oversized body: %d", code)
	}
	if code, _ := r.postRaw(proxy, "/v1/nowhere", nil); code != http.StatusNotFound {
		r.Errorf("an unknown call: %d", code)
	}
	for _, process := range append(append([]*Process(nil), r.Proxies...), r.Controls...) {
		for _, garbage := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), {'s', 'm', 'L', 1, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0}, {'s', 'm', 'L', 77, 0, 0, 0, 0, 0, 0, 0, 0}} {
			conn, err := net.DialTimeout("tcp", process.RPCAddress, time.Second)
			if err != nil {
				r.Errorf("%s does not listen: %v", process.Name, err)
				continue
			}
			_, _ = conn.Write(garbage)
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
				r.Errorf("%s did not close a link that spoke garbage", process.Name)
			}
			_ = conn.Close()
		}
	}
}
