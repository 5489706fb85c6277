package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

type pullResponse struct {
	Entries  []Entry `json:"entries"`
	Truncate *uint64 `json:"truncate"`
	Term     uint64  `json:"term"`
}

func (x *Instance) awaitAppend(after Position, delay time.Duration) {
	timer := time.NewTimer(delay)
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

func (x *Instance) onStatus(c *connection, request instanceRequest) (int, any) {
	x.awaitAppend(request.After, time.Duration(min(request.WaitMS, 2000))*time.Millisecond)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return http.StatusOK, x.reply(c, nil)
}

func (x *Instance) onPull(_ *connection, request instanceRequest) (int, any) {
	x.awaitAppend(request.After, time.Duration(min(request.WaitMS, 2000))*time.Millisecond)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	answer := pullResponse{Term: x.term}
	index := int(request.After.Index)
	diverged := index > len(x.entries) || (index > 0 && x.entries[index-1].Term != request.After.Term)
	if x.role != "primary" && diverged {
		return http.StatusOK, answer
	}
	if index > len(x.entries) {
		cut := uint64(len(x.entries))
		answer.Truncate = &cut
		return http.StatusOK, answer
	}
	if index > 0 && x.entries[index-1].Term != request.After.Term {
		cut := uint64(index - 1)
		answer.Truncate = &cut
		return http.StatusOK, answer
	}
	answer.Entries = append(answer.Entries, x.entries[index:min(len(x.entries), index+500)]...)
	return http.StatusOK, answer
}

func (x *Instance) pullLoop(ctx context.Context) {
	client := newClient(x.config.Address, 3*time.Second)
	for ctx.Err() == nil {
		x.mutex.Lock()
		role, upstream, after, delay := x.role, x.upstream, x.position(), x.replicationDelay
		x.mutex.Unlock()
		if role != "replica" || upstream == "" {
			wait(ctx, 50*time.Millisecond)
			continue
		}
		var answer pullResponse
		if err := post(client, upstream, "/db/pull", map[string]any{"after": after, "wait_ms": 500}, &answer); err != nil {
			wait(ctx, 100*time.Millisecond)
			continue
		}
		if len(answer.Entries) > 0 || answer.Truncate != nil {
			wait(ctx, delay)
		}
		x.mutex.Lock()
		if x.role == "replica" && x.upstream == upstream && x.position() == after {
			x.apply(answer)
		}
		x.mutex.Unlock()
	}
}

func (x *Instance) apply(answer pullResponse) {
	if answer.Truncate != nil {
		file, err := os.OpenFile(filepath.Join(x.config.Directory, "discarded.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err == nil {
			for _, entry := range x.entries[*answer.Truncate:] {
				line, _ := json.Marshal(entry)
				_, _ = file.Write(append(line, '\n'))
			}
			_ = file.Close()
		}
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
