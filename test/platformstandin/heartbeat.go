package platformstandin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"tansyseam/internal/transport/worker"
)

var heartbeatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

const heartbeatInterval = 400 * time.Millisecond

func (i *Instance) heartbeatLoop(incarnation int) {
	s := i.service
	for !s.group.IsStopping() {
		ended, hung, draining := false, false, false
		var body []byte
		s.withLock(func() {
			ended, hung, draining = i.incarnation != incarnation, i.hung, i.draining
			i.callCount++
			body, _ = json.Marshal(map[string]any{
				"service": s.Name, "address": i.Address, "zone": i.Zone, "version": "v1", "slots": s.Slots,
				"state": map[bool]string{true: "draining", false: "ready"}[i.draining], "cold_left_ms": 0,
				"db_role": map[bool]string{true: "primary", false: "replica"}[i.primary], "call_count": i.callCount,
			})
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

func (i *Instance) sendHeartbeat(body []byte, draining bool) {
	for _, address := range i.heartbeatAddresses() {
		status, answer := i.post(address, "heartbeat", body)
		accepted := status/100 == 2
		i.service.withLock(func() {
			i.heartbeatTarget = ""
			if !accepted {
				return
			}
			var message struct {
				BeatTo string `json:"beat_to"`
			}
			_ = json.Unmarshal(answer, &message)
			i.heartbeatTarget = message.BeatTo
			if draining && i.leaveAcknowledgedAt == 0 {
				i.leaveAcknowledgedAt = i.service.group.Now()
			}
		})
		if accepted {
			return
		}
	}
}

func (i *Instance) triggerHeartbeat() {
	select {
	case i.heartbeatDue <- struct{}{}:
	default:
	}
}

func (i *Instance) heartbeatAddresses() []string {
	i.service.mutex.Lock()
	first := i.heartbeatTarget
	i.service.mutex.Unlock()
	if first == "" {
		return i.controlAddresses()
	}
	return append([]string{first}, i.controlAddresses()...)
}

func (i *Instance) post(address, code string, body []byte) (int, []byte) {
	response, err := heartbeatClient.Post("http://"+address+"/instances/"+i.ID+"/"+code, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 4097))
	if err != nil || len(data) > 4096 {
		return 0, nil
	}
	return response.StatusCode, data
}
