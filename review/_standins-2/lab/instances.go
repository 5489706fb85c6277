package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/platformstandin"
)

// maxAnswerBytes is the largest answer that acknowledges a call of an instance.
const maxAnswerBytes = 4096

// An instance that leaves calls all addresses in up to leaveRounds rounds.
const (
	leaveRounds = 30
	leavePause  = 100 * time.Millisecond
)

// pollMS is how often an instance looks whether its role has changed.
const pollMS = 50

var callClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Instance is one instance with its heartbeats.
type Instance struct {
	*platformstandin.Instance
	Service *platformstandin.Service
	lab     *Lab

	mutex   sync.Mutex
	state   string
	silent  bool
	target  string
	calls   int
	lastAck time.Duration
}

func (l *Lab) addService(number int) error {
	service := platformstandin.NewService(l.Group, l.History, platformstandin.ServiceConfig{
		Name: fmt.Sprintf("db%da", number+1), SyncReplicas: 1, ReplicationDelay: 2 * time.Millisecond, ApplyDelay: 8 * time.Millisecond,
		StatementTime: 3 * time.Millisecond, PromoteDelay: 150 * time.Millisecond, Slots: 10, MaxConnections: 110,
	})
	l.Services = append(l.Services, service)
	for member := range instancesEach {
		location := platformstandin.Location{
			ID: fmt.Sprintf("i-%d%d", number+1, member), Zone: zones[member],
			Address: l.address(instanceGroup, number*instancesEach+member, l.sessionPort),
		}
		// The stand-in's own heartbeats have no address to go to.
		instance, err := service.Add(location, func() []string { return nil })
		if err != nil {
			return err
		}
		l.Instances = append(l.Instances, &Instance{Instance: instance, Service: service, lab: l, state: "ready"})
	}
	return nil
}

func (l *Lab) startHeartbeats() {
	for number, instance := range l.Instances {
		l.Group.Go(func() {
			worker.Await(l.Group.Stopping(), time.Duration(number)*BeatMS*time.Millisecond/time.Duration(len(l.Instances)))
			instance.beatLoop()
		})
	}
}

// beatLoop sends heartbeats until the deployment stops.
func (i *Instance) beatLoop() {
	for !i.lab.Group.IsStopping() {
		i.beat()
		i.awaitBeat()
	}
}

// awaitBeat waits until the next heartbeat is due: after the interval, or as soon as the
// role has changed.
func (i *Instance) awaitBeat() {
	role := i.role()
	for waited := 0; waited < BeatMS && i.role() == role; waited += pollMS {
		worker.Await(i.lab.Group.Stopping(), pollMS*time.Millisecond)
	}
}

// SetSilent makes the instance hold its heartbeats back, or end that.
func (i *Instance) SetSilent(silent bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.silent = silent
}

// LastAck returns when a heartbeat of the instance was last acknowledged.
func (i *Instance) LastAck() time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.lastAck
}

func (i *Instance) role() string {
	if i.Service.Primary() == i.Instance {
		return "primary"
	}
	return "replica"
}

func (i *Instance) addresses() []string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	addresses := i.lab.ControlAddresses()
	if i.target != "" {
		addresses = append([]string{i.target}, addresses...)
	}
	return addresses
}

// beat sends a heartbeat to one address after the other until one acknowledges it.
func (i *Instance) beat() {
	i.mutex.Lock()
	silent := i.silent
	if !silent {
		i.calls++
	}
	body := i.beatBody()
	i.mutex.Unlock()
	if silent {
		return
	}
	for _, address := range i.addresses() {
		status, answer := i.post(address, "heartbeat", body)
		if status/100 != 2 {
			i.setTarget("", false)
			continue
		}
		var decoded struct {
			Target string `json:"beat_to"`
		}
		_ = json.Unmarshal(answer, &decoded)
		i.setTarget(decoded.Target, true)
		return
	}
}

// beatBody returns the body of a heartbeat. The caller holds the mutex.
func (i *Instance) beatBody() []byte {
	body, _ := json.Marshal(map[string]any{
		"service": i.Service.Name, "address": i.Address, "zone": i.Zone, "version": "v1", "slots": i.Service.Slots,
		"state": i.state, "cold_left_ms": 0, "db_role": i.role(), "call_count": i.calls,
	})
	return body
}

func (i *Instance) setTarget(target string, acknowledged bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.target = target
	if acknowledged {
		i.lastAck = i.lab.Group.Now()
	}
}

// Leave sends the call that the instance leaves to one address after the other, with a
// pause after each round, until one acknowledges it. It returns when and where that was.
// The instance sends no heartbeats from then on.
func (i *Instance) Leave() (at time.Duration, address string, acknowledged bool) {
	i.SetSilent(true)
	for range leaveRounds {
		for _, address := range i.addresses() {
			status, _ := i.post(address, "leave", []byte("{}"))
			i.lab.Logf("%s: POST /instances/%s/leave to %s is answered %d", i.ID, i.ID, address, status)
			if status/100 == 2 {
				return i.lab.Group.Now(), address, true
			}
		}
		time.Sleep(leavePause)
	}
	return 0, "", false
}

func (i *Instance) post(address, endpoint string, body []byte) (int, []byte) {
	response, err := callClient.Post("http://"+address+"/instances/"+i.ID+"/"+endpoint, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(data) > maxAnswerBytes {
		return 0, nil
	}
	return response.StatusCode, data
}

// Crash ends the instance without notice.
func (i *Instance) Crash() {
	i.SetSilent(true)
	i.Instance.Crash()
}

// Start starts the instance again, with its log.
func (i *Instance) Start() error {
	i.SetSilent(false)
	return i.Instance.Start()
}

// BeatLate sends one heartbeat of which every call arrives late: a call that is not
// answered within a second is followed by one to the next address, and the network
// delivers the end of each call only after a delay.
func (i *Instance) BeatLate(delay time.Duration) {
	i.SetSilent(true)
	for _, address := range i.addresses() {
		i.mutex.Lock()
		i.calls++
		number := i.calls
		body := i.beatBody()
		i.mutex.Unlock()
		i.lab.Group.Go(func() { i.postLate(address, body, number, delay) })
		time.Sleep(time.Second)
	}
}

// postLate sends a call whose last byte arrives after a delay.
func (i *Instance) postLate(address string, body []byte, number int, delay time.Duration) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Sprintf("POST /instances/%s/heartbeat HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", i.ID, address, len(body), body)
	_, _ = conn.Write([]byte(request[:len(request)-1]))
	worker.Await(i.lab.Group.Stopping(), delay)
	_, _ = conn.Write([]byte(request[len(request)-1:]))
	i.lab.Logf("%s: the heartbeat with call_count %d, sent %v ago, arrives at %s", i.ID, number, delay, address)
	answer := make([]byte, 512)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = conn.Read(answer)
}
