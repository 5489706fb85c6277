package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Figures of the case "stop".
const (
	stopSessions = 400
	stopWarmUp   = 10 * time.Second
	graceSeconds = 6
	lossSlack    = 200 * time.Millisecond
	routeTimeout = 3 * time.Second
)

// runStop stops one of two proxies as the platform does, with SIGTERM and SIGKILL after
// grace_s, while busy sessions use it. It checks LOST for statements that the proxy has
// read and that it did not send on.
func runStop(s *scene) (bool, error) {
	deployment := Deployment{Zones: []string{"atl", "bham", "chs"}, Proxies: 2, FenceChecked: true, GraceSeconds: graceSeconds, DrainMillis: 7000, ApplyMillis: 3000}
	routes := []Route{{Host: "floor", Kind: "bounded_lag", Timeout: int(routeTimeout.Milliseconds()), Target: 800, MaxStalenessMS: 1500, Priority: 2}}
	w, err := s.start(deployment, "booking-db", func(*Service) {}, routes)
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return false, err
	}
	clients := NewClients(s.record, w.platform, "floor", []string{"atl", "bham"}, 0)
	clients.Start(stopSessions, 10*time.Millisecond)
	time.Sleep(stopWarmUp)
	proxy := w.fleet.Proxies[0]
	before := summary(clients.Queries(), proxy.Name)
	s.record.Say("before the stop, at %s: %s", proxy.Name, before)
	stoppedAt := s.record.Now()
	if s.trouble {
		s.record.Say("SIGTERM to %s", proxy.Name)
		proxy.Signal(syscall.SIGTERM)
		if !proxy.Wait(graceSeconds * time.Second) {
			s.record.Say("SIGKILL to %s", proxy.Name)
			proxy.Signal(syscall.SIGKILL)
		}
		s.record.Say("%s has ended %.2f s after the signal", proxy.Name, (s.record.Now() - stoppedAt).Seconds())
		time.Sleep(500 * time.Millisecond)
	} else {
		time.Sleep((graceSeconds + 1) * time.Second)
	}
	endedAt := s.record.Now()
	queries := clients.Queries()
	clients.Stop()
	if count(queries, proxy.Name, func(q Query) bool { return !q.Cut && q.Code == "" && q.Ended < stoppedAt }) < 100 {
		return false, errors.New("too few statements were served before the stop")
	}
	return s.checkLost(queries, w.service, proxy.Name, stoppedAt, endedAt), nil
}

// checkLost counts the statements whose connection ended without a complete answer, from
// the SIGTERM until 1 s after grace_s. A statement counts if no instance has received it
// and its connection ended more than loss_slack_ms after it was sent, before the route's
// timeout. Statements that an instance was still working on are excused and only listed.
func (s *scene) checkLost(queries []Query, service *Service, proxy string, stoppedAt, endedAt time.Duration) bool {
	arrived := map[string]Arrival{}
	service.mutex.Lock()
	for _, instance := range service.Instances {
		for _, arrival := range instance.Arrivals {
			arrived[arrival.ID] = arrival
		}
	}
	service.mutex.Unlock()
	window := stoppedAt + (graceSeconds+1)*time.Second
	lost, passedOn, early := 0, 0, 0
	longest := time.Duration(0)
	for _, query := range queries {
		if !query.Cut || query.Proxy != proxy || query.Ended < stoppedAt || query.Ended > min(window, endedAt) {
			continue
		}
		held := query.Ended - query.Sent
		if _, found := arrived[query.ID]; found {
			passedOn++
			s.record.Add("cut at the proxy, passed on: %s, sent %.3f s after the signal, cut %.3f s after it", query.ID, (query.Sent - stoppedAt).Seconds(), (query.Ended - stoppedAt).Seconds())
			continue
		}
		if held <= lossSlack || held >= routeTimeout {
			early++
			continue
		}
		lost++
		longest = max(longest, held)
		s.record.Add("LOST: %s, sent %.3f s after the signal, cut %.3f s after it, reached no instance", query.ID, (query.Sent - stoppedAt).Seconds(), (query.Ended - stoppedAt).Seconds())
	}
	s.record.Say("cut without an answer at %s: %d that reached no instance and were held over %v (longest %.0f ms); %d that reached no instance, held shorter; %d passed on, not counted",
		proxy, lost, lossSlack, float64(longest.Milliseconds()), early, passedOn)
	return lost > 0
}

func count(queries []Query, proxy string, matches func(Query) bool) int {
	number := 0
	for _, query := range queries {
		if query.Proxy == proxy && matches(query) {
			number++
		}
	}
	return number
}

func summary(queries []Query, proxy string) string {
	var total, slowest time.Duration
	served := 0
	for _, query := range queries {
		if query.Proxy == proxy && !query.Cut && query.Code == "" {
			served++
			total += query.Ended - query.Sent
			slowest = max(slowest, query.Ended-query.Sent)
		}
	}
	failed := count(queries, proxy, func(q Query) bool { return q.Cut || q.Code != "" })
	if served == 0 {
		return "none served"
	}
	return fmt.Sprintf("%d served, mean %d ms, slowest %d ms, %d not served", served, (total / time.Duration(served)).Milliseconds(), slowest.Milliseconds(), failed)
}
