package platforme2e

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/e2e"
	"tansyseam/test/linehistory"
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
	isCalm           bool
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

func (t *Run) planProcesses(root string, programs e2e.Programs, services int) error {
	var hosts []string
	for group, count := range []int{1, proxyCount, controlCount + spareControlCount, services * (replicaCount + 1)} {
		for index := range count {
			hosts = append(hosts, t.ip(group, index))
		}
	}
	ports, err := t.freePorts(4, hosts)
	if err != nil {
		return err
	}
	rpcPort, httpPort, sessionPort, platformPort := ports[0], ports[1], ports[2], ports[3]
	for index := range controlCount + spareControlCount {
		t.controlAddresses = append(t.controlAddresses, fmt.Sprint(t.ip(2, index), ":", httpPort))
	}
	for index := range services {
		service := platformstandin.NewService(t.group, t.History, platformstandin.ServiceConfig{
			Name: fmt.Sprintf("db%d", index+1), SyncReplicas: 1, ReplicationDelay: 2 * time.Millisecond, ApplyDelay: 8 * time.Millisecond, StatementTime: 2 * time.Millisecond,
			PromoteDelay: 150 * time.Millisecond, Slots: 8, MaxConnections: 60,
		})
		t.Services = append(t.Services, service)
		for member := range replicaCount + 1 {
			place := platformstandin.Location{ID: fmt.Sprintf("i-%d%d", index+1, member), Address: fmt.Sprint(t.ip(3, index*(replicaCount+1)+member), ":", sessionPort), Zone: zones[member%len(zones)]}
			if _, err := service.Add(place, func() []string { return t.controlAddresses }); err != nil {
				return err
			}
		}
	}
	t.Platform = platformstandin.NewPlatform(t.group, t.Services...)
	platformAt := fmt.Sprint(t.ip(0, 0), ":", platformPort)
	if err := t.Platform.Serve(platformAt); err != nil {
		return err
	}
	t.Operator = platformstandin.NewOperator(t.group, t.History, t.controlAddresses, t.Services...)
	seeds := []any{}
	for _, process := range t.controlAddresses[:controlCount] {
		seeds = append(seeds, process)
	}
	for _, part := range []struct {
		program      string
		group, count int
		list         *[]*e2e.Process
	}{{"tansyseam-control", 2, controlCount + spareControlCount, &t.Controls}, {"tansyseam-proxy", 1, proxyCount, &t.Proxies}} {
		template, err := os.ReadFile(filepath.Join(root, "deploy", part.program+".json.tmpl"))
		if err != nil {
			return err
		}
		for index := range part.count {
			ip, name := t.ip(part.group, index), fmt.Sprintf("%s%d", strings.TrimPrefix(part.program, "tansyseam-"), index+1)
			process := &e2e.Process{
				Name: name, Program: programs.Path(part.program, index), Zone: zones[index%len(zones)], IP: ip, DataDirectory: filepath.Join(t.directory, name),
				RPCAddress: fmt.Sprint(ip, ":", rpcPort), HTTPAddress: fmt.Sprint(ip, ":", httpPort), ConfigFile: filepath.Join(t.directory, name+".json"),
			}
			text, err := FillTemplate(string(template), map[string]any{
				"node_name": name, "zone": process.Zone, "ip": ip, "internal_ports": []any{rpcPort, rpcPort + 1}, "data_path": process.DataDirectory, "bootstrap": index < controlCount,
				"listen":  map[string]any{"admin": process.HTTPAddress, "readiness": process.HTTPAddress, "sessions": fmt.Sprint(ip, ":", sessionPort)},
				"survive": map[string]any{"machines": 1}, "bounds": map[string]any{"fence_checked": true}, "cloud_api": map[string]any{"address": platformAt}, "seed_nodes": seeds,
			})
			if err != nil {
				return err
			}
			if err := os.WriteFile(process.ConfigFile, []byte(text), 0o644); err != nil {
				return err
			}
			process.Args = []string{"--config", process.ConfigFile}
			*part.list = append(*part.list, process)
			if part.program == "tansyseam-proxy" {
				t.Platform.AddNode(process.HTTPAddress, fmt.Sprint(ip, ":", sessionPort), process.Zone)
			}
		}
	}
	t.Controls, t.spareControls = slices.Clip(t.Controls[:controlCount]), t.Controls[controlCount:]
	return nil
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

// CountServed counts statements answered with success, of an act, sent since.
func (t *Run) CountServed(act string, since time.Duration) int {
	count := 0
	for _, process := range t.History.Copy().Queries {
		if process.Act == act && process.Code == "" && !process.Cut && process.Sent >= since {
			count++
		}
	}
	return count
}

// AwaitService waits, for a bound, until each kind of work is served again.
func (t *Run) AwaitService(what string, timeout time.Duration) {
	since := t.group.Now()
	served := e2e.WaitUntil(timeout, func() bool {
		return t.CountServed(linehistory.ActCommit, since) >= 10 && t.CountServed(linehistory.ActWrite, since) >= 10 && t.CountServed(linehistory.ActRead, since) >= 30
	})
	if !served {
		t.Errorf("%s: reads %d, writes %d, commits %d served within %v", what, t.CountServed(linehistory.ActRead, since), t.CountServed(linehistory.ActWrite, since), t.CountServed(linehistory.ActCommit, since), timeout)
		return
	}
	t.Logf("%s: served after %d ms", what, (t.group.Now() - since).Milliseconds())
}

// ReplaceConfiguration sends a further version and waits until it is taken.
func (t *Run) ReplaceConfiguration(routes []platformstandin.Route, first int) {
	t.version += 3
	if status := t.Operator.Replace(t.version, routes, first); status != http.StatusOK {
		t.Errorf("version %d was answered %d", t.version, status)
	}
}

// ControlPrimary names the process that is control primary.
func (t *Run) ControlPrimary() *e2e.Process {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, control := range t.Controls {
		response, err := client.Post("http://"+control.HTTPAddress+"/v1/fleet", "application/json", strings.NewReader("{}"))
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var view struct {
			Primacy bool `json:"primacy"`
		}
		if json.Unmarshal(data, &view) == nil && view.Primacy {
			return control
		}
	}
	return nil
}

// Result is what a run showed.
type Result struct {
	Scenario                   string
	Notes                      []string
	Violations                 map[string][]string
	QueryCount, ExecutionCount int
	SucceededCount, CutCount   int
	Codes                      map[string]int
	P50, P99                   time.Duration
	PromoteCalls               []platformstandin.PromoteCall
	LeaveAnswers               []int
}

// RunScenario runs one scenario and checks its history.
func RunScenario(scenario Scenario, root string, programs e2e.Programs, directory string, seed uint64) (Result, error) {
	result := Result{Scenario: scenario.Name, Codes: map[string]int{}}
	if err := os.RemoveAll(directory); err != nil {
		return result, err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return result, err
	}
	t, err := Start(root, programs, directory, 2)
	if err != nil {
		return result, err
	}
	defer t.Stop()
	t.StartLoad(seed)
	t.AwaitService("at the start", 20*time.Second)
	began := t.group.Now()
	scenario.Run(t)
	t.AwaitService("at the end", 20*time.Second)
	t.loadGroup.Stop(20 * time.Second)
	if status := t.Operator.Fetch(); status != http.StatusOK {
		t.Errorf("the configuration was read back with %d", status)
	}
	history := t.History.Copy()
	history.End = t.group.Now()
	history.Logs = map[string][]linehistory.LogEntry{}
	for _, service := range t.Services {
		history.Logs[service.Name] = service.Log()
	}
	history.Bounds = linehistory.Bounds{Apply: 3 * time.Second, Drain: 7 * time.Second, Recover: 12 * time.Second, Slack: time.Second}
	if scenario.Quiet {
		history.QuietSpans = []linehistory.Span{{From: began, Until: history.End}}
	}
	result.Violations = linehistory.Violations(history)
	for _, process := range append(slices.Clone(t.Proxies), t.Controls...) {
		log, err := os.ReadFile(filepath.Join(directory, process.Name+".log"))
		if err == nil && e2e.HasProductRace(string(log)) {
			t.Errorf("%s: data race, see its log", process.Name)
		}
		for _, word := range []string{"panic:", "fatal error:"} {
			if err == nil && strings.Contains(string(log), word) {
				t.Errorf("%s: %s, see its log", process.Name, word)
			}
		}
	}
	if len(t.Failures) > 0 {
		result.Violations["scenario"] = t.Failures
	}
	result.Notes, result.PromoteCalls = t.Notes, t.Platform.PromoteCalls()
	result.measure(history)
	return result, nil
}

func (r *Result) measure(history linehistory.History) {
	r.QueryCount, r.ExecutionCount = len(history.Queries), len(history.Executions)
	var latencies []time.Duration
	for _, process := range history.Queries {
		if process.Cut {
			r.CutCount++
			continue
		}
		if process.Code != "" {
			r.Codes[process.Code]++
			continue
		}
		r.SucceededCount++
		if process.Act != "" {
			latencies = append(latencies, process.Answered-process.Sent)
		}
	}
	slices.Sort(latencies)
	if len(latencies) > 0 {
		r.P50, r.P99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
}

// Print writes a result.
func (r Result) Print(to io.Writer) {
	verdict := "good"
	if len(r.Violations) > 0 {
		verdict = "BROKEN"
	}
	_, _ = fmt.Fprintf(to, "%s: %s; asked %d, answered well %d, cut %d, run %d, codes %v, p50 %.1f ms, p99 %.1f ms, promote calls %d\n",
		r.Scenario, verdict, r.QueryCount, r.SucceededCount, r.CutCount, r.ExecutionCount, r.Codes, float64(r.P50.Microseconds())/1000, float64(r.P99.Microseconds())/1000, len(r.PromoteCalls))
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(to, " ", note)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Violations)) {
		list := r.Violations[name]
		_, _ = fmt.Fprintf(to, "  %s: %d\n", name, len(list))
		for _, fault := range list[:min(len(list), 5)] {
			_, _ = fmt.Fprintln(to, "   ", fault)
		}
	}
}
