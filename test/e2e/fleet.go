// Package e2e starts a whole fleet as real processes on loopback, and ends
// by id only what it started.
package e2e

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"tansyseam/test/standin"
	"time"
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
	Seeds     string
	Relays    map[string]*standin.Relay

	cancel context.CancelFunc
	ctx    context.Context
	client *http.Client
	origin string
}

// Options change how a fleet is started.
type Options struct {
	Relays   bool
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

// StartCallers starts the shape's load.
func (f *Fleet) StartCallers(seed uint64, scale float64) *standin.Callers {
	return standin.StartCallers(f.ctx, f.Shape.Mix, f.Platform, f.History, seed, scale)
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
