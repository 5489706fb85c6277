// Package lab runs a small deployment for the cases of the second review: three
// control processes and three proxies, started with the commands of the deploy file on
// loopback addresses, with the project's own stand-ins for instances, platform,
// operator and clients. Instances send their heartbeats from this package, because a
// case decides when they are sent.
package lab

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/platforme2e"
	"tansyseam/test/platformstandin"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Bounds and settings of the small deployments, in milliseconds or seconds as their names
// say.
const (
	DrainMS  = 7000
	GraceS   = 6
	ApplyMS  = 3000
	RecoverS = 12
	BeatMS   = 1200
)

const (
	platformGroup = iota
	proxyGroup
	controlGroup
	instanceGroup
)

const (
	processCount   = 3
	instancesEach  = 3
	startupTimeout = 25 * time.Second
)

var zones = []string{"atl", "bham", "chs"}

// Process is one program of the project.
type Process struct {
	Name, IP, Zone, HTTP, Sessions, Data string
	command                              []string
	log                                  string
	mutex                                sync.Mutex
	running                              *exec.Cmd
	exited                               chan struct{}
}

// Lab is a deployment.
type Lab struct {
	Group     *worker.Group
	LoadGroup *worker.Group
	Controls  []*Process
	Proxies   []*Process
	Services  []*platformstandin.Service
	Instances []*Instance
	Platform  *platformstandin.Platform
	Operator  *platformstandin.Operator
	History   *platformstandin.History
	// Trouble is false for the run without the disruption.
	Trouble bool

	folder, network string
	record          *os.File
	recordMutex     sync.Mutex
	rpcPort         int
	httpPort        int
	sessionPort     int
	platformPort    int
}

// New creates a deployment, which Start starts. Its record is written to a file.
func New(record string, services int, fenced bool) (*Lab, error) {
	return NewWithPlatform(record, services, fenced, nil)
}

// NewWithPlatform is like New. If serve is not nil, it serves the platform's calls at an
// address, in place of the project's stand-in.
func NewWithPlatform(record string, services int, fenced bool, serve func(l *Lab, address string) error) (*Lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	group := worker.NewGroup()
	l := &Lab{
		Group: group, LoadGroup: worker.NewGroup(), History: platformstandin.NewHistory(group),
		Trouble: os.Getenv("TROUBLE") != "0", folder: folder, record: file,
	}
	l.network = fmt.Sprint(64 + os.Getpid()%150)
	l.stopOnSignal()
	return l, l.plan(services, fenced, serve)
}

// Logf writes a line to the record.
func (l *Lab) Logf(format string, arguments ...any) {
	l.recordMutex.Lock()
	defer l.recordMutex.Unlock()
	line := fmt.Sprintf("%9.3f s  %s\n", l.Group.Now().Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = l.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// recordStatements writes all statements of clients and all runs at instances to the
// record.
func (l *Lab) recordStatements() {
	history := l.History.Copy()
	l.recordMutex.Lock()
	defer l.recordMutex.Unlock()
	writer := bufio.NewWriter(l.record)
	defer func() { _ = writer.Flush() }()
	_, _ = fmt.Fprintln(writer, "\nclients: sent, answered, session, id, statement, code")
	for _, query := range history.Queries {
		_, _ = fmt.Fprintf(writer, "%.3f %.3f %s %s %s%s %s\n", query.Sent.Seconds(), query.Answered.Seconds(), query.Session, query.ID, query.Act, query.Text, query.Code)
	}
	_, _ = fmt.Fprintln(writer, "\ninstances: at, instance, id, statement, commit")
	for _, execution := range history.Executions {
		_, _ = fmt.Fprintf(writer, "%.3f %s %s %s %d.%d\n", execution.At.Seconds(), execution.Instance, execution.ID, execution.Act, execution.CommittedAt.Term, execution.CommittedAt.Index)
	}
}

func (l *Lab) ip(group, number int) string {
	return fmt.Sprintf("127.%s.%d.%d", l.network, group, number+1)
}

func (l *Lab) address(group, number, port int) string {
	return fmt.Sprint(l.ip(group, number), ":", port)
}

// freePort returns a port that is free on all addresses of the deployment.
func (l *Lab) freePort(ips []string) (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for _, ip := range ips[1:] {
			listener, err := net.Listen("tcp", fmt.Sprint(ip, ":", port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		_ = first.Close()
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func (l *Lab) plan(services int, fenced bool, serve func(l *Lab, address string) error) error {
	ips := []string{l.ip(platformGroup, 0)}
	for number := range processCount {
		ips = append(ips, l.ip(proxyGroup, number), l.ip(controlGroup, number))
	}
	for number := range services * instancesEach {
		ips = append(ips, l.ip(instanceGroup, number))
	}
	for _, port := range []*int{&l.rpcPort, &l.httpPort, &l.sessionPort, &l.platformPort} {
		free, err := l.freePort(ips)
		if err != nil {
			return err
		}
		*port = free
	}
	for number := range services {
		if err := l.addService(number); err != nil {
			return err
		}
	}
	l.Platform = platformstandin.NewPlatform(l.Group, l.Services...)
	standInAddress := l.address(platformGroup, 0, l.platformPort)
	if serve != nil {
		if err := serve(l, standInAddress); err != nil {
			return err
		}
		// The stand-in only probes the proxies then. Nobody knows its address.
		standInAddress = l.address(platformGroup, 0, l.httpPort)
	}
	if err := l.Platform.Serve(standInAddress); err != nil {
		return err
	}
	l.Operator = platformstandin.NewOperator(l.Group, l.History, l.ControlAddresses(), l.Services...)
	var err error
	if l.Controls, err = l.planProgram("control", controlGroup, "deploy/tansyseam-control.json.tmpl", fenced); err != nil {
		return err
	}
	if l.Proxies, err = l.planProgram("data", proxyGroup, "deploy/tansyseam-proxy.json.tmpl", fenced); err != nil {
		return err
	}
	for _, proxy := range l.Proxies {
		l.Platform.AddNode(proxy.HTTP, proxy.Sessions, proxy.Zone)
	}
	return nil
}

// ControlAddresses returns the addresses at which the control processes are called.
func (l *Lab) ControlAddresses() []string {
	var addresses []string
	for number := range processCount {
		addresses = append(addresses, l.address(controlGroup, number, l.httpPort))
	}
	return addresses
}

// runCommand returns the run line of a role of the deploy file, with the settings file
// at another path.
func runCommand(role, settings string) ([]string, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	_, section, found := strings.Cut(string(deploy), "[roles."+role+"]")
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(section)
	if !found || match == nil {
		return nil, fmt.Errorf("no role %s", role)
	}
	return strings.Fields(strings.ReplaceAll(match[1], "/etc/tansyseam/boot.toml", settings)), nil
}

func (l *Lab) planProgram(role string, group int, templatePath string, fenced bool) ([]*Process, error) {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	var list []*Process
	for number := range processCount {
		name := fmt.Sprintf("%s-%s-1", map[string]string{"control": "core", "data": "edge"}[role], zones[number])
		p := &Process{
			Name: name, IP: l.ip(group, number), Zone: zones[number], HTTP: l.address(group, number, l.httpPort),
			Sessions: l.address(group, number, l.sessionPort), Data: filepath.Join(l.folder, name), log: filepath.Join(l.folder, name+".log"),
		}
		settings := filepath.Join(l.folder, name+".json")
		if p.command, err = runCommand(role, settings); err != nil {
			return nil, err
		}
		p.command[0], _ = filepath.Abs(p.command[0])
		if err := l.writeSettings(p, string(template), settings, fenced, true); err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

func (l *Lab) writeSettings(p *Process, template, path string, fenced, bootstrap bool) error {
	var seeds []any
	for _, address := range l.ControlAddresses() {
		seeds = append(seeds, address)
	}
	text, err := platforme2e.FillTemplate(template, map[string]any{
		"node_name": p.Name, "zone": p.Zone, "ip": p.IP, "internal_ports": []any{l.rpcPort, l.rpcPort},
		"data_path": p.Data, "bootstrap": bootstrap,
		"listen":    map[string]any{"admin": p.HTTP, "readiness": p.HTTP, "sessions": p.Sessions},
		"survive":   map[string]any{"machines": 1},
		"bounds":    map[string]any{"fence_checked": fenced, "apply_ms": ApplyMS, "grace_s": GraceS, "drain_ms": DrainMS},
		"cloud_api": map[string]any{"address": l.address(platformGroup, 0, l.platformPort)}, "seed_nodes": seeds,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text), 0o644)
}

// LoseDisk removes the disk of a control process that is not running. Its next start is
// one with an empty disk and bootstrap false.
func (l *Lab) LoseDisk(p *Process, fenced bool) error {
	if err := os.RemoveAll(p.Data); err != nil {
		return err
	}
	return l.Restarted(p, fenced)
}

// Restarted changes the settings of a control process to those of a later start, in which
// bootstrap is false.
func (l *Lab) Restarted(p *Process, fenced bool) error {
	template, err := os.ReadFile("deploy/tansyseam-control.json.tmpl")
	if err != nil {
		return err
	}
	return l.writeSettings(p, string(template), filepath.Join(l.folder, p.Name+".json"), fenced, false)
}

// Start starts the process.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := os.MkdirAll(p.Data, 0o755); err != nil {
		return err
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.running = exec.Command(p.command[0], p.command[1:]...)
	p.running.Stdout, p.running.Stderr = log, log
	if err := p.running.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited, command := make(chan struct{}), p.running
	p.exited = exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process, if it was started.
func (p *Process) Signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running != nil {
		_ = p.running.Process.Signal(signal)
	}
}

// AwaitExit waits for the end of the process.
func (p *Process) AwaitExit(timeout time.Duration) bool {
	p.mutex.Lock()
	exited := p.exited
	p.mutex.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill ends the process without notice.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.AwaitExit(5 * time.Second)
}

// Start starts all processes and the heartbeats, sends the first configuration and waits
// until all proxies are ready.
func (l *Lab) Start() error {
	if err := l.StartProcesses(); err != nil {
		return err
	}
	return l.AwaitReady(startupTimeout)
}

// StartProcesses starts all processes and the heartbeats.
func (l *Lab) StartProcesses() error {
	for _, p := range l.processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	l.startHeartbeats()
	return nil
}

// AwaitReady sends the first configuration until it is acknowledged, and waits until all
// proxies are ready.
func (l *Lab) AwaitReady(timeout time.Duration) error {
	deadline, status := time.Now().Add(timeout), 0
	for status != 200 {
		if time.Now().After(deadline) {
			return fmt.Errorf("first configuration was answered with %d", status)
		}
		status = l.Operator.Replace(1, l.Routes(0), 0)
	}
	for l.Platform.ReadyCount() < len(l.Proxies) {
		if time.Now().After(deadline) {
			return fmt.Errorf("proxies are not ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.Logf("started: %d control processes, %d proxies ready, version 1 acknowledged", len(l.Controls), len(l.Proxies))
	return nil
}

func (l *Lab) processes() []*Process {
	return append(append([]*Process{}, l.Controls...), l.Proxies...)
}

// stopOnSignal ends everything that was started if this program is told to end.
func (l *Lab) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.killAll()
		os.Exit(ExitNotRun)
	}()
}

func (l *Lab) killAll() {
	for _, p := range l.processes() {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}

// Stop writes what was sent, answered and run to the record, ends everything that was
// started and removes the temporary folder.
func (l *Lab) Stop() {
	l.recordStatements()
	l.LoadGroup.Stop(10 * time.Second)
	l.killAll()
	for _, instance := range l.Instances {
		instance.Crash()
	}
	l.Group.Stop(10 * time.Second)
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	} else {
		fmt.Println("kept", l.folder)
	}
}

// Routes returns one route of each kind for each service, and more idle ones.
func (l *Lab) Routes(extra int) []platformstandin.Route {
	var routes []platformstandin.Route
	for _, service := range l.Services {
		routes = append(routes,
			platformstandin.Route{Host: "reserve-" + service.Name, Kind: "primary", Service: service.Name, Timeout: time.Second, Target: 200 * time.Millisecond, Priority: 1},
			platformstandin.Route{Host: "floorview-" + service.Name, Kind: "bounded_lag", Service: service.Name, Staleness: 1500 * time.Millisecond, Timeout: 3 * time.Second, Target: 800 * time.Millisecond, Priority: 2},
			platformstandin.Route{Host: "checkin-" + service.Name, Kind: "own_writes", Service: service.Name, Staleness: 2500 * time.Millisecond, Timeout: time.Second, Target: 200 * time.Millisecond, Priority: 2})
	}
	for number := range extra {
		routes = append(routes, platformstandin.Route{Host: fmt.Sprint("idle-", number), Kind: "primary", Service: l.Services[0].Name, Timeout: time.Second, Target: 200 * time.Millisecond, Priority: 1})
	}
	return routes
}

// StartLoad starts clients of all routes in all zones.
func (l *Lab) StartLoad(sessions int) {
	clients, routes := platformstandin.NewClients(l.LoadGroup, l.Platform, l.History), l.Routes(0)
	for number := range sessions {
		mix := platformstandin.Mix{Route: routes[number%len(routes)], Zone: zones[number/len(routes)%len(zones)], ThinkTime: 40 * time.Millisecond}
		switch mix.Kind {
		case "primary":
			mix.WriteShare, mix.TransactionShare = 0.2, 0.4
		case "bounded_lag":
			mix.TransactionShare = 0.1
		default:
			mix.WriteShare, mix.TransactionShare = 0.2, 0.15
		}
		clients.Add(mix, 1, uint64(number))
	}
}
