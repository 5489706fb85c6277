package platforme2e

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/e2e"
	"tansyseam/test/platformstandin"
	"tansyseam/test/reserve"
)

// Run is a scenario in progress.
type Run struct {
	e2e.Recorder
	Proxies, Controls []*e2e.Process
	spareControls     []*e2e.Process
	Services          []*platformstandin.Service
	Platform          *platformstandin.Platform
	Operator          *platformstandin.Operator
	History           *platformstandin.History

	// group runs the stand-ins. loadGroup runs the clients, and busyGroup those of
	// StartBusyLoad. The clients stop first.
	group, loadGroup, busyGroup *worker.Group
	directory                   string
	// networkOctet is the second octet of all addresses. It is derived from the
	// process ID, to keep the addresses of concurrent runs apart.
	networkOctet int
	// version is the version of the last configuration that was sent.
	version          uint64
	controlAddresses []string
	// reservations reserve the run's ports until the run ends.
	reservations []*reserve.Reservation
}

const (
	proxyCount, controlCount, replicaCount = 3, 3, 2
	// spareControlCount is the number of control processes that a run can start in
	// addition to the initial ones.
	spareControlCount = 2
	// sessionCount is the number of clients. Each client has one session.
	sessionCount = 24
	// busySeed is the seed of the clients of StartBusyLoad.
	busySeed = 1
	// versionStep is the distance between the versions of successive configurations.
	// The versions in between are free for scenarios that send versions concurrently
	// or late.
	versionStep = 3
)

const (
	stopTimeout  = 20 * time.Second
	readyTimeout = 20 * time.Second
)

var zones = []string{"za", "zb", "zc"}

// Routes returns the routes of the run: one of each kind for each service.
func (r *Run) Routes() []platformstandin.Route {
	var list []platformstandin.Route
	for _, service := range r.Services {
		list = append(list,
			platformstandin.Route{
				Host: "order-" + service.Name, Kind: "primary", Service: service.Name,
				Timeout: time.Second, Target: 200 * time.Millisecond, Priority: 1,
			},
			platformstandin.Route{
				Host: "owner-" + service.Name, Kind: "bounded_lag", Service: service.Name, Staleness: 1500 * time.Millisecond,
				Timeout: 2 * time.Second, Target: 600 * time.Millisecond, Priority: 2,
			},
			platformstandin.Route{
				Host: "status-" + service.Name, Kind: "own_writes", Service: service.Name, Staleness: 2500 * time.Millisecond,
				Timeout: time.Second, Target: 200 * time.Millisecond, Priority: 2,
			})
	}
	return list
}

// mixes holds the mix of operations of the clients, by kind of route.
var mixes = map[string]platformstandin.Mix{
	"primary":     {WriteShare: 0.2, TransactionShare: 0.5, ThinkTime: 60 * time.Millisecond},
	"bounded_lag": {TransactionShare: 0.1, ThinkTime: 80 * time.Millisecond},
	"own_writes":  {WriteShare: 0.3, TransactionShare: 0.15, ThinkTime: 80 * time.Millisecond},
}

// Start starts stand-ins and programs, sends the first configuration and waits until all
// proxies are ready. The root is that of the source tree, which contains the templates of
// the configuration files.
func Start(root string, programs e2e.Programs, directory string, services int) (*Run, error) {
	group := worker.NewGroup()
	r := &Run{
		Recorder: e2e.Recorder{StartedAt: time.Now()}, History: platformstandin.NewHistory(group),
		group: group, loadGroup: worker.NewGroup(), busyGroup: worker.NewGroup(), directory: directory, networkOctet: 64 + os.Getpid()%150,
	}
	if err := r.start(root, programs, services); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

func (r *Run) start(root string, programs e2e.Programs, services int) error {
	if err := r.planProcesses(root, programs, services); err != nil {
		return err
	}
	for _, process := range slices.Concat(r.Controls, r.Proxies) {
		if err := process.Start(r.directory); err != nil {
			return err
		}
	}
	r.version = 1
	if status := r.Operator.Replace(r.version, r.Routes(), 0); status != http.StatusOK {
		return fmt.Errorf("first configuration was answered with status %d", status)
	}
	if !r.awaitAllReady(readyTimeout) {
		return fmt.Errorf("only %d of %d proxies are ready", r.Platform.ReadyCount(), len(r.Proxies))
	}
	return nil
}

// awaitAllReady waits until all proxies are ready. It returns false after a timeout.
func (r *Run) awaitAllReady(timeout time.Duration) bool {
	return e2e.WaitUntil(timeout, func() bool { return r.Platform.ReadyCount() == len(r.Proxies) })
}

// AddControl starts an additional control process with an empty data directory. Its
// seeds are the initial control processes.
func (r *Run) AddControl() *e2e.Process {
	process := r.spareControls[0]
	r.spareControls = r.spareControls[1:]
	if err := process.Start(r.directory); err != nil {
		r.Errorf("%v", err)
	}
	r.Controls = append(r.Controls, process)
	return process
}

// StartLoad starts the clients and assigns them to routes and zones in rotation. If
// adjust is not nil, it changes the mix of each client.
func (r *Run) StartLoad(seed uint64, adjust func(*platformstandin.Mix)) {
	clients, routes := platformstandin.NewClients(r.loadGroup, r.Platform, r.History), r.Routes()
	for number := range sessionCount {
		mix := mixes[routes[number%len(routes)].Kind]
		mix.Route, mix.Zone = routes[number%len(routes)], zones[number/len(routes)%len(zones)]
		if adjust != nil {
			adjust(&mix)
		}
		clients.Add(mix, seed, uint64(number))
	}
}

// busyMixes holds the mixes of operations of sessions without pauses.
var busyMixes = []platformstandin.Mix{
	{},
	{},
	{TransactionShare: 0.3},
	{WriteShare: 0.3, TransactionShare: 0.3},
}

// StartBusyLoad starts clients of a service that send each operation as soon as the one
// before is answered. Three of four only read.
func (r *Run) StartBusyLoad(count int, service string) {
	clients := platformstandin.NewClients(r.busyGroup, r.Platform, r.History)
	reads, writes := r.route("owner-"+service), r.route("order-"+service)
	for number := range count {
		mix := busyMixes[number%len(busyMixes)]
		mix.Route, mix.Zone = reads, zones[number%len(zones)]
		if mix.WriteShare > 0 {
			mix.Route = writes
		}
		clients.Add(mix, busySeed, uint64(number+sessionCount))
	}
}

// route returns the route of a host.
func (r *Run) route(host string) platformstandin.Route {
	routes := r.Routes()
	index := slices.IndexFunc(routes, func(route platformstandin.Route) bool { return route.Host == host })
	return routes[index]
}

// Stop stops everything that the run has started.
func (r *Run) Stop() {
	r.busyGroup.Stop(stopTimeout)
	r.loadGroup.Stop(stopTimeout)
	for _, process := range slices.Concat(r.Proxies, r.Controls) {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGKILL)
		process.AwaitExit(5 * time.Second)
	}
	for _, service := range r.Services {
		for _, instance := range service.Instances() {
			instance.Crash()
		}
	}
	r.group.Stop(10 * time.Second)
	reserve.ReleaseAll(r.reservations)
}

// Sleep lets the load run for a duration, or until the run stops.
func (r *Run) Sleep(duration time.Duration) { worker.Await(r.group.Stopping(), duration) }
