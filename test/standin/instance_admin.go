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

func (i *Instance) onFault(_ *connection, request instanceRequest) result {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	fault := request.Fault
	if fault == nil {
		return result{http.StatusBadRequest, struct{}{}}
	}
	setIfGiven(fault.Slowdown, &i.slowdown)
	setIfGiven(fault.LoseAnswers, &i.loseAnswers)
	setIfGiven(fault.ResetConnections, &i.resetConnections)
	setIfGiven(fault.Silent, &i.silent)
	setIfGiven(fault.MisreportClean, &i.misreportClean)
	if fault.ReplicationDelayMS != nil {
		i.replicationDelay = time.Duration(*fault.ReplicationDelayMS) * time.Millisecond
	}
	if fault.Leaving != nil {
		i.leavingSince = 0
		if *fault.Leaving {
			i.leavingSince = time.Now().UnixNano()
		}
	}
	return ok(struct{}{})
}

// roleReply answers a promotion.
type roleReply struct {
	Role string `json:"role"`
	Term uint64 `json:"term"`
}

func (i *Instance) roleReply() roleReply { return roleReply{i.role, i.term} }

func (i *Instance) onPromote(_ *connection, request instanceRequest) result {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.term >= request.Term && i.role != rolePrimary {
		return result{http.StatusConflict, i.roleReply()}
	}
	if i.term >= request.Term {
		return ok(i.roleReply())
	}
	i.role, i.term, i.upstream = rolePrimary, request.Term, ""
	i.saveState()
	i.recordExecution(&connection{}, instanceRequest{Action: "promote"}, "")
	i.appendEntry(Entry{Term: i.term, Index: i.position().Index + 1})
	return ok(i.roleReply())
}

func (i *Instance) onFollow(_ *connection, request instanceRequest) result {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if request.Term < i.term || (i.role == rolePrimary && request.Term == i.term) {
		return result{http.StatusConflict, struct{}{}}
	}
	i.role, i.upstream, i.term = roleReplica, request.Upstream, request.Term
	i.saveState()
	return ok(struct{}{})
}
