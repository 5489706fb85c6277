package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"tansyseam/test/standin"
)

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
