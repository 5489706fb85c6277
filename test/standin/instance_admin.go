package standin

import (
	"net/http"
	"time"
)

// Fault changes the faults that an instance simulates. A nil field leaves its
// fault unchanged.
type Fault struct {
	// Slowdown is the factor by which the service time of statements is
	// multiplied.
	Slowdown *float64 `json:"slow,omitempty"`
	// ReplicationDelayMS is the delay before the instance applies entries that
	// it has pulled, in milliseconds.
	ReplicationDelayMS *int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of requests that the instance carries out and
	// whose connection it then closes without an answer.
	LoseAnswers *int `json:"lose,omitempty"`
	// ResetConnections is the number of statements whose connection the
	// instance closes before it runs them.
	ResetConnections *int `json:"reset,omitempty"`
	// Silent is true if the instance sends no announcements.
	Silent *bool `json:"silent,omitempty"`
	// Leaving is true if the instance announces that it is leaving.
	Leaving *bool `json:"leaving,omitempty"`
	// MisreportClean makes the instance report every session as clean, even if
	// the session has an open transaction, settings or prepared statements.
	MisreportClean *bool `json:"lying,omitempty"`
	// RepeatedShare is the share of answers in sessions that the instance sends
	// again, up to 60 ms later.
	RepeatedShare *float64 `json:"repeat,omitempty"`
}

// setIfGiven sets *to to *from, unless from is nil.
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
	setIfGiven(fault.LoseAnswers, &i.answersToLose)
	setIfGiven(fault.ResetConnections, &i.connectionsToReset)
	setIfGiven(fault.Silent, &i.silent)
	setIfGiven(fault.MisreportClean, &i.misreportClean)
	setIfGiven(fault.RepeatedShare, &i.repeatedShare)
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

// roleReply is the answer to a promotion.
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
