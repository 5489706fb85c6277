package scale

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"tansyseam.example/pooler/state/view"
	"tansyseam.example/pooler/transport/run"
	"tansyseam.example/proof/lines"
)

// lined is what surrounds a fleet in the platform's manner: stand-ins of
// synced instances that speak the line protocol, beat to one control machine
// each and tell their position with every answer, and the operator's
// manifests by version.
type lined struct {
	crew     *run.Crew
	services []*lines.Service
	platform *lines.Platform
	operator *lines.Operator
	mutex    sync.Mutex
	doors    []string
	known    map[string]view.Instance
	dead     map[string]time.Time
}

var lineShape = lines.Shape{
	Sync: 1, Lag: 2 * time.Millisecond, Apply: 8 * time.Millisecond, Work: 500 * time.Microsecond, Promote: 150 * time.Millisecond, Slots: 10, Conns: 110,
}

func newLined(crew *run.Crew, databases int) *lined {
	l := &lined{crew: crew, known: map[string]view.Instance{}, dead: map[string]time.Time{}}
	history := lines.NewHistory(crew)
	for number := range databases {
		shape := lineShape
		shape.Name = databaseName(number)
		l.services = append(l.services, lines.NewService(crew, history, shape))
	}
	l.platform = lines.NewPlatform(crew, l.services...)
	l.operator = lines.NewOperator(crew, history, nil, l.services...)
	return l
}

func (l *lined) open(address string) error {
	if err := l.platform.Serve(address); err != nil {
		return err
	}
	for number, service := range l.services {
		for copy_ := range Copies {
			name := fmt.Sprintf("%s-%c", service.Name, 'a'+copy_)
			place := lines.Place{ID: name, Address: fmt.Sprintf("%s:%d", loopback(groupLines, number*Copies+copy_), linkPort), Zone: zoneOf(number + copy_)}
			role := view.RoleReplica
			if copy_ == 0 {
				role = view.RolePrimary
			}
			l.known[name] = view.Instance{Name: name, Database: service.Name, Zone: place.Zone, Address: place.Address, Role: role, IsSynced: true, Slots: lineShape.Slots, Connections: lineShape.Conns}
			if _, err := service.Add(place, l.beats); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *lined) beats() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.doors)
}

func (l *lined) meet(made *real) {
	if made.kind != view.KindControl {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !slices.Contains(l.doors, made.door) {
		l.doors = append(l.doors, made.door)
	}
}

func (l *lined) live() []view.Instance {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []view.Instance
	for _, name := range slices.Sorted(maps.Keys(l.known)) {
		if l.dead[name].IsZero() {
			list = append(list, l.known[name])
		}
	}
	return list
}

// downSince gives when an instance was ended; false for one that lives.
func (l *lined) downSince(name string) (time.Time, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at, isDown := l.dead[name]
	return at, isDown
}

func (l *lined) endPrimary() {
	service := l.services[0]
	gone := service.Primary()
	l.mutex.Lock()
	l.dead[gone.ID] = time.Now()
	l.mutex.Unlock()
	gone.Crash()
}

func (l *lined) change(number int, _ uint64) (string, any) {
	var routes []lines.Route
	for _, service := range l.services {
		routes = append(routes, lines.Route{
			Host: "use-" + service.Name, Kind: "bounded_lag", Service: service.Name, Staleness: time.Duration(1500+number) * time.Millisecond,
			Timeout: time.Second, Target: 200 * time.Millisecond, Priority: 1,
		})
	}
	return "/config/replace", json.RawMessage(l.operator.Body(uint64(number), routes))
}

func (l *lined) promotions() int64 {
	count := int64(0)
	for _, call := range l.platform.Calls() {
		if call.Status/100 == 2 {
			count++
		}
	}
	return count
}

func (l *lined) announcements() int64 { return 0 }

func (l *lined) close() {
	for _, service := range l.services {
		for _, one := range service.Instances() {
			one.Crash()
		}
	}
}
