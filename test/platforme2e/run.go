package platforme2e

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/e2e"
	"tansyseam/test/platformstandin"
)

// Run is one run under way.
type Run struct {
	Proxies, Controls []*e2e.Process
	spareControls     []*e2e.Process
	Services          []*platformstandin.Service
	Platform          *platformstandin.Platform
	Operator          *platformstandin.Operator
	History           *platformstandin.History
	Notes, Failures   []string

	group, loadGroup *worker.Group
	directory        string
	networkOctet     int
	version          uint64
	controlAddresses []string
}

var zones = []string{"za", "zb", "zc"}

func (t *Run) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", t.networkOctet, group, number+1)
}

// freePorts finds some that are free on all addresses of the run.
func (t *Run) freePorts(count int, hosts []string) ([]int, error) {
	var found []int
	for attempt := 0; attempt < 200 && len(found) < count; attempt++ {
		listener, err := net.Listen("tcp", hosts[0]+":0")
		if err != nil {
			return nil, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		free := !slices.Contains(found, port)
		for _, host := range hosts {
			other, err := net.Listen("tcp", fmt.Sprint(host, ":", port))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	if len(found) < count {
		return nil, fmt.Errorf("no free ports")
	}
	return found, nil
}

// Routes gives the run's routes, one of each kind for each service.
func (t *Run) Routes() []platformstandin.Route {
	var list []platformstandin.Route
	for _, service := range t.Services {
		list = append(list,
			platformstandin.Route{Host: "order-" + service.Name, Kind: "primary", Service: service.Name, Timeout: time.Second, Target: 200 * time.Millisecond, Priority: 1},
			platformstandin.Route{Host: "owner-" + service.Name, Kind: "bounded_lag", Service: service.Name, Staleness: 1500 * time.Millisecond, Timeout: 2 * time.Second, Target: 600 * time.Millisecond, Priority: 2},
			platformstandin.Route{Host: "status-" + service.Name, Kind: "own_writes", Service: service.Name, Staleness: 2500 * time.Millisecond, Timeout: time.Second, Target: 200 * time.Millisecond, Priority: 2})
	}
	return list
}

const (
	proxyCount, controlCount, replicaCount = 3, 3, 2
	// spareControlCount are control machines that a run may start beside those at first.
	spareControlCount = 2
	sessionCount      = 24
)

// Start starts stand-ins and programs, takes the first configuration and
// waits until all nodes are ready.
func Start(root string, programs e2e.Programs, directory string, services int) (*Run, error) {
	group := worker.NewGroup()
	t := &Run{group: group, loadGroup: worker.NewGroup(), directory: directory, networkOctet: 64 + os.Getpid()%150, History: platformstandin.NewHistory(group)}
	if err := t.planProcesses(root, programs, services); err != nil {
		t.Stop()
		return nil, err
	}
	for _, process := range append(slices.Clone(t.Controls), t.Proxies...) {
		if err := process.Start(directory); err != nil {
			t.Stop()
			return nil, err
		}
	}
	t.version = 1
	if status := t.Operator.Replace(1, t.Routes(), 0); status != http.StatusOK {
		t.Stop()
		return nil, fmt.Errorf("the first configuration was answered %d", status)
	}
	if !e2e.WaitUntil(20*time.Second, func() bool { return t.Platform.ReadyCount() == len(t.Proxies) }) {
		t.Stop()
		return nil, fmt.Errorf("%d of %d nodes ready", t.Platform.ReadyCount(), len(t.Proxies))
	}
	return t, nil
}

// AddControl starts a control machine with a blank disk, which knows the seeds that
// all were given at first.
func (t *Run) AddControl() *e2e.Process {
	process := t.spareControls[0]
	t.spareControls = t.spareControls[1:]
	if err := process.Start(t.directory); err != nil {
		t.Errorf("%v", err)
	}
	t.Controls = append(t.Controls, process)
	return process
}

// StartLoad starts the clients.
func (t *Run) StartLoad(seed uint64) {
	mixes := map[string]platformstandin.Mix{
		"primary": {WriteShare: 0.2, TransactionShare: 0.5, ThinkTime: 60 * time.Millisecond}, "bounded_lag": {TransactionShare: 0.1, ThinkTime: 80 * time.Millisecond},
		"own_writes": {WriteShare: 0.3, TransactionShare: 0.15, ThinkTime: 80 * time.Millisecond},
	}
	clients, routes := platformstandin.NewClients(t.loadGroup, t.Platform, t.History), t.Routes()
	for number := range sessionCount {
		mix := mixes[routes[number%len(routes)].Kind]
		mix.Route, mix.Zone = routes[number%len(routes)], zones[number/len(routes)%len(zones)]
		clients.Add(mix, seed, uint64(number))
	}
}

// Stop ends all that was started.
func (t *Run) Stop() {
	t.loadGroup.Stop(20 * time.Second)
	for _, process := range append(slices.Clone(t.Proxies), t.Controls...) {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGKILL)
		process.AwaitExit(5 * time.Second)
	}
	for _, service := range t.Services {
		for _, process := range service.Instances() {
			process.Crash()
		}
	}
	t.group.Stop(10 * time.Second)
}

// Logf writes down a figure of the run.
func (t *Run) Logf(format string, parts ...any) {
	t.Notes = append(t.Notes, fmt.Sprintf("%6.2f s  ", (t.group.Now()-time.Hour).Seconds())+fmt.Sprintf(format, parts...))
}

// Errorf notes something that should have been so.
func (t *Run) Errorf(format string, parts ...any) {
	t.Failures = append(t.Failures, fmt.Sprintf(format, parts...))
}

// Sleep lets load run for a while.
func (t *Run) Sleep(span time.Duration) { worker.Await(t.group.Stopping(), span) }
