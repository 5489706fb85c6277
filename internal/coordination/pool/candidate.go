package pool

import (
	"tansyseam/internal/coordination/balancer"
	"tansyseam/internal/coordination/flowcontrol"
)

// Candidate describes an instance to the balancer by its window. HasConn says
// whether a connection to it is idle or may be opened.
func Candidate(window *flowcontrol.Window, hasConn, sameZone, freshEnough bool) balancer.Candidate {
	reading := window.Reading()
	return balancer.Candidate{
		HasCapacity: window.HasRoom() && hasConn,
		SameZone:    sameZone,
		FreshEnough: freshEnough,
		Utilization: float64(reading.InFlight+reading.Abandoned) / max(reading.Size, 1),
		Latency:     reading.AverageLatency,
	}
}
