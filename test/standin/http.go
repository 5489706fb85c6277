package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// post makes a call with a JSON body and reads the answer into a value, where
// one is given. The status is 0 where no answer came.
func post(client *http.Client, address, path string, body, into any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if into == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(raw, into)
}

// newClient returns a client whose connections come from an address's IP, so
// that relays can tell who calls.
func newClient(address string, timeout time.Duration) *http.Client {
	host, _, _ := net.SplitHostPort(address)
	dialer := &net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}}
}

// wait waits for a time, or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
