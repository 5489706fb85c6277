package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Figures of the case "reset".
const (
	resetSessions = 24
	cutFor        = 20 * time.Second
	catchUp       = 4 * time.Second
	// healFor is the time between the end of the last cut and the loss of a machine.
	healFor = 10 * time.Second
	// replaceAfter is the time from the loss of a machine until an empty one comes.
	replaceAfter = time.Second
	// readBackAfter is the time after the replacement at which the operator begins to read
	// the configuration back. It goes on for readBackFor at least.
	readBackAfter = 8 * time.Second
	readBackFor   = 12 * time.Second
)

// runReset cuts off each control machine in turn from the other control machines:
// connections between them are reset. Some time after the last cut has healed, a machine is
// lost for good and an empty one comes in its place. Then the operator reads the configuration back.
// The case checks CONFIG: it must come.
func runReset(s *scene) (bool, error) {
	deployment := Deployment{
		Zones: []string{"atl", "bham", "chs"}, Proxies: 8, FenceChecked: true, GraceSeconds: 6, DrainMillis: 7000, ApplyMillis: 3000, Relays: true,
	}
	routes := []Route{{Host: "floor", Kind: "bounded_lag", Timeout: 3000, Target: 800, MaxStalenessMS: 1500, Priority: 2}}
	w, err := s.start(deployment, "booking-db", func(service *Service) { service.Work = 11 * time.Millisecond }, routes)
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return false, err
	}
	clients := NewClients(s.record, w.platform, "floor", deployment.Zones, 50*time.Millisecond)
	clients.Start(resetSessions, 10*time.Millisecond)
	defer clients.Stop()
	defer s.askAll(w.fleet.ControlAddresses())()
	time.Sleep(time.Second)
	for number := range controlCount {
		if number > 0 {
			time.Sleep(catchUp)
		}
		if s.trouble {
			s.record.Say("%s is cut off from the other control machines", w.fleet.Controls[number].Name)
			w.fleet.cutOff(number, true)
		}
		time.Sleep(cutFor)
		if s.trouble {
			w.fleet.cutOff(number, false)
			s.record.Say("%s is joined again; connections reset so far: %s", w.fleet.Controls[number].Name, w.fleet.resets())
		}
	}
	time.Sleep(healFor)
	s.record.Say("connections between the control machines now: %s", w.fleet.links())
	remaining := w.fleet.ControlAddresses()
	if s.replace {
		if remaining, err = s.replaceControl(w.fleet, deployment); err != nil {
			return false, err
		}
	}
	time.Sleep(readBackAfter)
	calmAt := s.record.Now()
	answered := 0
	for s.record.Now() < calmAt+readBackFor && answered < 3 {
		if s.readBack(remaining) {
			answered++
		}
		time.Sleep(500 * time.Millisecond)
	}
	served := 0
	for _, query := range clients.Queries() {
		if query.Sent >= calmAt && !query.Cut && query.Code == "" {
			served++
		}
	}
	s.record.Say("connections between the control machines now: %s", w.fleet.links())
	s.record.Say("at the end the configuration was read back %d times in %.0f s, and %d statements were served", answered, (s.record.Now() - calmAt).Seconds(), served)
	return answered == 0, nil
}

// replaceControl takes away a control machine for good and starts an empty one at another
// address. It returns the addresses of the control machines that there are then.
func (s *scene) replaceControl(fleet *Fleet, deployment Deployment) ([]string, error) {
	lost := fleet.machineToLose()
	s.record.Say("%s is lost for good", fleet.Controls[lost].Name)
	fleet.Controls[lost].Signal(syscall.SIGKILL)
	var remaining []string
	for number, control := range fleet.Controls {
		if number != lost {
			remaining = append(remaining, control.admin)
		}
	}
	time.Sleep(replaceAfter)
	added, err := fleet.AddControl(deployment, remaining)
	if err != nil {
		return nil, err
	}
	s.record.Say("%s, which is empty, comes in its place", added.Name)
	return append(remaining, added.admin), nil
}

// machineToLose returns the number of the machine that is lost: one that is at neither end
// of a connection that did not come back after the cuts, or the last one if all came back.
// A pair of machines that is connected one way only comes first.
func (f *Fleet) machineToLose() int {
	lost, foundOneWay := controlCount-1, false
	for to := range controlCount {
		for from := range controlCount {
			there := f.Relays[to].OpenFrom(f.Controls[from].IP) > 0
			if from == to || there {
				continue
			}
			oneWay := f.Relays[from].OpenFrom(f.Controls[to].IP) > 0
			if oneWay || !foundOneWay {
				lost, foundOneWay = controlCount-from-to, oneWay
			}
		}
	}
	return lost
}

// askAll has the operator read the configuration at each control process, as it does
// during the day: each gets a second to answer, and is asked again a second later.
func (s *scene) askAll(controls []string) (stop func()) {
	stopped := make(chan struct{})
	for _, control := range controls {
		go func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				select {
				case <-stopped:
					return
				case <-time.After(time.Second):
				}
				response, err := client.Get("http://" + control + "/config/fetch")
				if err != nil {
					s.record.Add("operator: read at %s: %v", control, err)
					continue
				}
				_ = response.Body.Close()
				s.record.Add("operator: read at %s: %d", control, response.StatusCode)
			}
		}()
	}
	return func() { close(stopped) }
}

// cutOff cuts one control process off from the others, both ways, or joins it again.
func (f *Fleet) cutOff(number int, cut bool) {
	for other := range f.Controls {
		if other != number {
			f.Relays[number].Cut(f.Controls[other].IP, cut)
			f.Relays[other].Cut(f.Controls[number].IP, cut)
		}
	}
}

// resets describes how many connections between control processes were reset.
func (f *Fleet) resets() string {
	return f.describe(func(relay *Relay, from string) int { return relay.ResetsFrom(from) })
}

// links describes which control processes have a connection to which others.
func (f *Fleet) links() string {
	return f.describe(func(relay *Relay, from string) int { return relay.OpenFrom(from) })
}

func (f *Fleet) describe(count func(relay *Relay, from string) int) string {
	var parts []string
	for number, relay := range f.Relays {
		for other, control := range f.Controls {
			if other != number {
				parts = append(parts, fmt.Sprintf("%s to %s %d", control.Name, f.Controls[number].Name, count(relay, control.IP)))
			}
		}
	}
	return strings.Join(parts, ", ")
}

// readBack asks one control process after the other for the configuration, and reports
// whether it came.
func (s *scene) readBack(controls []string) bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, control := range controls {
		response, err := client.Get("http://" + control + "/config/fetch")
		if err != nil {
			s.record.Say("operator: read of the configuration at %s: %v", control, err)
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		s.record.Say("operator: read of the configuration at %s: %d, %d bytes", control, response.StatusCode, len(body))
		if response.StatusCode == http.StatusOK && strings.Contains(string(body), `"version":7`) {
			return true
		}
	}
	return false
}
