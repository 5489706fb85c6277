package platformstandin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"tansyseam/internal/transport/worker"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	// maxHeartbeatAnswer is the maximum size of an answer, in bytes.
	maxHeartbeatAnswer = 4096
)

var heartbeatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// heartbeat is the body of an instance's heartbeat.
type heartbeat struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMS int    `json:"cold_left_ms"`
	Role       string `json:"db_role"`
	CallCount  int    `json:"call_count"`
}

func (i *Instance) heartbeat() heartbeat {
	state := "ready"
	if i.draining {
		state = "draining"
	}
	return heartbeat{
		Service: i.service.Name, Address: i.Address, Zone: i.Zone, Version: "v1", Slots: i.service.Slots,
		State: state, Role: i.role(), CallCount: i.callCount,
	}
}

func (i *Instance) role() string {
	if i.primary {
		return "primary"
	}
	return "replica"
}

// heartbeatLoop sends heartbeats until the incarnation ends or the group stops.
func (i *Instance) heartbeatLoop(incarnation int) {
	for !i.service.group.IsStopping() {
		ended, hung, draining := false, false, false
		var body []byte
		i.service.withLock(func() {
			ended, hung, draining = i.incarnation != incarnation, i.hung, i.draining
			i.callCount++
			body, _ = json.Marshal(i.heartbeat())
		})
		if ended {
			return
		}
		if !hung {
			i.sendHeartbeat(body, draining)
		}
		timer := time.NewTimer(heartbeatInterval)
		worker.Receive(i.heartbeatDue, timer.C)
		timer.Stop()
	}
}

// sendHeartbeat sends a heartbeat to one address after the other until one
// accepts it.
func (i *Instance) sendHeartbeat(body []byte, draining bool) {
	for _, address := range i.heartbeatAddresses() {
		status, answer := i.post(address, "heartbeat", body)
		accepted := status/100 == 2
		i.service.withLock(func() {
			i.heartbeatTarget = ""
			if !accepted {
				return
			}
			var decoded struct {
				Target string `json:"beat_to"`
			}
			_ = json.Unmarshal(answer, &decoded)
			i.heartbeatTarget = decoded.Target
			if draining && i.leaveAcknowledgedAt == 0 {
				i.leaveAcknowledgedAt = i.service.group.Now()
			}
		})
		if accepted {
			return
		}
	}
}

// triggerHeartbeat makes heartbeatLoop send the next heartbeat immediately.
func (i *Instance) triggerHeartbeat() {
	select {
	case i.heartbeatDue <- struct{}{}:
	default:
	}
}

// heartbeatAddresses returns the addresses to which heartbeats are sent, in the
// order in which they are tried: the address that the last answer named, then
// the control addresses.
func (i *Instance) heartbeatAddresses() []string {
	i.service.mutex.Lock()
	target := i.heartbeatTarget
	i.service.mutex.Unlock()
	if target == "" {
		return i.controlAddresses()
	}
	return append([]string{target}, i.controlAddresses()...)
}

// post sends a report to an endpoint of a control address. It returns the status
// and the body of the answer. The status is 0 if no complete answer of at most
// maxHeartbeatAnswer bytes was received.
func (i *Instance) post(address, endpoint string, body []byte) (int, []byte) {
	response, err := heartbeatClient.Post("http://"+address+"/instances/"+i.ID+"/"+endpoint, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxHeartbeatAnswer+1))
	if err != nil || len(data) > maxHeartbeatAnswer {
		return 0, nil
	}
	return response.StatusCode, data
}
