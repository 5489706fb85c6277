package standin

import (
	"net/http"
	"time"
)

// Fault is what an instance is told to do wrong.
type Fault struct {
	Slowdown           *float64 `json:"slow,omitempty"`
	ReplicationDelayMS *int     `json:"delay_ms,omitempty"`
	LoseAnswers        *int     `json:"lose,omitempty"`
	ResetConnections   *int     `json:"reset,omitempty"`
	Silent             *bool    `json:"silent,omitempty"`
	Leaving            *bool    `json:"leaving,omitempty"`
	// MisreportClean calls every session clean, whatever state it holds.
	MisreportClean *bool `json:"lying,omitempty"`
}

func setIfGiven[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

func (x *Instance) onFault(_ *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	fault := request.Fault
	if fault == nil {
		return http.StatusBadRequest, map[string]any{}
	}
	setIfGiven(fault.Slowdown, &x.slowdown)
	setIfGiven(fault.LoseAnswers, &x.loseAnswers)
	setIfGiven(fault.ResetConnections, &x.resetConnections)
	setIfGiven(fault.Silent, &x.silent)
	setIfGiven(fault.MisreportClean, &x.misreportClean)
	if fault.ReplicationDelayMS != nil {
		x.replicationDelay = time.Duration(*fault.ReplicationDelayMS) * time.Millisecond
	}
	if fault.Leaving != nil {
		x.leavingSince = 0
		if *fault.Leaving {
			x.leavingSince = time.Now().UnixNano()
		}
	}
	return http.StatusOK, map[string]any{}
}

func (x *Instance) onPromote(_ *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.term >= request.Term && x.role != "primary" {
		return http.StatusConflict, map[string]any{"role": x.role, "term": x.term}
	}
	if x.term >= request.Term {
		return http.StatusOK, map[string]any{"role": x.role, "term": x.term}
	}
	x.role, x.term, x.upstream = "primary", request.Term, ""
	x.saveState()
	x.recordExecution(&connection{}, instanceRequest{Action: "promote"}, "")
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1})
	return http.StatusOK, map[string]any{"role": x.role, "term": x.term}
}

func (x *Instance) onFollow(_ *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if request.Term < x.term || (x.role == "primary" && request.Term == x.term) {
		return http.StatusConflict, map[string]any{}
	}
	x.role, x.upstream, x.term = "replica", request.Upstream, request.Term
	x.saveState()
	return http.StatusOK, map[string]any{}
}
