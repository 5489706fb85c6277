package platformstandin

import (
	"maps"
	"time"

	"tansyseam/test/linehistory"
)

// logEntry is one commit in an instance's log.
type logEntry struct {
	position linehistory.Position
	ids      []string
	values   map[string]string
}

// commitWaiter is a commit that waits until a replica has received it. done is
// then closed.
type commitWaiter struct {
	position linehistory.Position
	done     chan struct{}
}

// commit appends an entry to a primary's log and starts its replication. It
// returns the entry's position and a channel that is closed once a replica has
// received the entry, or at once if SyncReplicas is 0.
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

// replicateTo replicates the primary's log, up to its present length, to a
// replica after the replication delay. It has no effect if, by then, the replica
// has stopped, hung, been paused or restarted or follows another primary, or if
// the primary has stopped, hung or truncated its log below that length.
func (s *Service) replicateTo(from, to *Instance) {
	length, incarnation := len(from.log), to.incarnation
	s.schedule(s.ReplicationDelay, func() {
		replicating := to.upstream == from && to.incarnation == incarnation && to.running && !to.hung && from.running && !from.hung && to.pausedTerm == 0
		if !replicating || length > len(from.log) {
			return
		}
		commonLength := commonPrefixLength(from.log, to.log)
		to.log = append(to.log[:commonLength:commonLength], from.log[commonLength:max(length, commonLength)]...)
		to.term = max(to.term, from.term)
		from.onReplicated(to.lastPosition())
		s.schedule(s.ApplyDelay, to.applyLog)
	})
}

// commonPrefixLength returns the number of entries at the start of two logs that
// are the same in both.
func commonPrefixLength(a, b []logEntry) int {
	length := min(len(a), len(b))
	for length > 0 && a[length-1].position != b[length-1].position {
		length--
	}
	return length
}

// lastPosition returns the position of the last entry in the log, applied or not.
func (i *Instance) lastPosition() linehistory.Position {
	if len(i.log) == 0 {
		return linehistory.Position{}
	}
	return i.log[len(i.log)-1].position
}

// appliedPosition returns the position of the last entry that is visible to
// reads.
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

// onReplicated completes the waiting commits that one replica has received. The
// replica's log ends at position.
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

// truncateTime is the time for which an instance is busy after it has truncated
// its log.
const truncateTime = 50 * time.Millisecond

// follow makes the instance a replica of primary. Entries that primary does not
// have are truncated.
func (i *Instance) follow(primary *Instance) {
	i.primary, i.upstream, i.pausedTerm = false, primary, 0
	if commonLength := commonPrefixLength(i.log, primary.log); commonLength < len(i.log) {
		i.log, i.applied, i.values = i.log[:commonLength:commonLength], 0, map[string]string{}
		i.applyLog()
		i.busyUntil = i.service.group.Now() + truncateTime
	}
	i.commitWaiters = nil
	i.service.replicateTo(primary, i)
	i.triggerHeartbeat()
}

// stepDown makes the instance a replica of the service's primary, unless it is
// that primary itself.
func (i *Instance) stepDown() {
	if s := i.service; s.primary != i {
		i.follow(s.primary)
		i.term = max(i.term, s.primary.term)
	}
}
