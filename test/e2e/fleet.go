package e2e

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"tansyseam/test/standin"
)

// Fleet is a running deployment of the product, together with its stand-ins.
type Fleet struct {
	Shape     Shape
	Directory string
	Programs  Programs
	Proxies   []*Process
	Controls  []*Process
	Instances []*Process
	Platform  *standin.Platform
	History   *standin.History
	// Seeds is the comma-separated list of the RPC addresses of the seed processes.
	Seeds string
	// Relays holds the relay of each process by process name. It is empty unless
	// Options.Relays is set.
	Relays map[string]*standin.Relay

	cancel context.CancelFunc
	ctx    context.Context
	client *http.Client
}

// Options are the settings with which a fleet is started.
type Options struct {
	// Relays puts a relay in front of the RPC address of each proxy and control process.
	Relays bool
	// ConfigFiles gives each proxy a configuration file of its own.
	ConfigFiles bool
}

// Start starts the instances, the control processes and the proxies, in that order.
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

// Stop kills all processes that the fleet started, and stops its stand-ins.
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

// AddProxy starts a proxy in addition to those that the fleet started with.
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

// FindProcess returns the process with a name, or nil if there is none.
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

// StartCallers starts the load of the shape's mix. The scale multiplies the number of
// sessions and the request rate.
func (f *Fleet) StartCallers(seed uint64, scale float64) *standin.Callers {
	return standin.StartCallers(f.ctx, f.Shape.Mix, f.Platform, f.History, seed, scale)
}

const pollInterval = 20 * time.Millisecond

// WaitUntil polls a condition until it holds. It returns false after a timeout.
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
