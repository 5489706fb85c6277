// Package node is what both programs have in common: the node's place among
// the others, its links, its door, and the instances that announced
// themselves to it. Lock order: a caller's own lock, then Node's.
package node

import (
	"encoding/json"
	"maps"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"tansyseam/internal/app/config"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/rpc"
	"tansyseam/internal/transport/worker"
)

// Call serves one remote call whose request was checked.
type CallHandler func(body *fastjson.Value, raw []byte, request *http.Request) (int, any)

// Listen acts on one type of message.
type MessageHandler func(from string, body any, answer func(any))

// Heard is an instance with the time of its last announcement.
type AnnouncedInstance struct {
	Instance    model.Instance
	AnnouncedAt time.Duration
}

// Node is one process of the fleet.
type Node struct {
	Workers  *worker.Group
	Counters *worker.Counters
	Log      hclog.Logger
	Hub      *rpc.Hub
	Schemas  *schema.Validator
	Program  string
	// Translate, where given, turns calls of another manner into the
	// product's.
	Translate adapter.TranslateFunc

	mutex                sync.Mutex
	membership           *membership.Machine
	instances            map[string]*AnnouncedInstance
	instancesByDatabase  map[string]map[string]*AnnouncedInstance
	epochRecord          consensus.Record
	primaryChanged       chan struct{}
	config               config.Config
	onInstance           func(model.Instance)
	onSyncedAnnouncement func(model.Instance) (door string, accepted bool)
	lastSweep            time.Duration
	nodesByName          map[string]model.Node
	nodesByNameAt        time.Duration

	callHandlers    map[string]CallHandler
	messageHandlers map[reflect.Type]MessageHandler
	server          *httpserver.Server
	onDisconnect    func(remote string)
	stopped         atomic.Bool
}

// New makes the node; Start lets it be met.
func New(program string, nodeConfig config.Config, log hclog.Logger) (*Node, error) {
	message.Register()
	book, err := schema.NewValidator()
	if err != nil {
		return nil, errors.Trace(err)
	}
	kind := program
	n := &Node{
		Workers: worker.NewGroup(), Counters: &worker.Counters{}, Log: log, Schemas: book, Program: program,
		instances: map[string]*AnnouncedInstance{}, instancesByDatabase: map[string]map[string]*AnnouncedInstance{}, config: nodeConfig, primaryChanged: make(chan struct{}),
		callHandlers: map[string]CallHandler{}, messageHandlers: map[reflect.Type]MessageHandler{},
	}
	self := model.Node{
		Name: nodeConfig.Name, Kind: kind, Zone: nodeConfig.Zone, RPCAddress: nodeConfig.AdvertiseRPCAddress, HTTPAddress: nodeConfig.AdvertiseHTTPAddress,
		Incarnation: time.Now().UnixNano(), Version: rpc.ProtocolVersion, Weight: nodeConfig.Weight,
	}
	n.membership = membership.New(self, nodeConfig.SeedRPCAddresses(), membership.DefaultTiming())
	n.HandleCall("/v1/announce", n.onAnnounce)
	n.HandleCall("/v1/counters", func(*fastjson.Value, []byte, *http.Request) (int, any) {
		return http.StatusOK, map[string]any{"node": nodeConfig.Name, "counters": n.Counters.Snapshot()}
	})
	HandleMessage(n, func(_ string, gossip membership.Gossip, _ func(any)) {
		n.stepMembership(membership.GossipReceived{Gossip: gossip})
	})
	HandleMessage(n, func(_ string, turned message.EpochChanged, _ func(any)) { n.ObserveEpoch(turned.Record) })
	return n, nil
}

// On sets what is done with a type of message.
func HandleMessage[T any](n *Node, act func(from string, body T, answer func(any))) {
	n.messageHandlers[reflect.TypeFor[T]()] = func(from string, body any, answer func(any)) { act(from, body.(T), answer) }
}

// OnAll sets what is done with each type for which owns is true.
func (n *Node) HandleMessages(bodies []any, act MessageHandler) {
	for _, body := range bodies {
		n.messageHandlers[reflect.TypeOf(body)] = act
	}
}

// Serve sets what is done with a remote call.
func (n *Node) HandleCall(path string, call CallHandler) { n.callHandlers[path] = call }

// OnGone sets who hears of callers' connections that end.
func (n *Node) OnDisconnect(act func(remote string)) { n.onDisconnect = act }

// OnInstance sets who hears of announcements.
func (n *Node) OnInstance(act func(model.Instance)) { n.onInstance = act }

// OnSynced sets who takes the announcements of synced instances to the control
// primary; where nobody does they are refused.
func (n *Node) OnSyncedAnnouncement(act func(model.Instance) (door string, accepted bool)) {
	n.onSyncedAnnouncement = act
}

// Start opens link and door and begins to beat.
func (n *Node) Start() error {
	nodeConfig := n.Config()
	n.Hub = rpc.NewHub(nodeConfig.Name, nodeConfig.RPCAddress, n.Workers, n.Counters, n.dispatchMessage)
	if err := n.Hub.Listen(); err != nil {
		return errors.Trace(err)
	}
	n.stepMembership(membership.Tick{})
	n.Workers.Loop(nil, membership.DefaultTiming().HeartbeatInterval, func() { n.stepMembership(membership.Tick{}) })
	door, err := httpserver.Listen(nodeConfig.HTTPAddress, http.HandlerFunc(n.serveHTTP), n.onDisconnect)
	if err != nil {
		return errors.Trace(err)
	}
	n.server = door
	n.Log.Info("open", "link", nodeConfig.RPCAddress, "door", nodeConfig.HTTPAddress, "zone", nodeConfig.Zone, "version", config.Version, "pid", os.Getpid())
	return nil
}

// Leave says goodbye to the fleet.
func (n *Node) Leave() {
	n.mutex.Lock()
	n.membership.Leave()
	n.mutex.Unlock()
}

// Stop ends the node.
func (n *Node) Stop() {
	n.stopped.Store(true)
	n.server.Close()
	n.Workers.Stop(2 * time.Second)
	n.Hub.Close()
}

// Now is the node's monotonic time.
func (n *Node) Now() time.Duration { return n.Workers.Now() }

// Place gives the settings in force.
func (n *Node) Config() config.Config {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.config
}

// Resettle takes live settings.
func (n *Node) Reconfigure(nodeConfig config.Config) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.config = nodeConfig
	n.membership.Reconfigure(nodeConfig.SeedRPCAddresses(), nodeConfig.Weight)
}

func (n *Node) stepMembership(event any) {
	n.mutex.Lock()
	effects := n.membership.Step(event, n.Now())
	n.mutex.Unlock()
	for _, effect := range effects {
		if send, ok := effect.(membership.Send); ok {
			n.Hub.Send(send.Address, send.Gossip)
			continue
		}
		if changed, ok := effect.(membership.StatusChanged); ok {
			n.Counters.Add("member_"+changed.Status, 1)
			n.Log.Info("node "+changed.Status, "node", changed.Node.Name, "kind", changed.Node.Kind, "why", changed.Reason)
		}
	}
}

func (n *Node) dispatchMessage(from string, body any, answer func(any)) {
	if n.stopped.Load() {
		return
	}
	act, known := n.messageHandlers[reflect.TypeOf(body)]
	if !known {
		n.Counters.Add("link_unknown_message", 1)
		return
	}
	act(from, body, answer)
}

// Nodes lists nodes of a kind by standing.
func (n *Node) Nodes(kind string, statuses ...string) []model.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.DeleteFunc(n.membership.Nodes(statuses...), func(node model.Node) bool {
		return kind != "" && node.Kind != kind
	})
}

// Count counts the live nodes of a kind.
func (n *Node) CountLive(kind string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.membership.CountLive(kind)
}

// Standing gives how a node is held, and how long it was silent.
func (n *Node) Status(name string) (string, time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.membership.Status(name), n.membership.SinceHeartbeat(name, n.Now())
}

// Fellows gives nodes of this one's kind, best those that it watches.
func (n *Node) Peers() []model.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.membership.Peers()
}

const nodeCacheLifetime = 100 * time.Millisecond

// Find gives a known node by name, as known a tenth of a second ago.
func (n *Node) FindNode(name string) (model.Node, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.Now()
	node, known := n.nodesByName[name]
	if now-n.nodesByNameAt > nodeCacheLifetime || !known {
		n.nodesByName, n.nodesByNameAt = map[string]model.Node{}, now
		for _, one := range n.membership.Nodes(membership.StatusLive, membership.StatusDead) {
			n.nodesByName[one.Name] = one
		}
		node, known = n.nodesByName[name]
	}
	return node, known
}

// Self gives this node's own entry.
func (n *Node) Self() model.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.membership.Self()
}

// Saw notes an epoch record.
func (n *Node) ObserveEpoch(record consensus.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if record.Epoch <= n.epochRecord.Epoch {
		return
	}
	if record.Primary != n.epochRecord.Primary {
		close(n.primaryChanged)
		n.primaryChanged = make(chan struct{})
	}
	n.epochRecord = record
}

func (n *Node) primaryChange() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.primaryChanged
}

// Record gives the newest epoch record seen.
func (n *Node) EpochRecord() consensus.Record {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.epochRecord
}

// Instances lists the instances heard within a bound.
func (n *Node) Instances(maxAge time.Duration) []AnnouncedInstance {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return recentInstances(n.instances, n.Now(), maxAge)
}

// InstancesOf does the same for one database.
func (n *Node) DatabaseInstances(database string, maxAge time.Duration) []AnnouncedInstance {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return recentInstances(n.instancesByDatabase[database], n.Now(), maxAge)
}

func recentInstances(of map[string]*AnnouncedInstance, now, maxAge time.Duration) []AnnouncedInstance {
	var list []AnnouncedInstance
	for _, heard := range of {
		if now-heard.AnnouncedAt <= maxAge {
			list = append(list, *heard)
		}
	}
	slices.SortFunc(list, func(a, b AnnouncedInstance) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	return list
}

// Heard gives an instance as it last announced itself.
func (n *Node) Instance(name string) (AnnouncedInstance, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	held, found := n.instances[name]
	if !found {
		return AnnouncedInstance{}, false
	}
	return *held, true
}

// Take notes what an instance says of itself; false where it belongs to
// another database than it said before. A late call changes nothing.
func (n *Node) RecordAnnouncement(instance model.Instance) bool {
	n.mutex.Lock()
	before, known := n.instances[instance.Name]
	if instance.Stopped && instance.Database == "" {
		if !known {
			n.mutex.Unlock()
			return true
		}
		calls := before.Instance.AnnouncementNumber + 1
		instance = before.Instance
		instance.Stopped, instance.Leaving, instance.AnnouncementNumber = true, true, calls
	}
	if known && instance.ConflictsWith(before.Instance) {
		n.mutex.Unlock()
		n.Counters.Add("announcements_foreign", 1)
		return false
	}
	now := n.Now()
	if known && isStale(instance, *before, now) {
		n.mutex.Unlock()
		n.Counters.Add("announcements_late", 1)
		return true
	}
	n.instances[instance.Name] = &AnnouncedInstance{Instance: instance, AnnouncedAt: now}
	if n.instancesByDatabase[instance.Database] == nil {
		n.instancesByDatabase[instance.Database] = map[string]*AnnouncedInstance{}
	}
	n.instancesByDatabase[instance.Database][instance.Name] = n.instances[instance.Name]
	if now > n.lastSweep+10*time.Second {
		n.lastSweep = now
		n.sweep(now)
	}
	n.mutex.Unlock()
	changed := !known || before.Instance.Role != instance.Role || before.Instance.Incarnation != instance.Incarnation ||
		before.Instance.Leaving != instance.Leaving || before.Instance.Stopped != instance.Stopped
	if changed {
		n.Log.Info("instance", "instance", instance.Name, "role", instance.Role, "term", instance.Term, "leaving", instance.Leaving, "gone", instance.Stopped)
	}
	n.Counters.Add("announcements", 1)
	if n.onInstance != nil {
		n.onInstance(instance)
	}
	return true
}

func (n *Node) sweep(now time.Duration) {
	expired := func(_ string, one *AnnouncedInstance) bool { return now-one.AnnouncedAt > 5*time.Minute }
	maps.DeleteFunc(n.instances, expired)
	for database, of := range n.instancesByDatabase {
		maps.DeleteFunc(of, expired)
		if len(of) == 0 {
			delete(n.instancesByDatabase, database)
		}
	}
}

const callCounterLifetime = 5 * time.Second

func isStale(instance model.Instance, before AnnouncedInstance, now time.Duration) bool {
	behind := instance.SyncReplication && instance.AnnouncementNumber <= before.Instance.AnnouncementNumber
	return behind && (before.Instance.Stopped || now-before.AnnouncedAt < callCounterLifetime)
}

func (n *Node) onAnnounce(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) {
	instance := model.Instance{
		Name: string(body.GetStringBytes("instance")), Database: string(body.GetStringBytes("database")),
		Address: string(body.GetStringBytes("address")), Zone: string(body.GetStringBytes("zone")),
		Role: string(body.GetStringBytes("role")), Incarnation: string(body.GetStringBytes("birth")),
		Term:        body.GetUint64("term"),
		Position:    model.Position{Term: body.GetUint64("position", "term"), Index: body.GetUint64("position", "index")},
		Leaving:     body.GetBool("leaving"),
		Connections: body.GetInt("connections"), Slots: body.GetInt("slots"),
		SyncReplication: body.GetBool("synced"), Stopped: body.GetBool("gone"), AnnouncementNumber: body.GetUint64("calls"),
	}
	return n.Announce(instance)
}

// Announce takes an instance's announcement and gives the answer to it.
func (n *Node) Announce(instance model.Instance) (int, any) {
	answer := map[string]any{}
	accepted := true
	if instance.SyncReplication {
		door, forwarded := n.forwardSynced(instance)
		if !forwarded {
			response := NewErrorResponse("no control primary took the announcement")
			response.Outcome, response.RetryAfterMillis = "unknown", 500
			return http.StatusServiceUnavailable, response
		}
		answer["door"] = door
	}
	if !instance.SyncReplication || n.onSyncedAnnouncement == nil {
		accepted = n.RecordAnnouncement(instance)
	}
	if !accepted {
		return http.StatusConflict, NewErrorResponse("instance " + instance.Name + " belongs to another database")
	}
	addresses := []string{}
	if !instance.SyncReplication {
		for _, node := range n.Nodes("", membership.StatusLive) {
			addresses = append(addresses, node.HTTPAddress)
		}
	}
	answer["nodes"] = addresses
	return http.StatusOK, answer
}

func (n *Node) forwardSynced(instance model.Instance) (string, bool) {
	if n.onSyncedAnnouncement == nil {
		return "", false
	}
	return n.onSyncedAnnouncement(instance)
}

// Refusal is the body of a call that was not taken.
type ErrorResponse struct {
	Error            string             `json:"error"`
	Faults           []schema.Violation `json:"faults"`
	Sequence         *uint64            `json:"sequence,omitempty"`
	Outcome          string             `json:"outcome,omitempty"`
	RetryAfterMillis int64              `json:"retry_after_ms,omitempty"`
}

// Refuse makes a refusal.
func NewErrorResponse(text string, faults ...schema.Violation) ErrorResponse {
	if faults == nil {
		faults = []schema.Violation{}
	}
	return ErrorResponse{Error: text, Faults: faults}
}

func (n *Node) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/schema" {
		w.Header().Set("Content-Type", "application/schema+json")
		_, _ = w.Write(schema.Document())
		return
	}
	raw, complete := httpserver.ReadBody(r)
	if !complete {
		n.Counters.Add("calls_oversized", 1)
		n.WriteResponse(w, http.StatusRequestEntityTooLarge, NewErrorResponse("body too large"))
		return
	}
	path := r.URL.Path
	turn := func(status int, answer []byte) (int, []byte) { return status, answer }
	if n.Translate != nil {
		if told, isOne := n.Translate(r.Method, path, raw); isOne {
			path, raw = told.Path, told.Body
			if told.Answer != nil {
				turn = told.Answer
			}
		}
	}
	status, answer := n.dispatchCall(path, raw, r)
	data, status := n.encode(status, answer)
	status, data = turn(status, data)
	n.WriteResponse(w, status, data)
}

func (n *Node) dispatchCall(path string, raw []byte, r *http.Request) (int, any) {
	call, known := n.callHandlers[path]
	if !known {
		return http.StatusNotFound, NewErrorResponse("no such call: " + path)
	}
	body, faults := n.Schemas.ValidateRequest(path, raw)
	if len(faults) > 0 {
		n.Counters.Add("calls_bad_shape", 1)
		return http.StatusBadRequest, NewErrorResponse("the call does not have the shape that the schema gives it", faults...)
	}
	return call(body, raw, r)
}

func (n *Node) encode(status int, answer any) ([]byte, int) {
	if data, ok := answer.([]byte); ok {
		return data, status
	}
	data, err := json.Marshal(answer)
	if err != nil {
		n.Counters.Add("answer_encode_faults", 1)
		return []byte(`{"error":"answer could not be written","faults":[]}`), http.StatusInternalServerError
	}
	return data, status
}

// Write sends an answer.
func (n *Node) WriteResponse(w http.ResponseWriter, status int, answer any) {
	data, status := n.encode(status, answer)
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		wait := time.Duration(fastjson.GetInt(data, "retry_after_ms")) * time.Millisecond
		w.Header().Set("Retry-After", strconv.FormatInt(max(1, int64((wait+time.Second-1)/time.Second)), 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Primary gives the link address of the control primary as far as known, and
// the other control nodes to try in turn.
func (n *Node) ControlPrimary() (string, []model.Node) {
	record := n.EpochRecord()
	nodes := n.Nodes(model.KindControl, membership.StatusLive)
	if len(nodes) == 0 {
		nodes = n.Nodes(model.KindControl, membership.StatusDead)
	}
	for _, node := range nodes {
		if node.Name == record.Primary {
			return node.RPCAddress, nodes
		}
	}
	return "", nodes
}

// Pass sends an operator's call on to the control primary and gives its
// answer. A call that may have been taken is sent again only with its own
// id, which gets the first answer if there was one.
func (n *Node) ForwardCall(path string, raw []byte) (int, any) {
	until := n.Now() + forwardTimeout
	outcome := "not_kept"
	for at := 0; n.Now() < until && !n.Workers.IsStopping(); at++ {
		address := PrimarySearch{Misses: at}.target(n.ControlPrimary())
		if address != "" {
			operated, err := n.callPrimary(address, path, raw)
			if err == nil && !operated.NotPrimary {
				return operated.Status, operated.Body
			}
			if err != nil {
				outcome = "unknown"
			}
		}
		worker.Await(make(chan struct{}), 40*time.Millisecond)
	}
	response := NewErrorResponse("no control primary answered in time")
	response.Outcome, response.RetryAfterMillis = outcome, 1000
	return http.StatusServiceUnavailable, response
}

const forwardTimeout = 4 * time.Second

func (n *Node) callPrimary(address, path string, raw []byte) (message.OperatorCallResult, error) {
	operated := message.OperatorCallResult{}
	for range 2 {
		reply, err := n.Hub.Call(address, message.OperatorCall{Path: path, Body: raw}, 1500*time.Millisecond)
		if err != nil {
			return operated, errors.Trace(err)
		}
		operated, _ = reply.(message.OperatorCallResult)
		node, known := n.FindNode(operated.Primary)
		if !operated.NotPrimary || !known || node.RPCAddress == address {
			break
		}
		address = node.RPCAddress
	}
	return operated, nil
}
