package platformstandin

import (
	"maps"
	"time"

	"tansyseam/test/linehistory"
)

// logEntry is one commit.
type logEntry struct {
	position linehistory.Position
	ids      []string
	values   map[string]string
}

// commitWaiter is a commit that waits for replicas.
type commitWaiter struct {
	position linehistory.Position
	done     chan struct{}
}

// commit appends to a primary's log and replicates it; the channel is closed
// once enough replicas have received it.
func (s *Service) commit(primary *Instance, ids []string, values map[string]string) (linehistory.Position, chan struct{}) {
	position := linehistory.Position{Term: primary.term, Index: primary.lastPosition().Index + 1}
	primary.log = append(primary.log, logEntry{position, ids, values})
	primary.applyLog()
	done := make(chan struct{})
	if s.SyncReplicas == 0 {
		close(done)
	} else {
		primary.commitWaiters = append(primary.commitWaiters, commitWaiter{position, done})
	}
	s.replicate(primary)
	return position, done
}

func (s *Service) replicate(primary *Instance) {
	for _, replica := range s.instances {
		if replica != primary && replica.upstream == primary {
			s.replicateTo(primary, replica)
		}
	}
}

// replicateTo brings a replica's log, after the replication delay, to the
// length that the primary's has now.
func (s *Service) replicateTo(from, to *Instance) {
	length, incarnation := len(from.log), to.incarnation
	s.schedule(s.ReplicationDelay, func() {
		linked := to.upstream == from && to.incarnation == incarnation && to.running && !to.hung && from.running && !from.hung && to.pausedTerm == 0
		if !linked || length > len(from.log) {
			return
		}
		same := commonPrefix(from.log, to.log)
		to.log = append(to.log[:same:same], from.log[same:max(length, same)]...)
		to.term = max(to.term, from.term)
		from.onReplicated(to.lastPosition())
		s.schedule(s.ApplyDelay, to.applyLog)
	})
}

// commonPrefix returns the length of what two logs have in common.
func commonPrefix(a, b []logEntry) int {
	length := min(len(a), len(b))
	for length > 0 && a[length-1].position != b[length-1].position {
		length--
	}
	return length
}

// lastPosition returns the position of the last entry that was received.
func (i *Instance) lastPosition() linehistory.Position {
	if len(i.log) == 0 {
		return linehistory.Position{}
	}
	return i.log[len(i.log)-1].position
}

// appliedPosition returns the position that reads see.
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

// onReplicated lets commits be answered that a replica has received.
func (i *Instance) onReplicated(position linehistory.Position) {
	remaining := i.commitWaiters[:0]
	for _, waiter := range i.commitWaiters {
		if position.Covers(waiter.position) && position.Term == waiter.position.Term {
			close(waiter.done)
			continue
		}
		remaining = append(remaining, waiter)
	}
	i.commitWaiters = remaining
}

// truncateTime is how long an instance is busy after it has truncated its log.
const truncateTime = 50 * time.Millisecond

// follow makes the instance a replica of another. Entries that the other does
// not have are truncated.
func (i *Instance) follow(primary *Instance) {
	i.primary, i.upstream, i.pausedTerm = false, primary, 0
	if same := commonPrefix(i.log, primary.log); same < len(i.log) {
		i.log, i.applied, i.values = i.log[:same:same], 0, map[string]string{}
		i.applyLog()
		i.busyUntil = i.service.group.Now() + truncateTime
	}
	i.commitWaiters = nil
	i.service.replicateTo(primary, i)
	i.triggerHeartbeat()
}

// stepDown makes an instance that is primary no longer a replica.
func (i *Instance) stepDown() {
	if s := i.service; s.primary != i {
		i.follow(s.primary)
		i.term = max(i.term, s.primary.term)
	}
}
