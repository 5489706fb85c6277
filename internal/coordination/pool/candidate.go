package pool

import (
	"tansyseam/internal/coordination/balancer"
	"tansyseam/internal/coordination/flowcontrol"
)

// Candidate returns the balancer's description of the instance that has the given
// window. hasConn is true if a connection to the instance is idle or may be opened.
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
