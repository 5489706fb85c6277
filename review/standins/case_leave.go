package main

import (
	"errors"
	"syscall"
	"time"
)

// Figures of the case "leave".
const (
	leaveSessions = 24
	leaveWarmUp   = 5 * time.Second
	drainMillis   = 7000
	contact       = 4 * time.Second
	restartDelay  = time.Second
	// servedOn is how long the leaving instance serves after the acknowledgement:
	// drain_ms and some seconds more.
	servedOn = 15 * time.Second
)

// runLeave kills the control primary. A replica that is to leave says so without having
// said "draining" before, serves on and ends. The case checks DRAIN.
func runLeave(s *scene) (bool, error) {
	deployment := Deployment{Zones: []string{"atl", "bham", "chs"}, Proxies: 2, FenceChecked: true, GraceSeconds: 6, DrainMillis: drainMillis, ApplyMillis: 3000}
	routes := []Route{{Host: "floor", Kind: "bounded_lag", Timeout: 3000, Target: 800, MaxStalenessMS: 1500, Priority: 2}}
	w, err := s.start(deployment, "booking-db", func(service *Service) { service.Work = 11 * time.Millisecond }, routes)
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return false, err
	}
	clients := NewClients(s.record, w.platform, "floor", []string{"atl", "bham"}, 20*time.Millisecond)
	clients.Start(leaveSessions, 10*time.Millisecond)
	defer clients.Stop()
	time.Sleep(leaveWarmUp)
	leaving := w.calls[1]
	primary := w.fleet.FindControl(<-leaving.Target)
	if primary == nil {
		return false, errors.New("the control primary is not known")
	}
	restartedAt := time.Duration(0)
	if s.trouble {
		s.record.Say("SIGKILL to %s, which takes the beats", primary.Name)
		primary.Signal(syscall.SIGKILL)
		primary.Wait(5 * time.Second)
	}
	leaving.Leave()
	if s.trouble {
		time.Sleep(restartDelay)
		if err := primary.Start(); err != nil {
			return false, err
		}
		restartedAt = s.record.Now()
		s.record.Say("%s is started again", primary.Name)
	}
	select {
	case <-leaving.Left:
	case <-time.After(20 * time.Second):
		return false, errors.New("the leave call was not acknowledged")
	}
	taker := w.fleet.FindControl(leaving.LeftBy)
	s.record.Say("the leave call of %s is acknowledged by %s", leaving.instance.ID, taker.Name)
	time.Sleep(servedOn - (s.record.Now() - leaving.LeftAt))
	leaving.instance.End()
	s.record.Say("instance %s ends", leaving.instance.ID)
	time.Sleep(time.Second)
	return s.checkDrain(leaving, restartedAt), nil
}

// checkDrain counts the statements that reached the instance later than drain_ms after the
// acknowledgement, at a time at which the fleet was calm for contact_ms.
func (s *scene) checkDrain(leaving *Calls, restartedAt time.Duration) bool {
	service := leaving.instance.service
	service.mutex.Lock()
	defer service.mutex.Unlock()
	bound := leaving.LeftAt + drainMillis*time.Millisecond
	calm := time.Duration(0)
	if restartedAt != 0 {
		calm = restartedAt + contact
	}
	late, within, before := 0, 0, 0
	last := time.Duration(0)
	for _, arrival := range leaving.instance.Arrivals {
		switch {
		case arrival.At <= leaving.LeftAt:
			before++
		case arrival.At <= bound || arrival.At <= calm:
			within++
		default:
			late++
			last = max(last, arrival.At-leaving.LeftAt)
			s.record.lateArrival(arrival, leaving.LeftAt)
		}
	}
	s.record.Say("statements that reached %s: %d before the acknowledgement, %d within %d ms after it, %d later (the last %.1f s after it)",
		leaving.instance.ID, before, within, drainMillis, late, last.Seconds())
	return late > 0
}

func (r *Record) lateArrival(arrival Arrival, left time.Duration) {
	r.Add("DRAIN: %s reached %s %.3f s after the acknowledgement", arrival.ID, arrival.Instance, (arrival.At - left).Seconds())
}
