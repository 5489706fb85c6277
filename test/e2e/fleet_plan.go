package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"tansyseam/test/standin"
)

const (
	proxyProgram   = "tansyseam-proxy"
	controlProgram = "tansyseam-control"
)

// Third octets of loopback addresses, by kind of process.
const (
	proxyGroup    = 1
	controlGroup  = 2
	instanceGroup = 3
	platformGroup = 9
)

const (
	relayIP            = "127.2.0.1"
	replicationDelayMS = 3
)

// planProcesses chooses the addresses and arguments of all processes, and starts the
// stand-ins that run inside the current process.
func (f *Fleet) planProcesses(options Options) error {
	platformAddress, err := allocateAddress(loopbackIP(platformGroup, 0))
	if err != nil {
		return err
	}
	if f.Controls, err = f.newProcesses(controlProgram, controlGroup, f.Shape.Controls); err != nil {
		return err
	}
	if f.Proxies, err = f.newProcesses(proxyProgram, proxyGroup, f.Shape.Proxies); err != nil {
		return err
	}
	advertised, err := f.advertise(options)
	if err != nil {
		return err
	}
	f.Seeds = strings.Join([]string{advertised[f.Controls[0].Name], advertised[f.Controls[1].Name], advertised[f.Proxies[0].Name]}, ",")
	for _, process := range slices.Concat(f.Controls, f.Proxies) {
		process.Args = []string{
			"--name", process.Name, "--zone", process.Zone, "--link", process.RPCAddress, "--door", process.HTTPAddress,
			"--seeds", f.Seeds, "--log-level", "info", "--advertise-link", advertised[process.Name],
		}
	}
	for _, control := range f.Controls {
		control.Args = append(control.Args, "--data", control.DataDirectory, "--disks", fmt.Sprint(f.Shape.Controls), "--platform", platformAddress)
	}
	if options.ConfigFiles {
		if err := f.writeConfigFiles(); err != nil {
			return err
		}
	}
	if err := f.planInstances(); err != nil {
		return err
	}
	return f.servePlatform(platformAddress)
}

func (f *Fleet) newProcesses(program string, group, count int) ([]*Process, error) {
	var list []*Process
	for index := range count {
		process, err := f.newProcess(program, group, index)
		if err != nil {
			return nil, err
		}
		list = append(list, process)
	}
	return list, nil
}

func (f *Fleet) newProcess(program string, group, index int) (*Process, error) {
	ip := loopbackIP(group, index)
	rpcAddress, err := allocateAddress(ip)
	if err != nil {
		return nil, err
	}
	httpAddress, err := allocateAddress(ip)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s%d", strings.TrimPrefix(program, "tansyseam-"), index+1)
	return &Process{
		Name: name, Program: f.Programs.Path(program, index), RPCAddress: rpcAddress, HTTPAddress: httpAddress, IP: ip,
		Zone: f.Shape.Zones[index%len(f.Shape.Zones)], DataDirectory: filepath.Join(f.Directory, name),
	}, nil
}

// advertise returns the RPC addresses that processes advertise, by process name. If the
// options ask for relays, it opens one in front of each process and returns the relay's
// address instead of the process's own.
func (f *Fleet) advertise(options Options) (map[string]string, error) {
	advertised := map[string]string{}
	for _, process := range slices.Concat(f.Controls, f.Proxies) {
		advertised[process.Name] = process.RPCAddress
		if !options.Relays {
			continue
		}
		address, err := allocateAddress(relayIP)
		if err != nil {
			return nil, err
		}
		relay, err := standin.OpenRelay(address, process.RPCAddress)
		if err != nil {
			return nil, err
		}
		f.Relays[process.Name], advertised[process.Name] = relay, address
	}
	return advertised, nil
}

func (f *Fleet) writeConfigFiles() error {
	for _, proxy := range f.Proxies {
		proxy.ConfigFile = filepath.Join(f.Directory, proxy.Name+".settings.json")
		if err := os.WriteFile(proxy.ConfigFile, []byte(`{"weight": 1}`), 0o644); err != nil {
			return err
		}
		proxy.Args = append(proxy.Args, "--config", proxy.ConfigFile)
	}
	return nil
}

// planInstances plans the instances of each database. The first one is the primary.
func (f *Fleet) planInstances() error {
	for _, database := range f.Shape.Databases {
		primary := ""
		for index := range f.Shape.InstancesPerDatabase {
			process, err := f.planInstance(database, index, primary)
			if err != nil {
				return err
			}
			if index == 0 {
				primary = process.HTTPAddress
			}
		}
	}
	return nil
}

// planInstance plans one instance: a replica of the given primary, or the
// primary itself if none is given.
func (f *Fleet) planInstance(database string, index int, primary string) (*Process, error) {
	number := len(f.Instances)
	ip := loopbackIP(instanceGroup, number)
	address, err := allocateAddress(ip)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%c", database, 'a'+index)
	config := standin.InstanceConfig{
		Name: name, Database: database, Address: address, Zone: f.Shape.Zones[index%len(f.Shape.Zones)],
		Role: "replica", Upstream: primary, Connections: f.Shape.Connections, Slots: f.Shape.Slots,
		AnnounceAddresses: []string{f.Controls[0].HTTPAddress, f.Controls[1].HTTPAddress, f.Proxies[0].HTTPAddress},
		Directory:         filepath.Join(f.Directory, name),
		ServiceTimeUS:     f.Shape.ServiceTimeUS, ReplicationDelayMS: replicationDelayMS, Seed: uint64(number + 1),
	}
	if primary == "" {
		config.Role = "primary"
	}
	path := filepath.Join(f.Directory, name+".json")
	data, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return nil, err
	}
	process := &Process{
		Name: name, Program: f.Programs.CurrentPath("standin"), Args: []string{path}, RPCAddress: address, HTTPAddress: address,
		Zone: config.Zone, DataDirectory: config.Directory, IP: ip, Database: database,
	}
	f.Instances = append(f.Instances, process)
	return process, nil
}

func (f *Fleet) servePlatform(address string) error {
	var instances []standin.InstanceInfo
	for _, process := range f.Instances {
		instances = append(instances, standin.InstanceInfo{Name: process.Name, Database: process.Database, Address: process.HTTPAddress})
	}
	zones := map[string]string{}
	for _, proxy := range f.Proxies {
		zones[proxy.HTTPAddress] = proxy.Zone
	}
	f.Platform = standin.NewPlatform(f.ctx, instances, zones)
	return f.Platform.Serve(address)
}
