package main

import (
	"errors"
	"time"
)

// world is a running deployment.
type world struct {
	fleet    *Fleet
	service  *Service
	platform *Platform
	calls    []*Calls
}

const (
	heartbeat     = 1200 * time.Millisecond
	startPatience = 30 * time.Second
)

// start starts a deployment with one service of three instances, sends a configuration
// and waits until all proxies are in.
func (s *scene) start(deployment Deployment, serviceName string, configure func(*Service), routes []Route) (*world, error) {
	const instances = 3
	fleet, err := NewFleet(s.root, s.directory, deployment, instances)
	if err != nil {
		return nil, err
	}
	w := &world{fleet: fleet, service: NewService(s.record, serviceName)}
	configure(w.service)
	s.fleet.Store(fleet)
	if err := fleet.Start(); err != nil {
		return w, err
	}
	w.platform = NewPlatform(s.record, w.service, deployment.FenceChecked, fleet.Proxies)
	if err := w.platform.Start(fleet.PlatformAddress); err != nil {
		return w, err
	}
	if !SendConfig(s.record, fleet.ControlAddresses(), 7, w.service, routes, startPatience) {
		return w, errors.New("the first configuration was not acknowledged")
	}
	for number := range instances {
		ip := fleet.IP(groupInstance, number)
		id := "i-" + string(rune('a'+number)) + "1f3"
		instance, err := w.service.Add(id, address(ip, fleet.ports.instance), deployment.Zones[number%len(deployment.Zones)])
		if err != nil {
			return w, err
		}
		w.calls = append(w.calls, NewCalls(instance, s.record, fleet.ControlAddresses(), heartbeat))
	}
	deadline := time.Now().Add(startPatience)
	for w.platform.Ready() < len(fleet.Proxies) {
		if time.Now().After(deadline) {
			return w, errors.New("not all proxies became ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.record.Say("all %d proxies are ready", len(fleet.Proxies))
	return w, nil
}

func (w *world) stop() {
	for _, calls := range w.calls {
		calls.Stop()
	}
	if w.platform != nil {
		w.platform.Stop()
	}
	for _, instance := range w.service.Instances {
		instance.End()
	}
	w.fleet.Stop()
}
