package standin

import (
	"net/http"
	"time"
)

// Fault changes how an instance misbehaves. Fields that are nil leave things
// as they are.
type Fault struct {
	// Slowdown multiplies the time of statements.
	Slowdown *float64 `json:"slow,omitempty"`
	// ReplicationDelayMS delays what the instance pulls, in milliseconds.
	ReplicationDelayMS *int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of answers to lose after the work is done.
	LoseAnswers *int `json:"lose,omitempty"`
	// ResetConnections is the number of statements that end their connection.
	ResetConnections *int `json:"reset,omitempty"`
	// Silent stops announcements.
	Silent *bool `json:"silent,omitempty"`
	// Leaving announces that the instance is about to leave.
	Leaving *bool `json:"leaving,omitempty"`
	// MisreportClean calls every session clean, whatever state it holds.
	MisreportClean *bool `json:"lying,omitempty"`
}

// setIfGiven sets a value where a new one is given.
func setIfGiven[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

func (x *Instance) onFault(_ *connection, request instanceRequest) result {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	fault := request.Fault
	if fault == nil {
		return result{http.StatusBadRequest, struct{}{}}
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
	return ok(struct{}{})
}

// roleReply answers a promotion.
type roleReply struct {
	Role string `json:"role"`
	Term uint64 `json:"term"`
}

func (x *Instance) roleReply() roleReply { return roleReply{x.role, x.term} }

func (x *Instance) onPromote(_ *connection, request instanceRequest) result {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.term >= request.Term && x.role != rolePrimary {
		return result{http.StatusConflict, x.roleReply()}
	}
	if x.term >= request.Term {
		return ok(x.roleReply())
	}
	x.role, x.term, x.upstream = rolePrimary, request.Term, ""
	x.saveState()
	x.recordExecution(&connection{}, instanceRequest{Action: "promote"}, "")
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1})
	return ok(x.roleReply())
}

func (x *Instance) onFollow(_ *connection, request instanceRequest) result {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if request.Term < x.term || (x.role == rolePrimary && request.Term == x.term) {
		return result{http.StatusConflict, struct{}{}}
	}
	x.role, x.upstream, x.term = roleReplica, request.Upstream, request.Term
	x.saveState()
	return ok(struct{}{})
}
