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

// Trial is one run under way.
type Trial struct {
	Fronts, Disks []*e2e.Process
	spares        []*e2e.Process
	Services      []*platformstandin.Service
	Platform      *platformstandin.Platform
	Operator      *platformstandin.Operator
	History       *platformstandin.History
	Notes, Faults []string

	crew, load *worker.Group
	folder     string
	octet      int
	version    uint64
	doors      []string
	isCalm     bool
}

var zones = []string{"za", "zb", "zc"}

func (t *Trial) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", t.octet, group, number+1)
}

// ports finds some that are free on all addresses of the run.
func (t *Trial) ports(count int, hosts []string) ([]int, error) {
	var found []int
	for try := 0; try < 200 && len(found) < count; try++ {
		listener, err := net.Listen("tcp", hosts[0]+":0")
		if err != nil {
			return nil, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		isFree := !slices.Contains(found, port)
		for _, host := range hosts {
			other, err := net.Listen("tcp", fmt.Sprint(host, ":", port))
			if err != nil {
				isFree = false
				break
			}
			_ = other.Close()
		}
		if isFree {
			found = append(found, port)
		}
	}
	if len(found) < count {
		return nil, fmt.Errorf("no free ports")
	}
	return found, nil
}

// Routes gives the run's routes, one of each kind for each service.
func (t *Trial) Routes() []platformstandin.Route {
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
	fronts, disks, replicas = 3, 3, 2
	// spares are control machines that a run may start beside those at first.
	spares   = 2
	sessions = 24
)

// Start starts stand-ins and programs, takes the first configuration and
// waits until all nodes are ready.
func Start(root string, programs e2e.Programs, folder string, services int) (*Trial, error) {
	crew := worker.NewGroup()
	t := &Trial{crew: crew, load: worker.NewGroup(), folder: folder, octet: 64 + os.Getpid()%150, History: platformstandin.NewHistory(crew)}
	if err := t.plan(root, programs, services); err != nil {
		t.Stop()
		return nil, err
	}
	for _, process := range append(slices.Clone(t.Disks), t.Fronts...) {
		if err := process.Start(folder); err != nil {
			t.Stop()
			return nil, err
		}
	}
	t.version = 1
	if status := t.Operator.Replace(1, t.Routes(), 0); status != http.StatusOK {
		t.Stop()
		return nil, fmt.Errorf("the first configuration was answered %d", status)
	}
	if !e2e.Until(20*time.Second, func() bool { return t.Platform.Ready() == len(t.Fronts) }) {
		t.Stop()
		return nil, fmt.Errorf("%d of %d nodes ready", t.Platform.Ready(), len(t.Fronts))
	}
	return t, nil
}

func (t *Trial) plan(root string, programs e2e.Programs, services int) error {
	var hosts []string
	for group, count := range []int{1, fronts, disks + spares, services * (replicas + 1)} {
		for at := range count {
			hosts = append(hosts, t.ip(group, at))
		}
	}
	ports, err := t.ports(4, hosts)
	if err != nil {
		return err
	}
	link, door, wire, away := ports[0], ports[1], ports[2], ports[3]
	for at := range disks + spares {
		t.doors = append(t.doors, fmt.Sprint(t.ip(2, at), ":", door))
	}
	for at := range services {
		service := platformstandin.NewService(t.crew, t.History, platformstandin.Shape{
			Name: fmt.Sprintf("db%d", at+1), Sync: 1, Lag: 2 * time.Millisecond, Apply: 8 * time.Millisecond, Work: 2 * time.Millisecond,
			Promote: 150 * time.Millisecond, Slots: 8, Conns: 60,
		})
		t.Services = append(t.Services, service)
		for index := range replicas + 1 {
			place := platformstandin.Place{ID: fmt.Sprintf("i-%d%d", at+1, index), Address: fmt.Sprint(t.ip(3, at*(replicas+1)+index), ":", wire), Zone: zones[index%len(zones)]}
			if _, err := service.Add(place, func() []string { return t.doors }); err != nil {
				return err
			}
		}
	}
	t.Platform = platformstandin.NewPlatform(t.crew, t.Services...)
	platformAt := fmt.Sprint(t.ip(0, 0), ":", away)
	if err := t.Platform.Serve(platformAt); err != nil {
		return err
	}
	t.Operator = platformstandin.NewOperator(t.crew, t.History, t.doors, t.Services...)
	seeds := []any{}
	for _, one := range t.doors[:disks] {
		seeds = append(seeds, one)
	}
	for _, part := range []struct {
		program      string
		group, count int
		list         *[]*e2e.Process
	}{{"tansyseam-control", 2, disks + spares, &t.Disks}, {"tansyseam-proxy", 1, fronts, &t.Fronts}} {
		template, err := os.ReadFile(filepath.Join(root, "deploy", part.program+".json.tmpl"))
		if err != nil {
			return err
		}
		for at := range part.count {
			ip, name := t.ip(part.group, at), fmt.Sprintf("%s%d", strings.TrimPrefix(part.program, "tansyseam-"), at+1)
			one := &e2e.Process{
				Name: name, Program: programs.Path(part.program, at), Zone: zones[at%len(zones)], IP: ip, Data: filepath.Join(t.folder, name),
				Link: fmt.Sprint(ip, ":", link), Door: fmt.Sprint(ip, ":", door), File: filepath.Join(t.folder, name+".json"),
			}
			text, err := Fill(string(template), map[string]any{
				"node_name": name, "zone": one.Zone, "ip": ip, "internal_ports": []any{link, link + 1}, "data_path": one.Data, "bootstrap": at < disks,
				"listen":  map[string]any{"admin": one.Door, "readiness": one.Door, "sessions": fmt.Sprint(ip, ":", wire)},
				"survive": map[string]any{"machines": 1}, "bounds": map[string]any{"fence_checked": true}, "cloud_api": map[string]any{"address": platformAt}, "seed_nodes": seeds,
			})
			if err != nil {
				return err
			}
			if err := os.WriteFile(one.File, []byte(text), 0o644); err != nil {
				return err
			}
			one.Args = []string{"--config", one.File}
			*part.list = append(*part.list, one)
			if part.program == "tansyseam-proxy" {
				t.Platform.AddFront(one.Door, fmt.Sprint(ip, ":", wire), one.Zone)
			}
		}
	}
	t.Disks, t.spares = slices.Clip(t.Disks[:disks]), t.Disks[disks:]
	return nil
}

// AddControl starts a control machine with a blank disk, which knows the seeds that
// all were given at first.
func (t *Trial) AddControl() *e2e.Process {
	one := t.spares[0]
	t.spares = t.spares[1:]
	if err := one.Start(t.folder); err != nil {
		t.Miss("%v", err)
	}
	t.Disks = append(t.Disks, one)
	return one
}

// Load starts the clients.
func (t *Trial) Load(seed uint64) {
	mixes := map[string]platformstandin.Mix{
		"primary": {Writes: 0.2, Turns: 0.5, Think: 60 * time.Millisecond}, "bounded_lag": {Turns: 0.1, Think: 80 * time.Millisecond},
		"own_writes": {Writes: 0.3, Turns: 0.15, Think: 80 * time.Millisecond},
	}
	clients, routes := platformstandin.NewClients(t.load, t.Platform, t.History), t.Routes()
	for number := range sessions {
		mix := mixes[routes[number%len(routes)].Kind]
		mix.Route, mix.Zone = routes[number%len(routes)], zones[number/len(routes)%len(zones)]
		clients.Add(mix, seed, uint64(number))
	}
}

// Stop ends all that was started.
func (t *Trial) Stop() {
	t.load.Stop(20 * time.Second)
	for _, process := range append(slices.Clone(t.Fronts), t.Disks...) {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGKILL)
		process.Ended(5 * time.Second)
	}
	for _, service := range t.Services {
		for _, one := range service.Instances() {
			one.Crash()
		}
	}
	t.crew.Stop(10 * time.Second)
}

// Note writes down a figure of the run.
func (t *Trial) Note(format string, parts ...any) {
	t.Notes = append(t.Notes, fmt.Sprintf("%6.2f s  ", (t.crew.Now()-time.Hour).Seconds())+fmt.Sprintf(format, parts...))
}

// Miss notes something that should have been so.
func (t *Trial) Miss(format string, parts ...any) {
	t.Faults = append(t.Faults, fmt.Sprintf(format, parts...))
}

// Hold lets load run for a while.
func (t *Trial) Hold(span time.Duration) { worker.Await(t.crew.Stopping(), span) }

// Served counts statements answered with success, of an act, sent since.
func (t *Trial) Served(act string, since time.Duration) int {
	count := 0
	for _, one := range t.History.Copy().Queries {
		if one.Act == act && one.Code == "" && !one.Cut && one.Sent >= since {
			count++
		}
	}
	return count
}

// Await waits, for a bound, until each kind of work is served again.
func (t *Trial) Await(what string, bound time.Duration) {
	since := t.crew.Now()
	isServed := e2e.Until(bound, func() bool {
		return t.Served(linehistory.ActCommit, since) >= 10 && t.Served(linehistory.ActWrite, since) >= 10 && t.Served(linehistory.ActRead, since) >= 30
	})
	if !isServed {
		t.Miss("%s: reads %d, writes %d, commits %d served within %v", what, t.Served(linehistory.ActRead, since), t.Served(linehistory.ActWrite, since), t.Served(linehistory.ActCommit, since), bound)
		return
	}
	t.Note("%s: served after %d ms", what, (t.crew.Now() - since).Milliseconds())
}

// Change sends a further version and waits until it is taken.
func (t *Trial) Change(routes []platformstandin.Route, first int) {
	t.version += 3
	if status := t.Operator.Replace(t.version, routes, first); status != http.StatusOK {
		t.Miss("version %d was answered %d", t.version, status)
	}
}

// Control names the process that is control primary.
func (t *Trial) Control() *e2e.Process {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, disk := range t.Disks {
		response, err := client.Post("http://"+disk.Door+"/v1/fleet", "application/json", strings.NewReader("{}"))
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var view struct {
			Primacy bool `json:"primacy"`
		}
		if json.Unmarshal(data, &view) == nil && view.Primacy {
			return disk
		}
	}
	return nil
}

// Result is what a run showed.
type Result struct {
	Scenario     string
	Notes        []string
	Faults       map[string][]string
	Asked, Ran   int
	Good, Cut    int
	Codes        map[string]int
	P50, P99     time.Duration
	Calls        []platformstandin.Call
	LeaveAnswers []int
}

// Play runs one scenario and checks its history.
func Play(scenario Scenario, root string, programs e2e.Programs, folder string, seed uint64) (Result, error) {
	result := Result{Scenario: scenario.Name, Codes: map[string]int{}}
	if err := os.RemoveAll(folder); err != nil {
		return result, err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return result, err
	}
	t, err := Start(root, programs, folder, 2)
	if err != nil {
		return result, err
	}
	defer t.Stop()
	t.Load(seed)
	t.Await("at the start", 20*time.Second)
	began := t.crew.Now()
	scenario.Act(t)
	t.Await("at the end", 20*time.Second)
	t.load.Stop(20 * time.Second)
	if status := t.Operator.Fetch(); status != http.StatusOK {
		t.Miss("the configuration was read back with %d", status)
	}
	history := t.History.Copy()
	history.End = t.crew.Now()
	history.Logs = map[string][]linehistory.LogEntry{}
	for _, service := range t.Services {
		history.Logs[service.Name] = service.Log()
	}
	history.Bounds = linehistory.Bounds{Apply: 3 * time.Second, Drain: 7 * time.Second, Recover: 12 * time.Second, Slack: time.Second}
	if scenario.IsCalm {
		history.QuietSpans = []linehistory.Span{{From: began, Until: history.End}}
	}
	result.Faults = linehistory.Violations(history)
	for _, process := range append(slices.Clone(t.Fronts), t.Disks...) {
		log, err := os.ReadFile(filepath.Join(folder, process.Name+".log"))
		if err == nil && e2e.HasRace(string(log)) {
			t.Miss("%s: data race, see its log", process.Name)
		}
		for _, word := range []string{"panic:", "fatal error:"} {
			if err == nil && strings.Contains(string(log), word) {
				t.Miss("%s: %s, see its log", process.Name, word)
			}
		}
	}
	if len(t.Faults) > 0 {
		result.Faults["scenario"] = t.Faults
	}
	result.Notes, result.Calls = t.Notes, t.Platform.Calls()
	result.measure(history)
	return result, nil
}

func (r *Result) measure(history linehistory.History) {
	r.Asked, r.Ran = len(history.Queries), len(history.Executions)
	var took []time.Duration
	for _, one := range history.Queries {
		if one.Cut {
			r.Cut++
			continue
		}
		if one.Code != "" {
			r.Codes[one.Code]++
			continue
		}
		r.Good++
		if one.Act != "" {
			took = append(took, one.Answered-one.Sent)
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		r.P50, r.P99 = took[len(took)/2], took[len(took)*99/100]
	}
}

// Print writes a result.
func (r Result) Print(to io.Writer) {
	verdict := "good"
	if len(r.Faults) > 0 {
		verdict = "BROKEN"
	}
	_, _ = fmt.Fprintf(to, "%s: %s; asked %d, answered well %d, cut %d, run %d, codes %v, p50 %.1f ms, p99 %.1f ms, promote calls %d\n",
		r.Scenario, verdict, r.Asked, r.Good, r.Cut, r.Ran, r.Codes, float64(r.P50.Microseconds())/1000, float64(r.P99.Microseconds())/1000, len(r.Calls))
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(to, " ", note)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Faults)) {
		list := r.Faults[name]
		_, _ = fmt.Fprintf(to, "  %s: %d\n", name, len(list))
		for _, fault := range list[:min(len(list), 5)] {
			_, _ = fmt.Fprintln(to, "   ", fault)
		}
	}
}
