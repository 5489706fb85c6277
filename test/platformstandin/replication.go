package platformstandin

import (
	"maps"
	"time"

	"tansyseam/test/linehistory"
)

type logEntry struct {
	position linehistory.Position
	ids      []string
	values   map[string]string
}

type commitWaiter struct {
	position linehistory.Position
	done     chan struct{}
}

// commit appends to a primary's log and sends it on; the channel is closed
// once enough replicas have received it.
func (s *Service) commit(primary *Instance, ids []string, values map[string]string) (linehistory.Position, chan struct{}) {
	at := linehistory.Position{Term: primary.term, Index: primary.lastPosition().Index + 1}
	primary.log = append(primary.log, logEntry{at, ids, values})
	primary.applyLog()
	done := make(chan struct{})
	if s.SyncReplicas == 0 {
		close(done)
	} else {
		primary.commitWaiters = append(primary.commitWaiters, commitWaiter{at, done})
	}
	s.replicate(primary)
	return at, done
}

func (s *Service) replicate(primary *Instance) {
	for _, one := range s.instances {
		if one != primary && one.upstream == primary {
			s.replicateTo(primary, one)
		}
	}
}

// replicateTo brings a replica's log to where the primary's is now.
func (s *Service) replicateTo(from, to *Instance) {
	position, incarnation := len(from.log), to.incarnation
	s.schedule(s.ReplicationDelay, func() {
		linked := to.upstream == from && to.incarnation == incarnation && to.running && !to.hung && from.running && !from.hung && to.pausedTerm == 0
		if !linked || position > len(from.log) {
			return
		}
		same := commonPrefix(from.log, to.log)
		to.log = append(to.log[:same:same], from.log[same:max(position, same)]...)
		to.term = max(to.term, from.term)
		from.onReplicated(to.lastPosition())
		s.schedule(s.ApplyDelay, to.applyLog)
	})
}

func commonPrefix(a, b []logEntry) int {
	at := min(len(a), len(b))
	for at > 0 && a[at-1].position != b[at-1].position {
		at--
	}
	return at
}

func (i *Instance) lastPosition() linehistory.Position {
	if len(i.log) == 0 {
		return linehistory.Position{}
	}
	return i.log[len(i.log)-1].position
}

func (i *Instance) appliedPosition() linehistory.Position {
	if i.applied == 0 {
		return linehistory.Position{}
	}
	return i.log[i.applied-1].position
}

func (i *Instance) applyLog() {
	for i.applied < len(i.log) {
		maps.Copy(i.values, i.log[i.applied].values)
		i.applied++
	}
}

func (i *Instance) onReplicated(position linehistory.Position) {
	kept := i.commitWaiters[:0]
	for _, one := range i.commitWaiters {
		if position.Covers(one.position) && position.Term == one.position.Term {
			close(one.done)
			continue
		}
		kept = append(kept, one)
	}
	i.commitWaiters = kept
}

// follow makes it a replica of another; what it has beyond that is cut back.
func (i *Instance) follow(primary *Instance) {
	i.primary, i.upstream, i.pausedTerm = false, primary, 0
	if same := commonPrefix(i.log, primary.log); same < len(i.log) {
		i.log, i.applied, i.values = i.log[:same:same], 0, map[string]string{}
		i.applyLog()
		i.busyUntil = i.service.group.Now() + 50*time.Millisecond
	}
	i.commitWaiters = nil
	i.service.replicateTo(primary, i)
	i.triggerHeartbeat()
}

func (i *Instance) stepDown() {
	if s := i.service; s.primary != i {
		i.follow(s.primary)
		i.term = max(i.term, s.primary.term)
	}
}
