package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tansyseam.example/pooler/coordination/rendezvous"
	"tansyseam.example/pooler/state/view"
	"tansyseam.example/pooler/transport/run"
)

// Copies is how many instances each database has.
const Copies = 3

// Zones is how many zones there are; the first half make one region, the
// second half the other.
const Zones = 6

func zoneOf(number int) string { return fmt.Sprintf("zone%d", number%Zones+1) }

func regionOf(zone string) string {
	if zone[len("zone"):] > fmt.Sprint(Zones/2) {
		return "west"
	}
	return "east"
}

// outside is what surrounds a fleet: instances, the platform, the operator.
type outside interface {
	// open listens; the platform is met at the address.
	open(address string) error
	// meet tells of a real process that has started.
	meet(made *real)
	live() []view.Instance
	// endPrimary ends the first database's primary.
	endPrimary()
	// change gives the call that makes the operator's change of a number.
	change(number int, expected uint64) (path string, body any)
	promotions() int64
	announcements() int64
	close()
}

type world struct {
	crew      *run.Crew
	databases int
	homes     map[string]map[string]bool
	mutex     sync.Mutex
	instances []view.Instance
	isDead    map[string]bool
	index     uint64

	announced atomic.Int64
	late      atomic.Int64
	promoted  atomic.Int64
	listeners []net.Listener
	servers   []*http.Server
}

func databaseName(number int) string { return fmt.Sprintf("db%d", number) }

func newWorld(databases int) *world {
	w := &world{databases: databases, isDead: map[string]bool{}, index: 1000}
	for number := range databases {
		for copy_ := range Copies {
			role := view.RoleReplica
			if copy_ == 0 {
				role = view.RolePrimary
			}
			w.instances = append(w.instances, view.Instance{
				Name: fmt.Sprintf("%s-%c", databaseName(number), 'a'+copy_), Database: databaseName(number),
				Zone: zoneOf(number + copy_), Role: role, Birth: "born", Term: 1,
				Position: view.Position{Term: 1, Index: 1000}, Connections: 110, Slots: 10,
			})
		}
	}
	return w
}

func (w *world) open(address string) error {
	host, _, _ := net.SplitHostPort(address)
	platform, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for group := range 2 {
		for copy_ := range Copies {
			listener, err := net.Listen("tcp", host+":0")
			if err != nil {
				return err
			}
			at := min(group*Copies+copy_, len(w.instances)-Copies+copy_)
			server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { w.serve(at, out, in) })}
			w.listeners = append(w.listeners, listener)
			w.servers = append(w.servers, server)
		}
	}
	w.listeners = append(w.listeners, platform)
	w.servers = append(w.servers, &http.Server{Handler: http.HandlerFunc(w.promote)})
	for at := range w.instances {
		w.instances[at].Address = w.listeners[min(at/Copies, 1)*Copies+at%Copies].Addr().String()
	}
	for at, server := range w.servers {
		listener := w.listeners[at]
		w.crew.Go(func() { _ = server.Serve(listener) })
	}
	return nil
}

func (w *world) meet(made *real) {
	own := w.homes[made.name]
	w.announce(w.crew, made.door, func(one view.Instance) bool { return made.kind == view.KindControl || own == nil || own[one.Database] })
}

func (w *world) endPrimary() { w.kill(databaseName(0) + "-a") }

func (w *world) change(number int, expected uint64) (string, any) {
	var list []map[string]any
	for at := range min(w.databases, mostBindings) {
		list = append(list, map[string]any{"name": "use-" + databaseName(at), "database": databaseName(at), "freshness_ms": 1500 + number})
	}
	return "/v1/bindings/put", map[string]any{"id": fmt.Sprintf("put-%d", number), "expected": expected, "bindings": list}
}

func (w *world) promotions() int64 { return w.promoted.Load() }

func (w *world) announcements() int64 { return w.announced.Load() }

func (w *world) close() {
	for _, server := range w.servers {
		_ = server.Close()
	}
}

func (w *world) at(number int) (view.Instance, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	instance := w.instances[number]
	return instance, !w.isDead[instance.Name]
}

func (w *world) live() []view.Instance {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []view.Instance
	for _, instance := range w.instances {
		if !w.isDead[instance.Name] {
			list = append(list, instance)
		}
	}
	return list
}

func (w *world) kill(name string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isDead[name] = true
}

func (w *world) serve(at int, out http.ResponseWriter, in *http.Request) {
	instance, isLive := w.at(at)
	if !isLive {
		panic(http.ErrAbortHandler)
	}
	raw, _ := io.ReadAll(in.Body)
	if in.URL.Path == "/db/status" {
		var asked struct {
			After view.Position `json:"after"`
			Wait  int           `json:"wait_ms"`
		}
		_ = json.Unmarshal(raw, &asked)
		if !asked.After.IsBefore(instance.Position) {
			run.Await(in.Context().Done(), time.Duration(asked.Wait)*time.Millisecond)
		}
	}
	answer(out, map[string]any{
		"position": instance.Position, "clean": true, "inside": false, "role": instance.Role, "term": instance.Term,
		"birth": instance.Birth, "leaving": false, "rows": []int{1},
	})
}

func answer(out http.ResponseWriter, body any) {
	data, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(data)
}

func (w *world) promote(out http.ResponseWriter, in *http.Request) {
	var asked struct {
		Database string `json:"database"`
		Instance string `json:"instance"`
		Term     uint64 `json:"term"`
	}
	if json.NewDecoder(in.Body).Decode(&asked) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	for at := range w.instances {
		one := &w.instances[at]
		if one.Database != asked.Database {
			continue
		}
		one.Role, one.Term, one.Position = view.RoleReplica, asked.Term, view.Position{Term: asked.Term, Index: w.index + 1}
		if one.Name == asked.Instance {
			one.Role = view.RolePrimary
		}
	}
	w.mutex.Unlock()
	w.promoted.Add(1)
	answer(out, map[string]any{})
}

// Pace is how often an instance announces itself to each door.
const Pace = 400 * time.Millisecond

const announcers = 4

func (w *world) announce(crew *run.Crew, door string, which func(view.Instance) bool) {
	for lane := range announcers {
		crew.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for !crew.IsStopping() {
				began := time.Now()
				count := 0
				for at := lane; at < len(w.instances); at += announcers {
					instance, isLive := w.at(at)
					if !isLive || !which(instance) {
						continue
					}
					if conn == nil {
						fresh, err := net.DialTimeout("tcp", door, time.Second)
						if err != nil {
							break
						}
						conn, reader = fresh, bufio.NewReader(fresh)
					}
					if !tell(conn, reader, door, instance) {
						_ = conn.Close()
						conn = nil
						break
					}
					count++
					w.announced.Add(1)
				}
				left := Pace - time.Since(began)
				if left < 0 {
					w.late.Add(1)
				}
				run.Await(crew.Stopping(), max(left, time.Millisecond))
			}
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
}

func tell(conn net.Conn, reader *bufio.Reader, door string, instance view.Instance) bool {
	body, _ := json.Marshal(map[string]any{
		"instance": instance.Name, "database": instance.Database, "address": instance.Address, "zone": instance.Zone,
		"role": instance.Role, "birth": instance.Birth, "term": instance.Term, "position": instance.Position,
		"leaving": instance.IsLeaving, "connections": instance.Connections, "slots": instance.Slots,
	})
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST /v1/announce HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", door, len(body))
	request.Write(body)
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write(request.Bytes()); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err == nil && response.StatusCode == http.StatusOK
}

func homesOf(byZone map[string][]string, database string, count int) []string {
	var homes []string
	for _, names := range byZone {
		homes = append(homes, rendezvous.Select(names, database, count)...)
	}
	return homes
}
