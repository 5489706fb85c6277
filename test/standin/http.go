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

// post makes a call with a JSON body and, unless answer is nil, decodes the
// response body into answer. The status is 0 if no complete response was
// received.
func post(client *http.Client, address, path string, body, answer any) (int, error) {
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
	if answer == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(raw, answer)
}

// newClient returns a client that connects from the IP of address, so that
// relays can identify the source of a connection.
func newClient(address string, timeout time.Duration) *http.Client {
	host, _, _ := net.SplitHostPort(address)
	dialer := &net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}}
}

// wait waits for a duration or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
