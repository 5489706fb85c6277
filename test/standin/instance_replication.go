package standin

import (
	"context"
	"time"
)

const (
	// pullWaitMS is how long a replica has its primary wait for entries, and
	// maxWaitMS the longest wait that is granted; both in milliseconds.
	pullWaitMS = 500
	maxWaitMS  = 2000
	// pullBatch is the number of entries in an answer.
	pullBatch = 500
)

type pullRequest struct {
	After  Position `json:"after"`
	WaitMS int      `json:"wait_ms"`
}

// pullResponse is either entries that follow, or the length to truncate to.
type pullResponse struct {
	Entries  []Entry `json:"entries"`
	Truncate *uint64 `json:"truncate"`
	Term     uint64  `json:"term"`
}

// awaitAppend waits, for a timeout, until the log reaches past a position.
func (x *Instance) awaitAppend(after Position, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		x.mutex.Lock()
		appended, changed := precedes(after, x.position()), x.appended
		x.mutex.Unlock()
		if appended {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

func (x *Instance) onStatus(c *connection, request instanceRequest) result {
	x.awaitAppend(request.After, time.Duration(min(request.WaitMS, maxWaitMS))*time.Millisecond)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return ok(x.reply(c))
}

func (x *Instance) onPull(_ *connection, request instanceRequest) result {
	x.awaitAppend(request.After, time.Duration(min(request.WaitMS, maxWaitMS))*time.Millisecond)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	answer := pullResponse{Term: x.term}
	index := int(request.After.Index)
	if x.holds(request.After) {
		answer.Entries = append(answer.Entries, x.entries[index:min(len(x.entries), index+pullBatch)]...)
		return ok(answer)
	}
	// Only the log of a primary decides what a replica has to cut off.
	if x.role == rolePrimary {
		length := uint64(min(len(x.entries), index-1))
		answer.Truncate = &length
	}
	return ok(answer)
}

// holds reports whether the log has the entry at a position; the caller holds mutex.
func (x *Instance) holds(position Position) bool {
	index := int(position.Index)
	return index == 0 || (index <= len(x.entries) && x.entries[index-1].Term == position.Term)
}

// pullLoop has a replica follow its primary's log until ctx ends.
func (x *Instance) pullLoop(ctx context.Context) {
	client := newClient(x.config.Address, 3*time.Second)
	for ctx.Err() == nil {
		x.mutex.Lock()
		role, upstream, after, delay := x.role, x.upstream, x.position(), x.replicationDelay
		x.mutex.Unlock()
		if role != roleReplica || upstream == "" {
			wait(ctx, 50*time.Millisecond)
			continue
		}
		var answer pullResponse
		if _, err := post(client, upstream, "/db/pull", pullRequest{After: after, WaitMS: pullWaitMS}, &answer); err != nil {
			wait(ctx, 100*time.Millisecond)
			continue
		}
		if len(answer.Entries) > 0 || answer.Truncate != nil {
			wait(ctx, delay)
		}
		x.mutex.Lock()
		if x.role == roleReplica && x.upstream == upstream && x.position() == after {
			x.apply(answer)
		}
		x.mutex.Unlock()
	}
}

// apply takes a primary's answer; the caller holds mutex.
func (x *Instance) apply(answer pullResponse) {
	if answer.Truncate != nil {
		x.saveDiscarded(x.entries[*answer.Truncate:])
		x.entries = x.entries[:*answer.Truncate]
		_ = x.rewriteLog()
		return
	}
	for _, entry := range answer.Entries {
		x.appendEntry(entry)
	}
	if answer.Term > x.term {
		x.term = answer.Term
		x.saveState()
	}
}
