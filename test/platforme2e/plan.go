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
)

func (t *Run) planProcesses(root string, programs e2e.Programs, services int) error {
	var hosts []string
	for group, count := range []int{1, proxyCount, controlCount + spareControlCount, services * (replicaCount + 1)} {
		for index := range count {
			hosts = append(hosts, t.ip(group, index))
		}
	}
	ports, err := t.freePorts(4, hosts)
	if err != nil {
		return err
	}
	rpcPort, httpPort, sessionPort, platformPort := ports[0], ports[1], ports[2], ports[3]
	for index := range controlCount + spareControlCount {
		t.controlAddresses = append(t.controlAddresses, fmt.Sprint(t.ip(2, index), ":", httpPort))
	}
	for index := range services {
		service := platformstandin.NewService(t.group, t.History, platformstandin.ServiceConfig{
			Name: fmt.Sprintf("db%d", index+1), SyncReplicas: 1, ReplicationDelay: 2 * time.Millisecond, ApplyDelay: 8 * time.Millisecond, StatementTime: 2 * time.Millisecond,
			PromoteDelay: 150 * time.Millisecond, Slots: 8, MaxConnections: 60,
		})
		t.Services = append(t.Services, service)
		for member := range replicaCount + 1 {
			place := platformstandin.Location{ID: fmt.Sprintf("i-%d%d", index+1, member), Address: fmt.Sprint(t.ip(3, index*(replicaCount+1)+member), ":", sessionPort), Zone: zones[member%len(zones)]}
			if _, err := service.Add(place, func() []string { return t.controlAddresses }); err != nil {
				return err
			}
		}
	}
	t.Platform = platformstandin.NewPlatform(t.group, t.Services...)
	platformAt := fmt.Sprint(t.ip(0, 0), ":", platformPort)
	if err := t.Platform.Serve(platformAt); err != nil {
		return err
	}
	t.Operator = platformstandin.NewOperator(t.group, t.History, t.controlAddresses, t.Services...)
	seeds := []any{}
	for _, process := range t.controlAddresses[:controlCount] {
		seeds = append(seeds, process)
	}
	for _, part := range []struct {
		program      string
		group, count int
		list         *[]*e2e.Process
	}{{"tansyseam-control", 2, controlCount + spareControlCount, &t.Controls}, {"tansyseam-proxy", 1, proxyCount, &t.Proxies}} {
		template, err := os.ReadFile(filepath.Join(root, "deploy", part.program+".json.tmpl"))
		if err != nil {
			return err
		}
		for index := range part.count {
			ip, name := t.ip(part.group, index), fmt.Sprintf("%s%d", strings.TrimPrefix(part.program, "tansyseam-"), index+1)
			process := &e2e.Process{
				Name: name, Program: programs.Path(part.program, index), Zone: zones[index%len(zones)], IP: ip, DataDirectory: filepath.Join(t.directory, name),
				RPCAddress: fmt.Sprint(ip, ":", rpcPort), HTTPAddress: fmt.Sprint(ip, ":", httpPort), ConfigFile: filepath.Join(t.directory, name+".json"),
			}
			text, err := FillTemplate(string(template), map[string]any{
				"node_name": name, "zone": process.Zone, "ip": ip, "internal_ports": []any{rpcPort, rpcPort + 1}, "data_path": process.DataDirectory, "bootstrap": index < controlCount,
				"listen":  map[string]any{"admin": process.HTTPAddress, "readiness": process.HTTPAddress, "sessions": fmt.Sprint(ip, ":", sessionPort)},
				"survive": map[string]any{"machines": 1}, "bounds": map[string]any{"fence_checked": true}, "cloud_api": map[string]any{"address": platformAt}, "seed_nodes": seeds,
			})
			if err != nil {
				return err
			}
			if err := os.WriteFile(process.ConfigFile, []byte(text), 0o644); err != nil {
				return err
			}
			process.Args = []string{"--config", process.ConfigFile}
			*part.list = append(*part.list, process)
			if part.program == "tansyseam-proxy" {
				t.Platform.AddNode(process.HTTPAddress, fmt.Sprint(ip, ":", sessionPort), process.Zone)
			}
		}
	}
	t.Controls, t.spareControls = slices.Clip(t.Controls[:controlCount]), t.Controls[controlCount:]
	return nil
}
