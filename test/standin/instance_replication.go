package standin

import (
	"context"
	"time"
)

const (
	// pullWaitMS is how long a replica asks its primary to wait for new entries,
	// in milliseconds.
	pullWaitMS = 500
	// maxWaitMS is the longest time that an instance waits for new entries on
	// request, in milliseconds.
	maxWaitMS = 2000
	// pullBatch is the maximum number of entries in an answer.
	pullBatch = 500
)

type pullRequest struct {
	After  Position `json:"after"`
	WaitMS int      `json:"wait_ms"`
}

// pullResponse contains either the entries after the requested position or the
// length to which the replica must truncate its log.
type pullResponse struct {
	Entries  []Entry `json:"entries"`
	Truncate *uint64 `json:"truncate"`
	Term     uint64  `json:"term"`
}

// awaitAppend waits, at most for timeout, until the last log entry is after a
// position.
func (i *Instance) awaitAppend(after Position, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		i.mutex.Lock()
		appended, changed := precedes(after, i.position()), i.appended
		i.mutex.Unlock()
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

func (i *Instance) onStatus(c *connection, request instanceRequest) result {
	i.awaitAppend(request.After, time.Duration(min(request.WaitMS, maxWaitMS))*time.Millisecond)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return ok(i.reply(c))
}

func (i *Instance) onPull(_ *connection, request instanceRequest) result {
	i.awaitAppend(request.After, time.Duration(min(request.WaitMS, maxWaitMS))*time.Millisecond)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	answer := pullResponse{Term: i.term}
	index := int(request.After.Index)
	if i.holds(request.After) {
		answer.Entries = append(answer.Entries, i.entries[index:min(len(i.entries), index+pullBatch)]...)
		return ok(answer)
	}
	// Only the log of a primary determines which entries a replica truncates.
	if i.role == rolePrimary {
		length := uint64(min(len(i.entries), index-1))
		answer.Truncate = &length
	}
	return ok(answer)
}

// holds reports whether the log contains the entry at a position. The caller
// must hold mutex.
func (i *Instance) holds(position Position) bool {
	index := int(position.Index)
	return index == 0 || (index <= len(i.entries) && i.entries[index-1].Term == position.Term)
}

// pullLoop replicates the primary's log while the instance is a replica, until
// ctx ends.
func (i *Instance) pullLoop(ctx context.Context) {
	client := newClient(i.config.Address, 3*time.Second)
	for ctx.Err() == nil {
		i.mutex.Lock()
		role, upstream, after, delay := i.role, i.upstream, i.position(), i.replicationDelay
		i.mutex.Unlock()
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
		i.mutex.Lock()
		if i.role == roleReplica && i.upstream == upstream && i.position() == after {
			i.apply(answer)
		}
		i.mutex.Unlock()
	}
}

// apply appends the entries of a primary's answer or truncates the log. The
// caller must hold mutex.
func (i *Instance) apply(answer pullResponse) {
	if answer.Truncate != nil {
		i.saveDiscarded(i.entries[*answer.Truncate:])
		i.entries = i.entries[:*answer.Truncate]
		_ = i.rewriteLog()
		return
	}
	for _, entry := range answer.Entries {
		i.appendEntry(entry)
	}
	if answer.Term > i.term {
		i.term = answer.Term
		i.saveState()
	}
}
