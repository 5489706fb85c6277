// Package e2e starts a whole fleet as real processes on loopback, and ends
// by id only what it started.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tansyseam/test/standin"
)

// Shape is a deployment's counts.
type Shape struct {
	Name                 string
	Proxies              int
	Controls             int
	Databases            []string
	InstancesPerDatabase int
	Connections          int
	Slots                int
	ServiceTimeUS        int
	Zones                []string
	Mix                  standin.Mix
}

// Magnolia gives the desk-booking deployment.
func Magnolia() Shape {
	mix := standin.Magnolia()
	return Shape{
		Name: "magnolia", Proxies: 8, Controls: 3, Databases: mix.Databases, InstancesPerDatabase: 3, Connections: 110, Slots: 10,
		ServiceTimeUS: 6000, Zones: mix.Zones, Mix: mix,
	}
}

// Chile gives the portability deployment.
func Chile() Shape {
	mix := standin.Chile()
	return Shape{
		Name: "chile", Proxies: 6, Controls: 5, Databases: mix.Databases, InstancesPerDatabase: 3, Connections: 80, Slots: 7,
		ServiceTimeUS: 5000, Zones: mix.Zones, Mix: mix,
	}
}

// Small gives a fleet for short runs: fewer of everything.
func Small() Shape {
	shape := Magnolia()
	shape.Name, shape.Proxies, shape.Databases = "small", 3, shape.Databases[:1]
	shape.Mix.Databases = shape.Databases
	return shape
}

// Shapes gives the shapes by name.
func Shapes() map[string]Shape {
	return map[string]Shape{"magnolia": Magnolia(), "chile": Chile(), "small": Small()}
}

// Process is one started program.
type Process struct {
	Name          string
	Program       string
	Args          []string
	RPCAddress    string
	HTTPAddress   string
	Zone          string
	DataDirectory string
	IP            string
	ConfigFile    string

	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	exitCode int
}

// Fleet is a running deployment.
type Fleet struct {
	Shape     Shape
	Directory string
	Programs  Programs
	Proxies   []*Process
	Controls  []*Process
	Instances []*Process
	Platform  *standin.Platform
	History   *standin.History
	Seeds     string
	Relays    map[string]*standin.Relay

	cancel context.CancelFunc
	ctx    context.Context
	client *http.Client
	origin string
}

// Build compiles the programs into a folder.
func Build(root, directory string, race bool) error {
	args := []string{"build"}
	if race {
		args = append(args, "-race")
	}
	args = append(args, "-o", directory+"/", "./cmd/...", "./test/cmd/standin")
	command := exec.Command("go", args...)
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}

func loopbackIP(group, number int) string { return fmt.Sprintf("127.1.%d.%d", group, number+1) }

func allocateAddress(ip string) (string, error) {
	for {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, used := allocatedAddresses.LoadOrStore(address, true); !used {
			return address, nil
		}
	}
}

var allocatedAddresses sync.Map

// Options change how a fleet is started.
type Options struct {
	Relays   bool
	Scale    float64
	Weights  []float64
	LogLevel string
	// ConfigFiles gives each front a settings file of its own.
	ConfigFiles bool
}

// Start starts instances, control plane and data plane, in that order.
func Start(shape Shape, programs Programs, directory string, options Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		Shape: shape, Directory: directory, Programs: programs, History: &standin.History{}, Relays: map[string]*standin.Relay{},
		ctx: ctx, cancel: cancel, client: &http.Client{Timeout: 5 * time.Second}, origin: loopbackIP(9, 0),
	}
	if err := f.planProcesses(options); err != nil {
		f.Stop()
		return nil, err
	}
	for _, list := range [][]*Process{f.Instances, f.Controls, f.Proxies} {
		for _, process := range list {
			if err := process.Start(f.Directory); err != nil {
				f.Stop()
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) planProcesses(options Options) error {
	address := func(group, number int) (string, error) { return allocateAddress(loopbackIP(group, number)) }
	platformAt, err := address(9, 0)
	if err != nil {
		return err
	}
	logLevel := options.LogLevel
	if logLevel == "" {
		logLevel = "info"
	}
	newProcesses := func(program string, group, count int) ([]*Process, error) {
		var list []*Process
		for index := range count {
			link, err := address(group, index)
			if err != nil {
				return nil, err
			}
			address, err := address(group, index)
			if err != nil {
				return nil, err
			}
			name := fmt.Sprintf("%s%d", strings.TrimPrefix(program, "tansyseam-"), index+1)
			list = append(list, &Process{
				Name: name, Program: f.Programs.Path(program, index), RPCAddress: link, HTTPAddress: address, IP: loopbackIP(group, index),
				Zone: f.Shape.Zones[index%len(f.Shape.Zones)], DataDirectory: filepath.Join(f.Directory, name),
			})
		}
		return list, nil
	}
	if f.Controls, err = newProcesses("tansyseam-control", 2, f.Shape.Controls); err != nil {
		return err
	}
	if f.Proxies, err = newProcesses("tansyseam-proxy", 1, f.Shape.Proxies); err != nil {
		return err
	}
	all := append(append([]*Process(nil), f.Controls...), f.Proxies...)
	advertised := map[string]string{}
	for _, process := range all {
		advertised[process.Name] = process.RPCAddress
		if options.Relays {
			index, err := allocateAddress("127.2.0.1")
			if err != nil {
				return err
			}
			relay, err := standin.OpenRelay(index, process.RPCAddress)
			if err != nil {
				return err
			}
			f.Relays[process.Name] = relay
			advertised[process.Name] = index
		}
	}
	f.Seeds = advertised[f.Controls[0].Name] + "," + advertised[f.Controls[1].Name] + "," + advertised[f.Proxies[0].Name]
	for index, process := range all {
		process.Args = []string{
			"--name", process.Name, "--zone", process.Zone, "--link", process.RPCAddress, "--door", process.HTTPAddress,
			"--seeds", f.Seeds, "--log-level", logLevel, "--advertise-link", advertised[process.Name],
		}
		if index < len(f.Controls) {
			process.Args = append(process.Args, "--data", process.DataDirectory, "--disks", fmt.Sprint(f.Shape.Controls), "--platform", platformAt)
		} else if proxy := index - len(f.Controls); proxy < len(options.Weights) {
			process.Args = append(process.Args, "--weight", fmt.Sprint(options.Weights[proxy]))
		}
		if options.ConfigFiles && index >= len(f.Controls) {
			process.ConfigFile = filepath.Join(f.Directory, process.Name+".settings.json")
			if err := os.WriteFile(process.ConfigFile, []byte(`{"weight": 1}`), 0o644); err != nil {
				return err
			}
			process.Args = append(process.Args, "--config", process.ConfigFile)
		}
	}
	return f.planInstances(platformAt)
}

func (f *Fleet) planInstances(platformAt string) error {
	doors := []string{f.Controls[0].HTTPAddress, f.Controls[1].HTTPAddress, f.Proxies[0].HTTPAddress}
	var places []standin.InstanceInfo
	number := 0
	for _, database := range f.Shape.Databases {
		primary := ""
		for index := range f.Shape.InstancesPerDatabase {
			where, err := allocateAddress(loopbackIP(3, number))
			if err != nil {
				return err
			}
			config := standin.InstanceConfig{
				Name: fmt.Sprintf("%s-%c", database, 'a'+index), Database: database, Address: where, Zone: f.Shape.Zones[index%len(f.Shape.Zones)],
				Role: "replica", Upstream: primary, AnnounceAddresses: doors, Connections: f.Shape.Connections, Slots: f.Shape.Slots,
				ServiceTimeUS: f.Shape.ServiceTimeUS, ReplicationDelayMS: 3, Seed: uint64(number + 1),
			}
			config.Directory = filepath.Join(f.Directory, config.Name)
			if index == 0 {
				config.Role, primary = "primary", where
			}
			path := filepath.Join(f.Directory, config.Name+".json")
			data, _ := json.Marshal(config)
			if err := os.WriteFile(path, data, 0o644); err != nil {
				return err
			}
			f.Instances = append(f.Instances, &Process{
				Name: config.Name, Program: f.Programs.CurrentPath("standin"), Args: []string{path}, RPCAddress: where, HTTPAddress: where,
				Zone: config.Zone, DataDirectory: config.Directory, IP: loopbackIP(3, number),
			})
			places = append(places, standin.InstanceInfo{Name: config.Name, Database: database, Address: where})
			number++
		}
	}
	zones := map[string]string{}
	for _, proxy := range f.Proxies {
		zones[proxy.HTTPAddress] = proxy.Zone
	}
	f.Platform = standin.NewPlatform(f.ctx, places, zones)
	return f.Platform.Serve(platformAt)
}

// Start starts the process; its log goes to a file of its name.
func (p *Process) Start(directory string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(directory, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.Program, p.Args...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.Env = append(os.Environ(), "GORACE=exitcode=0")
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.exited = make(chan struct{})
	command, ended := p.command, p.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		p.mutex.Lock()
		p.exitCode = command.ProcessState.ExitCode()
		p.mutex.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process that was started.
func (p *Process) Signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Pid gives the process's id, 0 where it was never started.
func (p *Process) Pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// AwaitExit waits, for a bound, until the process has ended.
func (p *Process) AwaitExit(timeout time.Duration) bool {
	p.mutex.Lock()
	ended := p.exited
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// ExitCode gives the exit code of an ended process.
func (p *Process) ExitCode() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exitCode
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.AwaitExit(5 * time.Second)
}

// Stop ends all that the fleet started.
func (f *Fleet) Stop() {
	all := append(append(append([]*Process(nil), f.Proxies...), f.Controls...), f.Instances...)
	for _, process := range all {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGKILL)
	}
	for _, process := range all {
		process.AwaitExit(5 * time.Second)
	}
	for _, relay := range f.Relays {
		relay.Close()
	}
	f.cancel()
}

// AddProxy starts one more front than was planned.
func (f *Fleet) AddProxy() (*Process, error) {
	number := len(f.Proxies)
	ip := loopbackIP(1, number)
	var addresses [2]string
	for index := range addresses {
		address, err := allocateAddress(ip)
		if err != nil {
			return nil, err
		}
		addresses[index] = address
	}
	proxy := &Process{
		Name: fmt.Sprintf("proxy%d", number+1), Program: f.Programs.Path("tansyseam-proxy", number), RPCAddress: addresses[0], HTTPAddress: addresses[1], IP: ip,
		Zone: f.Shape.Zones[number%len(f.Shape.Zones)],
	}
	proxy.Args = []string{"--name", proxy.Name, "--zone", proxy.Zone, "--link", proxy.RPCAddress, "--door", proxy.HTTPAddress, "--seeds", f.Seeds}
	if err := proxy.Start(f.Directory); err != nil {
		return nil, err
	}
	f.Proxies = append(f.Proxies, proxy)
	f.Platform.AddProxy(proxy.HTTPAddress, proxy.Zone)
	return proxy, nil
}

// Post makes a remote call to a door.
func (f *Fleet) Post(address, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	response, err := f.client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

// SetFault tells an instance what to do wrong.
func (f *Fleet) SetFault(instance string, fault standin.Fault) error {
	for _, process := range f.Instances {
		if process.Name == instance {
			_, _, err := f.Post(process.HTTPAddress, "/admin/fault", map[string]any{"fault": fault})
			return err
		}
	}
	return fmt.Errorf("no instance %s", instance)
}

// FindProcess gives a process by name.
func (f *Fleet) FindProcess(name string) *Process {
	for _, list := range [][]*Process{f.Proxies, f.Controls, f.Instances} {
		for _, process := range list {
			if process.Name == name {
				return process
			}
		}
	}
	return nil
}

// WaitUntil asks again and again, for a bound, whether something is so.
func WaitUntil(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// PutBindings puts a set, through any door that takes it.
func (f *Fleet) PutBindings(id string, expected uint64, bindings any) (int, []byte, error) {
	body := map[string]any{"id": id, "expected": expected, "bindings": bindings}
	var code int
	var raw []byte
	var err error
	for _, proxy := range f.Proxies {
		if code, raw, err = f.Post(proxy.HTTPAddress, "/v1/bindings/put", body); err == nil {
			break
		}
	}
	return code, raw, err
}

// AwaitReady waits until the fleet has formed, put its first bindings and has
// all doors ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	accepted := WaitUntil(timeout, func() bool {
		code, _, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return err == nil && code == http.StatusOK
	})
	if !accepted {
		code, raw, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return fmt.Errorf("first bindings not taken: %d %s %v", code, raw, err)
	}
	if !WaitUntil(timeout, func() bool { return f.Platform.ReadyCount() >= len(f.Proxies) }) {
		return fmt.Errorf("%d of %d doors ready", f.Platform.ReadyCount(), len(f.Proxies))
	}
	if !WaitUntil(timeout, func() bool { return f.allServing() }) {
		return fmt.Errorf("writer roles not open")
	}
	return nil
}

// Writer is a database's writer role as a node shows it.
type Writer struct {
	Database   string
	Term       uint64
	Primary    string
	Phase      string
	Required   map[string]string
	Candidates map[string]string
	Why        string
}

// Writers asks a node for the writer roles.
func (f *Fleet) Writers(address string) map[string]Writer {
	_, raw, err := f.Post(address, "/v1/fleet", map[string]any{})
	if err != nil {
		return nil
	}
	var view struct {
		Writers []Writer `json:"writers"`
	}
	if json.Unmarshal(raw, &view) != nil {
		return nil
	}
	found := map[string]Writer{}
	for _, writer := range view.Writers {
		found[writer.Database] = writer
	}
	return found
}

func (f *Fleet) allServing() bool {
	for _, proxy := range f.Proxies {
		writers := f.Writers(proxy.HTTPAddress)
		for _, database := range f.Shape.Databases {
			writer := writers[database]
			if writer.Phase != "open" || len(writer.Candidates) < f.Shape.InstancesPerDatabase-1 {
				return false
			}
		}
	}
	return true
}

// StartCallers starts the shape's load.
func (f *Fleet) StartCallers(seed uint64, scale float64) *standin.Callers {
	return standin.StartCallers(f.ctx, f.Shape.Mix, f.Platform, f.History, seed, scale)
}
