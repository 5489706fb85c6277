package platforme2e

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/platformstandin"
	"tansyseam/test/reserve"
)

const (
	proxyProgram   = "tansyseam-proxy"
	controlProgram = "tansyseam-control"
)

// statementTime is the time that an instance needs for a statement.
const statementTime = 2 * time.Millisecond

// Third octets of addresses, by kind of process.
const (
	platformGroup = 0
	proxyGroup    = 1
	controlGroup  = 2
	instanceGroup = 3
)

// ports holds the port numbers of a run. They are the same on all IPs of the run, as on
// the users' platform.
type ports struct {
	rpc, http, session, platform int
}

func (r *Run) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.networkOctet, group, number+1)
}

func (r *Run) address(group, number, port int) string {
	return fmt.Sprint(r.ip(group, number), ":", port)
}

// planProcesses starts the stand-ins, chooses the addresses of all processes and writes
// their configuration files.
func (r *Run) planProcesses(root string, programs e2e.Programs, services int) error {
	ports, err := r.reservePorts(services)
	if err != nil {
		return err
	}
	for number := range controlCount + spareControlCount {
		r.controlAddresses = append(r.controlAddresses, r.address(controlGroup, number, ports.http))
	}
	for number := range services {
		if err := r.startService(number, ports); err != nil {
			return err
		}
	}
	r.Platform = platformstandin.NewPlatform(r.group, r.Services...)
	if err := r.Platform.Serve(r.address(platformGroup, 0, ports.platform)); err != nil {
		return err
	}
	r.Operator = platformstandin.NewOperator(r.group, r.History, r.controlAddresses, r.Services...)
	controls, err := r.planProgram(root, programs, controlProgram, controlGroup, controlCount+spareControlCount, ports)
	if err != nil {
		return err
	}
	r.Controls, r.spareControls = slices.Clip(controls[:controlCount]), controls[controlCount:]
	r.Proxies, err = r.planProgram(root, programs, proxyProgram, proxyGroup, proxyCount, ports)
	if err != nil {
		return err
	}
	for number, proxy := range r.Proxies {
		r.Platform.AddNode(proxy.HTTPAddress, r.address(proxyGroup, number, ports.session), proxy.Zone)
	}
	return nil
}

// reservePorts reserves ports on all IPs of the run. They stay reserved until the run
// ends.
func (r *Run) reservePorts(services int) (ports, error) {
	var ips []string
	for group, count := range []int{1, proxyCount, controlCount + spareControlCount, services * (replicaCount + 1)} {
		for number := range count {
			ips = append(ips, r.ip(group, number))
		}
	}
	var reserved ports
	for _, port := range []*int{&reserved.rpc, &reserved.http, &reserved.session, &reserved.platform} {
		reservations, err := reserve.SharedPort(ips...)
		if err != nil {
			return ports{}, err
		}
		r.reservations = append(r.reservations, reservations...)
		*port = reservations[0].PortNumber()
	}
	return reserved, nil
}

// startService starts a service and its instances.
func (r *Run) startService(number int, ports ports) error {
	service := platformstandin.NewService(r.group, r.History, platformstandin.ServiceConfig{
		Name: fmt.Sprintf("db%d", number+1), SyncReplicas: 1, ReplicationDelay: 2 * time.Millisecond, ApplyDelay: 8 * time.Millisecond,
		StatementTime: statementTime, PromoteDelay: 150 * time.Millisecond, Slots: 8, MaxConnections: 60,
	})
	r.Services = append(r.Services, service)
	for member := range replicaCount + 1 {
		location := platformstandin.Location{
			ID:      fmt.Sprintf("i-%d%d", number+1, member),
			Address: r.address(instanceGroup, number*(replicaCount+1)+member, ports.session), Zone: zones[member%len(zones)],
		}
		if _, err := service.Add(location, func() []string { return r.controlAddresses }); err != nil {
			return err
		}
	}
	return nil
}

// planProgram plans the processes of one program and writes the configuration file of
// each, which it fills from the deploy template.
func (r *Run) planProgram(root string, programs e2e.Programs, program string, group, count int, ports ports) ([]*e2e.Process, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy", program+".json.tmpl"))
	if err != nil {
		return nil, err
	}
	var list []*e2e.Process
	for number := range count {
		name := fmt.Sprintf("%s%d", strings.TrimPrefix(program, "tansyseam-"), number+1)
		process := &e2e.Process{
			Name: name, Program: programs.Path(program, number), Zone: zones[number%len(zones)], IP: r.ip(group, number),
			RPCAddress: r.address(group, number, ports.rpc), HTTPAddress: r.address(group, number, ports.http),
			DataDirectory: filepath.Join(r.directory, name), ConfigFile: filepath.Join(r.directory, name+".json"),
		}
		text, err := FillTemplate(string(template), r.templateFields(process, number, ports))
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(process.ConfigFile, []byte(text), 0o644); err != nil {
			return nil, err
		}
		process.Args = []string{"--config", process.ConfigFile}
		list = append(list, process)
	}
	return list, nil
}

// templateFields returns the fields that the users' platform provides to templates.
func (r *Run) templateFields(process *e2e.Process, number int, ports ports) map[string]any {
	seeds := []any{}
	for _, address := range r.controlAddresses[:controlCount] {
		seeds = append(seeds, address)
	}
	return map[string]any{
		"node_name": process.Name, "zone": process.Zone, "ip": process.IP, "internal_ports": []any{ports.rpc, ports.rpc + 1},
		"data_path": process.DataDirectory, "bootstrap": number < controlCount,
		"listen": map[string]any{
			"admin": process.HTTPAddress, "readiness": process.HTTPAddress, "sessions": fmt.Sprint(process.IP, ":", ports.session),
		},
		"survive": map[string]any{"machines": 1}, "bounds": map[string]any{"fence_checked": true},
		"cloud_api":  map[string]any{"address": r.address(platformGroup, 0, ports.platform)},
		"seed_nodes": seeds,
	}
}
