package platformstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// Route is one route of a configuration.
type Route struct {
	Host, Kind, Service        string
	Staleness, Timeout, Target time.Duration
	Priority                   int
}

// Operator sends configurations to control processes.
type Operator struct {
	group     *worker.Group
	history   *History
	addresses []string
	services  []*Service
	client    *http.Client
}

// NewOperator returns an operator who knows HTTP addresses and services. It
// stops with the group.
func NewOperator(group *worker.Group, history *History, addresses []string, services ...*Service) *Operator {
	return &Operator{
		group: group, history: history, addresses: addresses, services: services,
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

type configuration struct {
	Version  uint64                 `json:"version"`
	Routes   []routeConfiguration   `json:"routes"`
	Services []serviceConfiguration `json:"services"`
	Limits   limitsConfiguration    `json:"limits"`
}

type routeConfiguration struct {
	Name           string `json:"name"`
	Host           string `json:"host"`
	PathPrefix     string `json:"path_prefix"`
	Kind           string `json:"kind"`
	TimeoutMS      int64  `json:"timeout_ms"`
	TargetMS       int64  `json:"target_ms"`
	Priority       int    `json:"priority"`
	Service        string `json:"service"`
	MaxAttempts    int    `json:"tries"`
	MaxStalenessMS int64  `json:"max_staleness_ms,omitempty"`
}

type serviceConfiguration struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_conns"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"use_tls"`
	SyncReplicas   int    `json:"sync_replicas"`
}

type limitsConfiguration struct {
	MaxHeaderBytes    int `json:"max_header_bytes"`
	MaxBodyBytes      int `json:"max_body_bytes"`
	HeaderWaitMS      int `json:"header_wait_ms"`
	IdleMS            int `json:"idle_ms"`
	TransactionIdleMS int `json:"txn_idle_ms"`
}

var limits = limitsConfiguration{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderWaitMS: 3000, IdleMS: 15000, TransactionIdleMS: 3000}

// ConfigurationBody returns a configuration of routes to the operator's
// services, as JSON.
func (o *Operator) ConfigurationBody(version uint64, routes []Route) string {
	written := configuration{Version: version, Limits: limits}
	for index, route := range routes {
		written.Routes = append(written.Routes, routeConfiguration{
			Name: fmt.Sprintf("r-%d", index), Host: route.Host, PathPrefix: "/", Kind: route.Kind, Service: route.Service,
			TimeoutMS: route.Timeout.Milliseconds(), TargetMS: route.Target.Milliseconds(), Priority: route.Priority,
			MaxAttempts: 2, MaxStalenessMS: max(0, route.Staleness.Milliseconds()),
		})
	}
	for _, service := range o.services {
		written.Services = append(written.Services, serviceConfiguration{
			Name: service.Name, HealthPath: "/health", MaxConnections: service.MaxConnections, Protocol: "h1", SyncReplicas: service.SyncReplicas,
		})
	}
	body, _ := json.Marshal(written)
	return string(body)
}

const (
	operatorTimeout       = 15 * time.Second
	operatorRetryInterval = 50 * time.Millisecond
)

// request repeats a request at one address after the other, beginning with the
// first, until the answer is neither an error of the server nor a call for
// patience. It returns the last status and answer.
func (o *Operator) request(method, path, body string, first int) (status int, answer string) {
	deadline := o.group.Now() + operatorTimeout
	for index := first; o.group.Now() < deadline && !o.group.IsStopping(); index++ {
		newStatus, newAnswer, err := o.requestOnce(method, o.addresses[index%len(o.addresses)], path, body)
		if err == nil {
			status, answer = newStatus, newAnswer
			if status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
				return status, answer
			}
		}
		worker.Await(o.group.Stopping(), operatorRetryInterval)
	}
	return status, answer
}

func (o *Operator) requestOnce(method, address, path, body string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data), nil
}

// Replace sends a configuration, to the first address first, and returns the
// status of the answer.
func (o *Operator) Replace(version uint64, routes []Route, first int) int {
	sent := linehistory.Version{Number: version, Sent: o.group.Now(), Hosts: map[string]string{}, Body: o.ConfigurationBody(version, routes)}
	for _, route := range routes {
		sent.Hosts[route.Host] = route.Service
	}
	index := 0
	o.history.Update(func(h *linehistory.History) { index, h.Versions = len(h.Versions), append(h.Versions, sent) })
	status, _ := o.request(http.MethodPost, "/config/replace", sent.Body, first)
	if status == http.StatusOK {
		o.history.Update(func(h *linehistory.History) { h.Versions[index].AcknowledgedAt = o.group.Now() })
	}
	return status
}

// ReplaceInvalid sends a configuration that must not be taken, and returns the
// status of the answer.
func (o *Operator) ReplaceInvalid(version uint64, body string, first int) int {
	sent := linehistory.Version{Number: version, Sent: o.group.Now(), Body: body, Invalid: true}
	status, _ := o.request(http.MethodPost, "/config/replace", body, first)
	if status == http.StatusOK {
		sent.AcknowledgedAt = o.group.Now()
	}
	o.history.Update(func(h *linehistory.History) { h.Versions = append(h.Versions, sent) })
	return status
}

// Fetch reads the newest configuration back and returns the status of the
// answer.
func (o *Operator) Fetch() int {
	status, body := o.request(http.MethodGet, "/config/fetch", "", 0)
	if status == http.StatusOK {
		o.history.Update(func(h *linehistory.History) { h.Fetched = body })
	}
	return status
}
