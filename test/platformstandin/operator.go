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

// NewOperator returns an operator that sends its requests to the given HTTP
// addresses and whose configurations contain the given services. The operator
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

// ConfigurationBody returns the JSON of a configuration with the given routes and
// the operator's services.
func (o *Operator) ConfigurationBody(version uint64, routes []Route) string {
	config := configuration{Version: version, Limits: limits}
	for index, route := range routes {
		config.Routes = append(config.Routes, routeConfiguration{
			Name: fmt.Sprintf("r-%d", index), Host: route.Host, PathPrefix: "/", Kind: route.Kind, Service: route.Service,
			TimeoutMS: route.Timeout.Milliseconds(), TargetMS: route.Target.Milliseconds(), Priority: route.Priority,
			MaxAttempts: 2, MaxStalenessMS: max(0, route.Staleness.Milliseconds()),
		})
	}
	for _, service := range o.services {
		config.Services = append(config.Services, serviceConfiguration{
			Name: service.Name, HealthPath: "/health", MaxConnections: service.MaxConnections, Protocol: "h1", SyncReplicas: service.SyncReplicas,
		})
	}
	body, _ := json.Marshal(config)
	return string(body)
}

const (
	operatorTimeout       = 15 * time.Second
	operatorRetryInterval = 50 * time.Millisecond
)

// request sends a request to one address after the other, starting with the
// address at firstIndex, at most for operatorTimeout. It stops at the first answer
// whose status is below 500 and is neither 408 (request timeout) nor 429 (too
// many requests). It returns the last status and answer.
func (o *Operator) request(method, path, body string, firstIndex int) (status int, answer string) {
	deadline := o.group.Now() + operatorTimeout
	for index := firstIndex; o.group.Now() < deadline && !o.group.IsStopping(); index++ {
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

// Replace sends a configuration, first to the address at firstIndex, and returns
// the status of the answer.
func (o *Operator) Replace(version uint64, routes []Route, firstIndex int) int {
	sent := linehistory.Version{Number: version, Sent: o.group.Now(), Hosts: map[string]string{}, Body: o.ConfigurationBody(version, routes)}
	for _, route := range routes {
		sent.Hosts[route.Host] = route.Service
	}
	index := 0
	o.history.Update(func(h *linehistory.History) { index, h.Versions = len(h.Versions), append(h.Versions, sent) })
	status, _ := o.request(http.MethodPost, "/config/replace", sent.Body, firstIndex)
	if status == http.StatusOK {
		o.history.Update(func(h *linehistory.History) { h.Versions[index].AcknowledgedAt = o.group.Now() })
	}
	return status
}

// ReplaceInvalid sends a configuration that must not be accepted, first to the
// address at firstIndex, and returns the status of the answer.
func (o *Operator) ReplaceInvalid(version uint64, body string, firstIndex int) int {
	sent := linehistory.Version{Number: version, Sent: o.group.Now(), Body: body, Invalid: true}
	status, _ := o.request(http.MethodPost, "/config/replace", body, firstIndex)
	if status == http.StatusOK {
		sent.AcknowledgedAt = o.group.Now()
	}
	o.history.Update(func(h *linehistory.History) { h.Versions = append(h.Versions, sent) })
	return status
}

// Fetch fetches the newest configuration, records it and returns the status of
// the answer.
func (o *Operator) Fetch() int {
	status, body := o.request(http.MethodGet, "/config/fetch", "", 0)
	if status == http.StatusOK {
		o.history.Update(func(h *linehistory.History) { h.Fetched = body })
	}
	return status
}
