package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	lineReplicationHold    = 120 * time.Millisecond
	lineReplicationTimeout = 300 * time.Millisecond
	lineNoUpstreamDelay    = 50 * time.Millisecond
	// maxQueueLength limits the number of statements that wait for a slot.
	maxQueueLength = 12
)

// logEntry is one commit in the log of an instance.
type logEntry struct {
	term     uint64
	writeIDs []string
}

// pendingCommit is a commit that no replica has acknowledged yet.
type pendingCommit struct {
	position model.Position
	done     func()
}

// lineInstance is an instance that replicates synchronously: its log entries are
// numbered, and a commit is acknowledged once one replica has received it.
type lineInstance struct {
	machine
	fleet    *lineFleet
	database string
	address  string
	role     string
	term     uint64
	entries  []logEntry
	// upstream is the instance that a replica follows.
	upstream         *lineInstance
	replicationDelay time.Duration
	serviceTime      time.Duration
	sessions         []*serverSession
	slots            serviceSlots
	pendingCommits   []pendingCommit
	logWaiters       logWaiters
	// lastAnnouncementNumber is the number of the last announcement.
	lastAnnouncementNumber uint64
	// leavingSince is the time at which the instance started to leave; 0 if it
	// is not leaving.
	leavingSince time.Duration
	// leavingAcknowledged is the time at which control acknowledged an
	// announcement that the instance is leaving; 0 if it has not.
	leavingAcknowledged time.Duration
	// ended is true once the instance has been removed for good.
	ended bool
	// answersToLose is the number of answers that a fault still loses.
	answersToLose int
	// repeatsAnswers is true while a fault makes the instance send answers twice.
	repeatsAnswers bool
	statementCount int
}

func (i *lineInstance) position() model.Position {
	if len(i.entries) == 0 {
		return model.Position{}
	}
	return model.Position{Term: i.entries[len(i.entries)-1].term, Index: uint64(len(i.entries))}
}

// holds reports whether the log has the entry at a position.
func (i *lineInstance) holds(position model.Position) bool {
	index := int(position.Index)
	return index == 0 || (index <= len(i.entries) && i.entries[index-1].term == position.Term)
}

func (i *lineInstance) start() {
	i.markStarted()
	i.logWaiters = logWaiters{}
	i.sessions, i.pendingCommits = nil, nil
	i.slots.reset()
	if i.fleet.newestTerms[i.database] > i.term {
		i.role = model.RoleReplica
	}
	i.simulator.record("%s up as %s of term %d at %v", i.name, i.role, i.term, i.position())
	i.after(instanceStartDelay, i.heartbeat)
	i.after(instanceStartDelay, i.replicate)
	if i.role == model.RolePrimary && i.term > 1 {
		i.redirectReplicas()
	}
	if i.leavingSince != 0 {
		i.drain(max(i.leavingSince+drainDuration-i.simulator.now, 0))
	}
}

func (i *lineInstance) onCrash(vanished bool) {
	for _, session := range slices.Clone(i.sessions) {
		session.closed = true
		if !vanished {
			session.connection.breakOff()
		}
	}
	i.sessions = nil
}

// append adds a commit to the log, and calls done once a replica has received it.
func (i *lineInstance) append(writeIDs []string, done func()) model.Position {
	i.entries = append(i.entries, logEntry{term: i.term, writeIDs: writeIDs})
	position := i.position()
	i.fleet.checker.checkCommit(writeIDs, position)
	i.pendingCommits = append(i.pendingCommits, pendingCommit{position: position, done: done})
	i.logWaiters.wakeAll()
	return position
}

// onReceived handles the acknowledgement of a replica that has received the log
// up to a position.
func (i *lineInstance) onReceived(position model.Position) {
	if i.role != model.RolePrimary {
		return
	}
	var pending []pendingCommit
	for _, commit := range i.pendingCommits {
		if commit.position.Index <= position.Index && i.holds(position) {
			commit.done()
			continue
		}
		pending = append(pending, commit)
	}
	i.pendingCommits = pending
}

// awaitLogGrowth calls wake once the log is longer than a size, or after a
// time-out.
func (i *lineInstance) awaitLogGrowth(size int, timeout time.Duration, wake func()) {
	if len(i.entries) > size {
		wake()
		return
	}
	i.logWaiters.add(&i.machine, timeout, wake)
}

// replicate repeatedly requests the log of the upstream instance. Each request
// acknowledges the entries received so far.
func (i *lineInstance) replicate() {
	if i.role != model.RoleReplica || i.upstream == nil || i.upstream == i {
		i.after(lineNoUpstreamDelay, i.replicate)
		return
	}
	upstream, position := i.upstream, i.position()
	attempt := i.beginAttempt(lineReplicationTimeout, i.replicate)
	i.simulator.send(&i.machine, &upstream.machine, func() {
		if upstream.role != model.RolePrimary {
			return
		}
		upstream.onReceived(position)
		size := 0
		if upstream.holds(position) {
			size = len(i.entries)
		}
		upstream.awaitLogGrowth(size, lineReplicationHold, func() {
			entries, term := upstream.entries, upstream.term
			i.simulator.send(&upstream.machine, &i.machine, func() {
				i.after(i.replicationDelay, func() {
					current := i.role == model.RoleReplica && i.upstream == upstream && i.position() == position
					if !attempt.ended && current && term >= i.term {
						i.adoptLog(entries, term)
					}
					attempt.end()
				})
			})
		})
	})
}

// adoptLog replaces the log by that of the primary, and acknowledges it. Entries
// that differ from the primary's are removed.
func (i *lineInstance) adoptLog(entries []logEntry, term uint64) {
	commonLength := min(len(entries), len(i.entries))
	for commonLength > 0 && entries[commonLength-1].term != i.entries[commonLength-1].term {
		commonLength--
	}
	if commonLength < len(i.entries) {
		i.simulator.record("%s truncates its log from %d to %d", i.name, len(i.entries), commonLength)
		i.entries = slices.Clone(i.entries[:commonLength])
	}
	i.entries = append(i.entries, entries[commonLength:]...)
	i.term = max(i.term, term)
	upstream, position := i.upstream, i.position()
	i.simulator.send(&i.machine, &upstream.machine, func() { upstream.onReceived(position) })
}

// isOverloaded reports whether the instance accepts no more work.
func (i *lineInstance) isOverloaded() bool { return i.slots.waiting() > maxQueueLength }

// runInSlot runs work once a slot is free, and reports whether the work was
// accepted. It is refused if too much work is waiting. The work holds the slot
// until it calls release.
func (i *lineInstance) runInSlot(work func(release func())) bool {
	if i.isOverloaded() {
		return false
	}
	i.slots.run(func() { work(once(i.slots.release)) })
	return true
}
