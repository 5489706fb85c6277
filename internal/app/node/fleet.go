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
type Call func(body *fastjson.Value, raw []byte, request *http.Request) (int, any)

// Listen acts on one type of message.
type Listen func(from string, body any, answer func(any))

// Heard is an instance with the time of its last announcement.
type Heard struct {
	Instance model.Instance
	At       time.Duration
}

// Node is one process of the fleet.
type Node struct {
	Crew    *worker.Crew
	Counts  *worker.Counters
	Log     hclog.Logger
	Hub     *rpc.Hub
	Book    *schema.Book
	Program string
	// Translate, where given, turns calls of another manner into the
	// product's.
	Translate adapter.Translate

	mutex     sync.Mutex
	members   *membership.Machine
	instances map[string]*Heard
	onBase    map[string]map[string]*Heard
	record    consensus.Record
	turn      chan struct{}
	place     config.Settings
	heard     func(model.Instance)
	synced    func(model.Instance) (door string, isTaken bool)
	sweptAt   time.Duration
	found     map[string]model.Node
	foundAt   time.Duration

	calls   map[string]Call
	listens map[reflect.Type]Listen
	door    *httpserver.Door
	onGone  func(remote string)
	isOver  atomic.Bool
}

// New makes the node; Start lets it be met.
func New(program string, place config.Settings, log hclog.Logger) (*Node, error) {
	message.Register()
	book, err := schema.Open()
	if err != nil {
		return nil, errors.Trace(err)
	}
	kind := program
	n := &Node{
		Crew: worker.NewCrew(), Counts: &worker.Counters{}, Log: log, Book: book, Program: program,
		instances: map[string]*Heard{}, onBase: map[string]map[string]*Heard{}, place: place, turn: make(chan struct{}),
		calls: map[string]Call{}, listens: map[reflect.Type]Listen{},
	}
	self := model.Node{
		Name: place.Name, Kind: kind, Zone: place.Zone, Link: place.AdvertiseLink, Door: place.AdvertiseDoor,
		Birth: time.Now().UnixNano(), Version: rpc.Version, Weight: place.Weight,
	}
	n.members = membership.New(self, place.SeedLinks(), membership.DefaultTiming())
	n.Serve("/v1/announce", n.onAnnounce)
	n.Serve("/v1/counters", func(*fastjson.Value, []byte, *http.Request) (int, any) {
		return http.StatusOK, map[string]any{"node": place.Name, "counters": n.Counts.Read()}
	})
	On(n, func(_ string, gossip membership.Gossip, _ func(any)) { n.step(membership.Told{Gossip: gossip}) })
	On(n, func(_ string, turned message.Turned, _ func(any)) { n.Saw(turned.Record) })
	return n, nil
}

// On sets what is done with a type of message.
func On[T any](n *Node, act func(from string, body T, answer func(any))) {
	n.listens[reflect.TypeFor[T]()] = func(from string, body any, answer func(any)) { act(from, body.(T), answer) }
}

// OnAll sets what is done with each type for which owns is true.
func (n *Node) OnAll(bodies []any, act Listen) {
	for _, body := range bodies {
		n.listens[reflect.TypeOf(body)] = act
	}
}

// Serve sets what is done with a remote call.
func (n *Node) Serve(path string, call Call) { n.calls[path] = call }

// OnGone sets who hears of callers' connections that end.
func (n *Node) OnGone(act func(remote string)) { n.onGone = act }

// OnInstance sets who hears of announcements.
func (n *Node) OnInstance(act func(model.Instance)) { n.heard = act }

// OnSynced sets who takes the announcements of synced instances to the control
// primary; where nobody does they are refused.
func (n *Node) OnSynced(act func(model.Instance) (door string, isTaken bool)) { n.synced = act }

// Start opens link and door and begins to beat.
func (n *Node) Start() error {
	place := n.Place()
	n.Hub = rpc.New(place.Name, place.Link, n.Crew, n.Counts, n.dispatch)
	if err := n.Hub.Listen(); err != nil {
		return errors.Trace(err)
	}
	n.step(membership.Tick{})
	n.Crew.Loop(nil, membership.DefaultTiming().Beat, func() { n.step(membership.Tick{}) })
	door, err := httpserver.OpenDoor(place.Door, http.HandlerFunc(n.serve), n.onGone)
	if err != nil {
		return errors.Trace(err)
	}
	n.door = door
	n.Log.Info("open", "link", place.Link, "door", place.Door, "zone", place.Zone, "version", config.Version, "pid", os.Getpid())
	return nil
}

// Leave says goodbye to the fleet.
func (n *Node) Leave() {
	n.mutex.Lock()
	n.members.Leave()
	n.mutex.Unlock()
}

// Stop ends the node.
func (n *Node) Stop() {
	n.isOver.Store(true)
	n.door.Close()
	n.Crew.Stop(2 * time.Second)
	n.Hub.Close()
}

// Now is the node's monotonic time.
func (n *Node) Now() time.Duration { return n.Crew.Now() }

// Place gives the settings in force.
func (n *Node) Place() config.Settings {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.place
}

// Resettle takes live settings.
func (n *Node) Resettle(place config.Settings) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.place = place
	n.members.Reseed(place.SeedLinks(), place.Weight)
}

func (n *Node) step(event any) {
	n.mutex.Lock()
	effects := n.members.Step(event, n.Now())
	n.mutex.Unlock()
	for _, effect := range effects {
		if send, isSend := effect.(membership.Send); isSend {
			n.Hub.Send(send.Address, send.Gossip)
			continue
		}
		if changed, isChanged := effect.(membership.Changed); isChanged {
			n.Counts.Add("member_"+changed.Is, 1)
			n.Log.Info("node "+changed.Is, "node", changed.Node.Name, "kind", changed.Node.Kind, "why", changed.Why)
		}
	}
}

func (n *Node) dispatch(from string, body any, answer func(any)) {
	if n.isOver.Load() {
		return
	}
	act, isKnown := n.listens[reflect.TypeOf(body)]
	if !isKnown {
		n.Counts.Add("link_unknown_message", 1)
		return
	}
	act(from, body, answer)
}

// Nodes lists nodes of a kind by standing.
func (n *Node) Nodes(kind string, standings ...string) []model.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.DeleteFunc(n.members.Nodes(standings...), func(node model.Node) bool {
		return kind != "" && node.Kind != kind
	})
}

// Count counts the live nodes of a kind.
func (n *Node) Count(kind string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.members.Count(kind)
}

// Standing gives how a node is held, and how long it was silent.
func (n *Node) Standing(name string) (string, time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.members.Standing(name), n.members.Silence(name, n.Now())
}

// Fellows gives nodes of this one's kind, best those that it watches.
func (n *Node) Fellows() []model.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.members.Fellows()
}

const foundFor = 100 * time.Millisecond

// Find gives a known node by name, as known a tenth of a second ago.
func (n *Node) Find(name string) (model.Node, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.Now()
	node, isKnown := n.found[name]
	if now-n.foundAt > foundFor || !isKnown {
		n.found, n.foundAt = map[string]model.Node{}, now
		for _, one := range n.members.Nodes(membership.IsLive, membership.IsDead) {
			n.found[one.Name] = one
		}
		node, isKnown = n.found[name]
	}
	return node, isKnown
}

// Self gives this node's own entry.
func (n *Node) Self() model.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.members.Self()
}

// Saw notes an epoch record.
func (n *Node) Saw(record consensus.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if record.Epoch <= n.record.Epoch {
		return
	}
	if record.Primary != n.record.Primary {
		close(n.turn)
		n.turn = make(chan struct{})
	}
	n.record = record
}

func (n *Node) turning() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.turn
}

// Record gives the newest epoch record seen.
func (n *Node) Record() consensus.Record {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.record
}

// Instances lists the instances heard within a bound.
func (n *Node) Instances(within time.Duration) []Heard {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return listed(n.instances, n.Now(), within)
}

// InstancesOf does the same for one database.
func (n *Node) InstancesOf(database string, within time.Duration) []Heard {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return listed(n.onBase[database], n.Now(), within)
}

func listed(of map[string]*Heard, now, within time.Duration) []Heard {
	var list []Heard
	for _, heard := range of {
		if now-heard.At <= within {
			list = append(list, *heard)
		}
	}
	slices.SortFunc(list, func(a, b Heard) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	return list
}

// Heard gives an instance as it last announced itself.
func (n *Node) Heard(name string) (Heard, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	held, isHeld := n.instances[name]
	if !isHeld {
		return Heard{}, false
	}
	return *held, true
}

// Take notes what an instance says of itself; false where it belongs to
// another database than it said before. A late call changes nothing.
func (n *Node) Take(instance model.Instance) bool {
	n.mutex.Lock()
	before, isKnown := n.instances[instance.Name]
	if instance.IsGone && instance.Database == "" {
		if !isKnown {
			n.mutex.Unlock()
			return true
		}
		calls := before.Instance.Calls + 1
		instance = before.Instance
		instance.IsGone, instance.IsLeaving, instance.Calls = true, true, calls
	}
	if isKnown && instance.IsForeign(before.Instance) {
		n.mutex.Unlock()
		n.Counts.Add("announcements_foreign", 1)
		return false
	}
	now := n.Now()
	if isKnown && isLate(instance, *before, now) {
		n.mutex.Unlock()
		n.Counts.Add("announcements_late", 1)
		return true
	}
	n.instances[instance.Name] = &Heard{Instance: instance, At: now}
	if n.onBase[instance.Database] == nil {
		n.onBase[instance.Database] = map[string]*Heard{}
	}
	n.onBase[instance.Database][instance.Name] = n.instances[instance.Name]
	if now > n.sweptAt+10*time.Second {
		n.sweptAt = now
		n.sweep(now)
	}
	n.mutex.Unlock()
	isTurned := !isKnown || before.Instance.Role != instance.Role || before.Instance.Birth != instance.Birth ||
		before.Instance.IsLeaving != instance.IsLeaving || before.Instance.IsGone != instance.IsGone
	if isTurned {
		n.Log.Info("instance", "instance", instance.Name, "role", instance.Role, "term", instance.Term, "leaving", instance.IsLeaving, "gone", instance.IsGone)
	}
	n.Counts.Add("announcements", 1)
	if n.heard != nil {
		n.heard(instance)
	}
	return true
}

func (n *Node) sweep(now time.Duration) {
	isLost := func(_ string, one *Heard) bool { return now-one.At > 5*time.Minute }
	maps.DeleteFunc(n.instances, isLost)
	for database, of := range n.onBase {
		maps.DeleteFunc(of, isLost)
		if len(of) == 0 {
			delete(n.onBase, database)
		}
	}
}

const countsAnew = 5 * time.Second

func isLate(instance model.Instance, before Heard, now time.Duration) bool {
	isBehind := instance.IsSynced && instance.Calls <= before.Instance.Calls
	return isBehind && (before.Instance.IsGone || now-before.At < countsAnew)
}

func (n *Node) onAnnounce(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) {
	instance := model.Instance{
		Name: string(body.GetStringBytes("instance")), Database: string(body.GetStringBytes("database")),
		Address: string(body.GetStringBytes("address")), Zone: string(body.GetStringBytes("zone")),
		Role: string(body.GetStringBytes("role")), Birth: string(body.GetStringBytes("birth")),
		Term:        body.GetUint64("term"),
		Position:    model.Position{Term: body.GetUint64("position", "term"), Index: body.GetUint64("position", "index")},
		IsLeaving:   body.GetBool("leaving"),
		Connections: body.GetInt("connections"), Slots: body.GetInt("slots"),
		IsSynced: body.GetBool("synced"), IsGone: body.GetBool("gone"), Calls: body.GetUint64("calls"),
	}
	return n.Announce(instance)
}

// Announce takes an instance's announcement and gives the answer to it.
func (n *Node) Announce(instance model.Instance) (int, any) {
	answer := map[string]any{}
	isTaken := true
	if instance.IsSynced {
		door, isPassed := n.passOn(instance)
		if !isPassed {
			refusal := Refuse("no control primary took the announcement")
			refusal.Outcome, refusal.Retry = "unknown", 500
			return http.StatusServiceUnavailable, refusal
		}
		answer["door"] = door
	}
	if !instance.IsSynced || n.synced == nil {
		isTaken = n.Take(instance)
	}
	if !isTaken {
		return http.StatusConflict, Refuse("instance " + instance.Name + " belongs to another database")
	}
	doors := []string{}
	if !instance.IsSynced {
		for _, node := range n.Nodes("", membership.IsLive) {
			doors = append(doors, node.Door)
		}
	}
	answer["nodes"] = doors
	return http.StatusOK, answer
}

func (n *Node) passOn(instance model.Instance) (string, bool) {
	if n.synced == nil {
		return "", false
	}
	return n.synced(instance)
}

// Refusal is the body of a call that was not taken.
type Refusal struct {
	Error    string         `json:"error"`
	Faults   []schema.Fault `json:"faults"`
	Sequence *uint64        `json:"sequence,omitempty"`
	Outcome  string         `json:"outcome,omitempty"`
	Retry    int64          `json:"retry_after_ms,omitempty"`
}

// Refuse makes a refusal.
func Refuse(text string, faults ...schema.Fault) Refusal {
	if faults == nil {
		faults = []schema.Fault{}
	}
	return Refusal{Error: text, Faults: faults}
}

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/schema" {
		w.Header().Set("Content-Type", "application/schema+json")
		_, _ = w.Write(schema.File())
		return
	}
	raw, isWhole := httpserver.ReadBody(r)
	if !isWhole {
		n.Counts.Add("calls_oversized", 1)
		n.Write(w, http.StatusRequestEntityTooLarge, Refuse("body too large"))
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
	status, answer := n.call(path, raw, r)
	data, status := n.encode(status, answer)
	status, data = turn(status, data)
	n.Write(w, status, data)
}

func (n *Node) call(path string, raw []byte, r *http.Request) (int, any) {
	call, isKnown := n.calls[path]
	if !isKnown {
		return http.StatusNotFound, Refuse("no such call: " + path)
	}
	body, faults := n.Book.Request(path, raw)
	if len(faults) > 0 {
		n.Counts.Add("calls_bad_shape", 1)
		return http.StatusBadRequest, Refuse("the call does not have the shape that the schema gives it", faults...)
	}
	return call(body, raw, r)
}

func (n *Node) encode(status int, answer any) ([]byte, int) {
	if data, isRaw := answer.([]byte); isRaw {
		return data, status
	}
	data, err := json.Marshal(answer)
	if err != nil {
		n.Counts.Add("answer_encode_faults", 1)
		return []byte(`{"error":"answer could not be written","faults":[]}`), http.StatusInternalServerError
	}
	return data, status
}

// Write sends an answer.
func (n *Node) Write(w http.ResponseWriter, status int, answer any) {
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
func (n *Node) Primary() (string, []model.Node) {
	record := n.Record()
	nodes := n.Nodes(model.KindControl, membership.IsLive)
	if len(nodes) == 0 {
		nodes = n.Nodes(model.KindControl, membership.IsDead)
	}
	for _, node := range nodes {
		if node.Name == record.Primary {
			return node.Link, nodes
		}
	}
	return "", nodes
}

// Pass sends an operator's call on to the control primary and gives its
// answer. A call that may have been taken is sent again only with its own
// id, which gets the first answer if there was one.
func (n *Node) Pass(path string, raw []byte) (int, any) {
	until := n.Now() + passBound
	word := "not_kept"
	for at := 0; n.Now() < until && !n.Crew.IsStopping(); at++ {
		address := Seeker{Misses: at}.target(n.Primary())
		if address != "" {
			operated, err := n.operate(address, path, raw)
			if err == nil && !operated.IsElsewhere {
				return operated.Status, operated.Body
			}
			if err != nil {
				word = "unknown"
			}
		}
		worker.Await(make(chan struct{}), 40*time.Millisecond)
	}
	refusal := Refuse("no control primary answered in time")
	refusal.Outcome, refusal.Retry = word, 1000
	return http.StatusServiceUnavailable, refusal
}

const passBound = 4 * time.Second

func (n *Node) operate(address, path string, raw []byte) (message.Operated, error) {
	operated := message.Operated{}
	for range 2 {
		reply, err := n.Hub.Call(address, message.Operate{Path: path, Body: raw}, 1500*time.Millisecond)
		if err != nil {
			return operated, errors.Trace(err)
		}
		operated, _ = reply.(message.Operated)
		node, isKnown := n.Find(operated.Primary)
		if !operated.IsElsewhere || !isKnown || node.Link == address {
			break
		}
		address = node.Link
	}
	return operated, nil
}
