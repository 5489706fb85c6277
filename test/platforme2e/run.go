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

// Run is one scenario under way.
type Run struct {
	e2e.Recorder
	Proxies, Controls []*e2e.Process
	spareControls     []*e2e.Process
	Services          []*platformstandin.Service
	Platform          *platformstandin.Platform
	Operator          *platformstandin.Operator
	History           *platformstandin.History

	// group runs the stand-ins, loadGroup the clients, which end first.
	group, loadGroup *worker.Group
	directory        string
	// networkOctet is the second one of all addresses, so that runs side by
	// side do not meet.
	networkOctet int
	// version is that of the last configuration sent.
	version          uint64
	controlAddresses []string
	// reservations keep the run's ports until it ends.
	reservations []*reserve.Reservation
}

const (
	proxyCount, controlCount, replicaCount = 3, 3, 2
	// spareControlCount is for controls that a run may start beside the first.
	spareControlCount = 2
	// sessionCount is for clients, each of which has one session.
	sessionCount = 24
	// versionStep leaves versions free that race in a scenario.
	versionStep = 3
)

const (
	stopTimeout  = 20 * time.Second
	readyTimeout = 20 * time.Second
)

var zones = []string{"za", "zb", "zc"}

// Routes returns the run's routes, one of each kind for each service.
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

// mixes are what clients do, by kind of route.
var mixes = map[string]platformstandin.Mix{
	"primary":     {WriteShare: 0.2, TransactionShare: 0.5, ThinkTime: 60 * time.Millisecond},
	"bounded_lag": {TransactionShare: 0.1, ThinkTime: 80 * time.Millisecond},
	"own_writes":  {WriteShare: 0.3, TransactionShare: 0.15, ThinkTime: 80 * time.Millisecond},
}

// Start starts stand-ins and programs, sends the first configuration and waits
// until all proxies are ready. The root is that of the source tree, which has
// the templates of configuration files.
func Start(root string, programs e2e.Programs, directory string, services int) (*Run, error) {
	group := worker.NewGroup()
	r := &Run{
		Recorder: e2e.Recorder{StartedAt: time.Now()}, History: platformstandin.NewHistory(group),
		group: group, loadGroup: worker.NewGroup(), directory: directory, networkOctet: 64 + os.Getpid()%150,
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
		return fmt.Errorf("the first configuration was answered %d", status)
	}
	if !r.awaitAllReady(readyTimeout) {
		return fmt.Errorf("%d of %d nodes ready", r.Platform.ReadyCount(), len(r.Proxies))
	}
	return nil
}

// awaitAllReady waits until all proxies are ready; false after a timeout.
func (r *Run) awaitAllReady(timeout time.Duration) bool {
	return e2e.WaitUntil(timeout, func() bool { return r.Platform.ReadyCount() == len(r.Proxies) })
}

// AddControl starts a further control process with an empty data directory. It
// has the seeds that all had at first.
func (r *Run) AddControl() *e2e.Process {
	process := r.spareControls[0]
	r.spareControls = r.spareControls[1:]
	if err := process.Start(r.directory); err != nil {
		r.Errorf("%v", err)
	}
	r.Controls = append(r.Controls, process)
	return process
}

// StartLoad starts the clients, by turns over routes and zones.
func (r *Run) StartLoad(seed uint64) {
	clients, routes := platformstandin.NewClients(r.loadGroup, r.Platform, r.History), r.Routes()
	for number := range sessionCount {
		mix := mixes[routes[number%len(routes)].Kind]
		mix.Route, mix.Zone = routes[number%len(routes)], zones[number/len(routes)%len(zones)]
		clients.Add(mix, seed, uint64(number))
	}
}

// Stop ends all that the run has started.
func (r *Run) Stop() {
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

// Sleep lets the load run for a while.
func (r *Run) Sleep(duration time.Duration) { worker.Await(r.group.Stopping(), duration) }
