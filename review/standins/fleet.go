package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one program of the project, run as a process of its own with the command
// of the deploy file and a settings file filled in like the deploy template.
type Process struct {
	Name, Zone, IP  string
	program, config string
	logPath         string
	admin           string // HTTP address: admin of a control process, readiness of a proxy
	sessions        string // address for client sessions; proxies only
	command         *exec.Cmd
	exited          chan struct{}
}

// Start starts the process.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.program, "--config", p.config)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Wait waits for the end of the process and reports whether it ended in time.
func (p *Process) Wait(timeout time.Duration) bool {
	if p.exited == nil {
		return true
	}
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Deployment is the size and the settings of a small deployment.
type Deployment struct {
	Zones        []string
	Proxies      int
	FenceChecked bool
	// Relays puts a relay between the control processes and all that call them on their
	// link address.
	Relays       bool
	GraceSeconds int
	DrainMillis  int
	ApplyMillis  int
}

// Fleet is the set of processes of one run.
type Fleet struct {
	Controls, Proxies []*Process
	PlatformAddress   string
	Relays            []*Relay
	root, directory   string
	network           int
	ports             struct{ rpc, link, admin, sessions, platform, instance int }
}

// controlCount control processes are started at first. One more may be added at another
// address.
const (
	controlCount = 3
	spareCount   = 1
)

// IP returns a loopback address of the run. Each process and each instance has its own.
func (f *Fleet) IP(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, group, number+1)
}

// Address groups within the run's network.
const (
	groupPlatform = 0
	groupProxy    = 1
	groupControl  = 2
	groupInstance = 3
)

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// freePort returns a port that is free on all of the addresses. Like all ports of the
// users' platform it is the same on every machine.
func freePort(ips []string, taken map[int]bool) (int, error) {
	for range 200 {
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		_ = first.Close()
		free := !taken[port]
		for _, ip := range ips {
			listener, err := net.Listen("tcp", address(ip, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			taken[port] = true
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// NewFleet writes the settings files of all processes. Nothing is started yet.
func NewFleet(root, directory string, deployment Deployment, instances int) (*Fleet, error) {
	f := &Fleet{root: root, directory: directory, network: 64 + os.Getpid()%150}
	var ips []string
	for group, count := range []int{1, deployment.Proxies, controlCount + spareCount, instances} {
		for number := range count {
			ips = append(ips, f.IP(group, number))
		}
	}
	taken := map[int]bool{}
	for _, port := range []*int{&f.ports.rpc, &f.ports.link, &f.ports.admin, &f.ports.sessions, &f.ports.platform, &f.ports.instance} {
		free, err := freePort(ips, taken)
		if err != nil {
			return nil, err
		}
		*port = free
	}
	f.PlatformAddress = address(f.IP(groupPlatform, 0), f.ports.platform)
	var seeds []string
	for number := range controlCount {
		seeds = append(seeds, address(f.IP(groupControl, number), f.ports.admin))
	}
	for number := range controlCount {
		process, err := f.planControl(number, deployment, seeds, true)
		if err != nil {
			return nil, err
		}
		f.Controls = append(f.Controls, process)
	}
	for number := range deployment.Proxies {
		process, err := f.plan("tansyseam-proxy", "edge", groupProxy, number, deployment)
		if err != nil {
			return nil, err
		}
		process.sessions = address(process.IP, f.ports.sessions)
		settings := map[string]any{
			"name": process.Name, "zone": process.Zone, "link": address(process.IP, f.ports.rpc), "door": process.admin,
			"sessions": process.sessions, "grace_s": deployment.GraceSeconds, "drain_ms": deployment.DrainMillis,
			"manner": "platform", "seeds": seeds, "seed_port": f.ports.rpc,
		}
		if err := writeSettings(process.config, settings); err != nil {
			return nil, err
		}
		f.Proxies = append(f.Proxies, process)
	}
	return f, nil
}

// planControl writes the settings file of a control process.
func (f *Fleet) planControl(number int, deployment Deployment, seeds []string, bootstrap bool) (*Process, error) {
	process, err := f.plan("tansyseam-control", "core", groupControl, number, deployment)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"name": process.Name, "zone": process.Zone, "link": address(process.IP, f.ports.rpc), "door": process.admin,
		"data": filepath.Join(f.directory, process.Name), "losses": 1, "founder": bootstrap, "platform": f.PlatformAddress,
		"in_force_ms": deployment.ApplyMillis, "manner": "platform", "seeds": seeds, "seed_port": f.ports.rpc,
	}
	if deployment.FenceChecked {
		settings["fenced"] = true
	}
	if deployment.Relays {
		settings["link"], settings["advertise_link"] = address(process.IP, f.ports.link), address(process.IP, f.ports.rpc)
		relay, err := NewRelay(address(process.IP, f.ports.rpc), address(process.IP, f.ports.link))
		if err != nil {
			return nil, err
		}
		f.Relays = append(f.Relays, relay)
	}
	return process, writeSettings(process.config, settings)
}

// AddControl starts one more control process at another address, with an empty disk.
func (f *Fleet) AddControl(deployment Deployment, seeds []string) (*Process, error) {
	process, err := f.planControl(len(f.Controls), deployment, seeds, false)
	if err != nil {
		return nil, err
	}
	f.Controls = append(f.Controls, process)
	return process, process.Start()
}

func (f *Fleet) plan(program, class string, group, number int, deployment Deployment) (*Process, error) {
	path := filepath.Join(f.root, "target", program)
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("%w; run the build of deploy/system.toml first", err)
	}
	zone := deployment.Zones[number%len(deployment.Zones)]
	name := fmt.Sprintf("%s-%s-%d", class, zone, number+1)
	ip := f.IP(group, number)
	return &Process{
		Name: name, Zone: zone, IP: ip, program: path, admin: address(ip, f.ports.admin),
		config: filepath.Join(f.directory, name+".json"), logPath: filepath.Join(f.directory, name+".log"),
	}, nil
}

func writeSettings(path string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// ControlAddresses returns the admin addresses of all control processes.
func (f *Fleet) ControlAddresses() []string {
	var addresses []string
	for _, process := range f.Controls {
		addresses = append(addresses, process.admin)
	}
	return addresses
}

// FindControl returns the control process with an admin address, or nil.
func (f *Fleet) FindControl(admin string) *Process {
	for _, process := range f.Controls {
		if process.admin == admin {
			return process
		}
	}
	return nil
}

// Start starts all processes.
func (f *Fleet) Start() error {
	for _, process := range f.all() {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes that the run started.
func (f *Fleet) Stop() {
	for _, process := range f.all() {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGKILL)
	}
	for _, process := range f.all() {
		process.Wait(5 * time.Second)
	}
	for _, relay := range f.Relays {
		relay.Stop()
	}
}

func (f *Fleet) all() []*Process {
	var all []*Process
	all = append(all, f.Controls...)
	return append(all, f.Proxies...)
}
