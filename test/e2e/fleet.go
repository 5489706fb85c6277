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
	Name        string
	Fronts      int
	Disks       int
	Databases   []string
	Instances   int
	Connections int
	Slots       int
	ServiceUS   int
	Zones       []string
	Mix         standin.Mix
}

// Magnolia gives the desk-booking deployment.
func Magnolia() Shape {
	mix := standin.Magnolia()
	return Shape{
		Name: "magnolia", Fronts: 8, Disks: 3, Databases: mix.Databases, Instances: 3, Connections: 110, Slots: 10,
		ServiceUS: 6000, Zones: mix.Zones, Mix: mix,
	}
}

// Chile gives the portability deployment.
func Chile() Shape {
	mix := standin.Chile()
	return Shape{
		Name: "chile", Fronts: 6, Disks: 5, Databases: mix.Databases, Instances: 3, Connections: 80, Slots: 7,
		ServiceUS: 5000, Zones: mix.Zones, Mix: mix,
	}
}

// Small gives a fleet for short runs: fewer of everything.
func Small() Shape {
	shape := Magnolia()
	shape.Name, shape.Fronts, shape.Databases = "small", 3, shape.Databases[:1]
	shape.Mix.Databases = shape.Databases
	return shape
}

// Shapes gives the shapes by name.
func Shapes() map[string]Shape {
	return map[string]Shape{"magnolia": Magnolia(), "chile": Chile(), "small": Small()}
}

// Process is one started program.
type Process struct {
	Name    string
	Program string
	Args    []string
	Link    string
	Door    string
	Zone    string
	Data    string
	IP      string
	File    string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	code    int
}

// Fleet is a running deployment.
type Fleet struct {
	Shape    Shape
	Folder   string
	Programs Programs
	Fronts   []*Process
	Disks    []*Process
	Backs    []*Process
	Platform *standin.Platform
	History  *standin.History
	Seeds    string
	Relays   map[string]*standin.Relay

	cancel context.CancelFunc
	ctx    context.Context
	client *http.Client
	origin string
}

// Build compiles the programs into a folder.
func Build(root, folder string, isRace bool) error {
	args := []string{"build"}
	if isRace {
		args = append(args, "-race")
	}
	args = append(args, "-o", folder+"/", "./cmd/...", "./test/cmd/standin")
	command := exec.Command("go", args...)
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}

func ip(group, number int) string { return fmt.Sprintf("127.1.%d.%d", group, number+1) }

func freePort(host string) (string, error) {
	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, isUsed := handedOut.LoadOrStore(address, true); !isUsed {
			return address, nil
		}
	}
}

var handedOut sync.Map

// Options change how a fleet is started.
type Options struct {
	HasRelays bool
	Scale     float64
	Weights   []float64
	LogLevel  string
	// HasFiles gives each front a settings file of its own.
	HasFiles bool
}

// Start starts instances, control plane and data plane, in that order.
func Start(shape Shape, programs Programs, folder string, options Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		Shape: shape, Folder: folder, Programs: programs, History: &standin.History{}, Relays: map[string]*standin.Relay{},
		ctx: ctx, cancel: cancel, client: &http.Client{Timeout: 5 * time.Second}, origin: ip(9, 0),
	}
	if err := f.plan(options); err != nil {
		f.Stop()
		return nil, err
	}
	for _, list := range [][]*Process{f.Backs, f.Disks, f.Fronts} {
		for _, process := range list {
			if err := process.Start(f.Folder); err != nil {
				f.Stop()
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) plan(options Options) error {
	address := func(group, number int) (string, error) { return freePort(ip(group, number)) }
	platformAt, err := address(9, 0)
	if err != nil {
		return err
	}
	logLevel := options.LogLevel
	if logLevel == "" {
		logLevel = "info"
	}
	make_ := func(program string, group, count int) ([]*Process, error) {
		var list []*Process
		for at := range count {
			link, err := address(group, at)
			if err != nil {
				return nil, err
			}
			door, err := address(group, at)
			if err != nil {
				return nil, err
			}
			name := fmt.Sprintf("%s%d", strings.TrimPrefix(program, "tansyseam-"), at+1)
			list = append(list, &Process{
				Name: name, Program: f.Programs.Path(program, at), Link: link, Door: door, IP: ip(group, at),
				Zone: f.Shape.Zones[at%len(f.Shape.Zones)], Data: filepath.Join(f.Folder, name),
			})
		}
		return list, nil
	}
	if f.Disks, err = make_("tansyseam-control", 2, f.Shape.Disks); err != nil {
		return err
	}
	if f.Fronts, err = make_("tansyseam-proxy", 1, f.Shape.Fronts); err != nil {
		return err
	}
	all := append(append([]*Process(nil), f.Disks...), f.Fronts...)
	advertised := map[string]string{}
	for _, process := range all {
		advertised[process.Name] = process.Link
		if options.HasRelays {
			at, err := freePort("127.2.0.1")
			if err != nil {
				return err
			}
			relay, err := standin.OpenRelay(at, process.Link)
			if err != nil {
				return err
			}
			f.Relays[process.Name] = relay
			advertised[process.Name] = at
		}
	}
	f.Seeds = advertised[f.Disks[0].Name] + "," + advertised[f.Disks[1].Name] + "," + advertised[f.Fronts[0].Name]
	for at, process := range all {
		process.Args = []string{
			"--name", process.Name, "--zone", process.Zone, "--link", process.Link, "--door", process.Door,
			"--seeds", f.Seeds, "--log-level", logLevel, "--advertise-link", advertised[process.Name],
		}
		if at < len(f.Disks) {
			process.Args = append(process.Args, "--data", process.Data, "--disks", fmt.Sprint(f.Shape.Disks), "--platform", platformAt)
		} else if front := at - len(f.Disks); front < len(options.Weights) {
			process.Args = append(process.Args, "--weight", fmt.Sprint(options.Weights[front]))
		}
		if options.HasFiles && at >= len(f.Disks) {
			process.File = filepath.Join(f.Folder, process.Name+".settings.json")
			if err := os.WriteFile(process.File, []byte(`{"weight": 1}`), 0o644); err != nil {
				return err
			}
			process.Args = append(process.Args, "--config", process.File)
		}
	}
	return f.planBacks(platformAt)
}

func (f *Fleet) planBacks(platformAt string) error {
	doors := []string{f.Disks[0].Door, f.Disks[1].Door, f.Fronts[0].Door}
	var places []standin.Place
	number := 0
	for _, database := range f.Shape.Databases {
		primary := ""
		for at := range f.Shape.Instances {
			where, err := freePort(ip(3, number))
			if err != nil {
				return err
			}
			config := standin.InstanceConfig{
				Name: fmt.Sprintf("%s-%c", database, 'a'+at), Database: database, Address: where, Zone: f.Shape.Zones[at%len(f.Shape.Zones)],
				Role: "replica", Upstream: primary, Doors: doors, Connections: f.Shape.Connections, Slots: f.Shape.Slots,
				ServiceUS: f.Shape.ServiceUS, DelayMS: 3, Seed: uint64(number + 1),
			}
			config.Folder = filepath.Join(f.Folder, config.Name)
			if at == 0 {
				config.Role, primary = "primary", where
			}
			path := filepath.Join(f.Folder, config.Name+".json")
			data, _ := json.Marshal(config)
			if err := os.WriteFile(path, data, 0o644); err != nil {
				return err
			}
			f.Backs = append(f.Backs, &Process{
				Name: config.Name, Program: f.Programs.Own("standin"), Args: []string{path}, Link: where, Door: where,
				Zone: config.Zone, Data: config.Folder, IP: ip(3, number),
			})
			places = append(places, standin.Place{Name: config.Name, Database: database, Address: where})
			number++
		}
	}
	zones := map[string]string{}
	for _, front := range f.Fronts {
		zones[front.Door] = front.Zone
	}
	f.Platform = standin.NewPlatform(f.ctx, places, zones)
	return f.Platform.Serve(platformAt)
}

// Start starts the process; its log goes to a file of its name.
func (p *Process) Start(folder string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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
	p.ended = make(chan struct{})
	command, ended := p.command, p.ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		p.mutex.Lock()
		p.code = command.ProcessState.ExitCode()
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

// Ended waits, for a bound, until the process has ended.
func (p *Process) Ended(bound time.Duration) bool {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// Code gives the exit code of an ended process.
func (p *Process) Code() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.code
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Ended(5 * time.Second)
}

// Stop ends all that the fleet started.
func (f *Fleet) Stop() {
	all := append(append(append([]*Process(nil), f.Fronts...), f.Disks...), f.Backs...)
	for _, process := range all {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGKILL)
	}
	for _, process := range all {
		process.Ended(5 * time.Second)
	}
	for _, relay := range f.Relays {
		relay.Close()
	}
	f.cancel()
}

// AddFront starts one more front than was planned.
func (f *Fleet) AddFront() (*Process, error) {
	number := len(f.Fronts)
	host := ip(1, number)
	var addresses [2]string
	for at := range addresses {
		address, err := freePort(host)
		if err != nil {
			return nil, err
		}
		addresses[at] = address
	}
	front := &Process{
		Name: fmt.Sprintf("proxy%d", number+1), Program: f.Programs.Path("tansyseam-proxy", number), Link: addresses[0], Door: addresses[1], IP: host,
		Zone: f.Shape.Zones[number%len(f.Shape.Zones)],
	}
	front.Args = []string{"--name", front.Name, "--zone", front.Zone, "--link", front.Link, "--door", front.Door, "--seeds", f.Seeds}
	if err := front.Start(f.Folder); err != nil {
		return nil, err
	}
	f.Fronts = append(f.Fronts, front)
	f.Platform.AddDoor(front.Door, front.Zone)
	return front, nil
}

// Post makes a remote call to a door.
func (f *Fleet) Post(door, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	response, err := f.client.Post("http://"+door+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

// Fault tells an instance what to do wrong.
func (f *Fleet) Fault(instance string, fault standin.Fault) error {
	for _, back := range f.Backs {
		if back.Name == instance {
			_, _, err := f.Post(back.Door, "/admin/fault", map[string]any{"fault": fault})
			return err
		}
	}
	return fmt.Errorf("no instance %s", instance)
}

// Find gives a process by name.
func (f *Fleet) Find(name string) *Process {
	for _, list := range [][]*Process{f.Fronts, f.Disks, f.Backs} {
		for _, process := range list {
			if process.Name == name {
				return process
			}
		}
	}
	return nil
}

// Until asks again and again, for a bound, whether something is so.
func Until(bound time.Duration, isSo func() bool) bool {
	deadline := time.Now().Add(bound)
	for {
		if isSo() {
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
	for _, front := range f.Fronts {
		if code, raw, err = f.Post(front.Door, "/v1/bindings/put", body); err == nil {
			break
		}
	}
	return code, raw, err
}

// Settle waits until the fleet has formed, put its first bindings and has
// all doors ready.
func (f *Fleet) Settle(bound time.Duration) error {
	isPut := Until(bound, func() bool {
		code, _, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return err == nil && code == http.StatusOK
	})
	if !isPut {
		code, raw, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return fmt.Errorf("first bindings not taken: %d %s %v", code, raw, err)
	}
	if !Until(bound, func() bool { return f.Platform.Ready() >= len(f.Fronts) }) {
		return fmt.Errorf("%d of %d doors ready", f.Platform.Ready(), len(f.Fronts))
	}
	if !Until(bound, func() bool { return f.isServing() }) {
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
func (f *Fleet) Writers(door string) map[string]Writer {
	_, raw, err := f.Post(door, "/v1/fleet", map[string]any{})
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

func (f *Fleet) isServing() bool {
	for _, front := range f.Fronts {
		writers := f.Writers(front.Door)
		for _, database := range f.Shape.Databases {
			writer := writers[database]
			if writer.Phase != "open" || len(writer.Candidates) < f.Shape.Instances-1 {
				return false
			}
		}
	}
	return true
}

// Callers starts the shape's load.
func (f *Fleet) Callers(seed uint64, scale float64) *standin.Callers {
	return standin.RunCallers(f.ctx, f.Shape.Mix, f.Platform, f.History, seed, scale)
}
