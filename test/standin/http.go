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

func post(client *http.Client, address, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(raw, into)
}

func newClient(address string, bound time.Duration) *http.Client {
	host, _, _ := net.SplitHostPort(address)
	dialer := &net.Dialer{Timeout: bound, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return &http.Client{Timeout: bound, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}}
}

func wait(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
