package e2e

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"tansyseam/test/standin"
)

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
	// Seeds are RPC addresses, separated by commas.
	Seeds string
	// Relays are by process name; there are none unless the options ask.
	Relays map[string]*standin.Relay

	cancel context.CancelFunc
	ctx    context.Context
	client *http.Client
}

// Options change how a fleet is started.
type Options struct {
	// Relays puts a relay before each process's RPC address.
	Relays bool
	// ConfigFiles gives each proxy a configuration file of its own.
	ConfigFiles bool
}

// Start starts instances, control plane and data plane, in that order.
func Start(shape Shape, programs Programs, directory string, options Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		Shape: shape, Directory: directory, Programs: programs, History: &standin.History{}, Relays: map[string]*standin.Relay{},
		ctx: ctx, cancel: cancel, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}},
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

// Stop kills all processes that the fleet started, and ends its stand-ins.
func (f *Fleet) Stop() {
	all := slices.Concat(f.Proxies, f.Controls, f.Instances)
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

// AddProxy starts a proxy beside those that were planned.
func (f *Fleet) AddProxy() (*Process, error) {
	proxy, err := f.newProcess(proxyProgram, proxyGroup, len(f.Proxies))
	if err != nil {
		return nil, err
	}
	proxy.Args = []string{"--name", proxy.Name, "--zone", proxy.Zone, "--link", proxy.RPCAddress, "--door", proxy.HTTPAddress, "--seeds", f.Seeds}
	if err := proxy.Start(f.Directory); err != nil {
		return nil, err
	}
	f.Proxies = append(f.Proxies, proxy)
	f.Platform.AddProxy(proxy.HTTPAddress, proxy.Zone)
	return proxy, nil
}

// FindProcess returns a process by name, nil where there is none.
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

// StartCallers starts the shape's load, scaled.
func (f *Fleet) StartCallers(seed uint64, scale float64) *standin.Callers {
	return standin.StartCallers(f.ctx, f.Shape.Mix, f.Platform, f.History, seed, scale)
}

const pollInterval = 20 * time.Millisecond

// WaitUntil polls a condition until it holds; false after a timeout.
func WaitUntil(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
}
