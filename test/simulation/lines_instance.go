package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
)

const (
	lineAnnouncementTimeout = 200 * time.Millisecond
	announcementRetries     = 2
	lineReplicationHold     = 120 * time.Millisecond
	lineReplicationTimeout  = 300 * time.Millisecond
	lineNoUpstreamDelay     = 50 * time.Millisecond
	// maxQueueLength bounds the statements that wait for a slot.
	maxQueueLength = 12

	lineRedirectInterval = 200 * time.Millisecond
	lineRedirectAttempts = 200
	// stepDownDelay is how long an old primary takes to follow a new one.
	stepDownDelay = time.Second
)

// logEntry is one commit in the log of an instance.
type logEntry struct {
	term     uint64
	writeIDs []string
}

// pendingCommit is a commit that no replica has received yet.
type pendingCommit struct {
	position model.Position
	done     func()
}

// lineInstance is an instance that replicates synchronously: its log is
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
	busySlots        int
	queue            []func()
	pendingCommits   []pendingCommit
	logWaiters       logWaiters
	// announcementsMade numbers the announcements.
	announcementsMade uint64
	// leavingSince is when the instance was told to leave, and
	// leavingAcknowledged when control knew it; 0 for not.
	leavingSince        time.Duration
	leavingAcknowledged time.Duration
	// ended says that the instance is gone for good.
	ended bool
	// answersToLose counts the answers that a fault loses.
	answersToLose  int
	statementsMade int
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
	i.sessions, i.busySlots, i.queue, i.pendingCommits = nil, 0, nil, nil
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

// info gives the next announcement of the instance.
func (i *lineInstance) info() model.Instance {
	i.announcementsMade++
	return model.Instance{
		Name: i.name, Database: i.database, Address: i.address, Zone: i.zone, Role: i.role, Leaving: i.leavingSince != 0,
		Slots: i.fleet.config.Slots, SyncReplication: true, AnnouncementNumber: i.announcementsMade,
	}
}

func (i *lineInstance) heartbeat() {
	i.after(announcementInterval, i.heartbeat)
	i.announce(i.info(), announcementRetries)
}

// announce sends an announcement to any control server, which passes it to the
// primary before it answers.
func (i *lineInstance) announce(info model.Instance, retries int) {
	first := pickRandom(i.simulator, i.fleet.controls)
	answered := false
	i.simulator.send(&i.machine, &first.machine, func() {
		primary := i.fleet.findControl(first.consensus.Record().Primary)
		if primary == nil {
			return
		}
		i.simulator.send(&first.machine, &primary.machine, func() {
			if !primary.isPrimary() {
				return
			}
			primary.onAnnouncement(info)
			i.simulator.sendAlong([]*machine{&primary.machine, &first.machine, &i.machine}, func() {
				answered = true
				if info.Leaving && i.leavingAcknowledged == 0 {
					i.leavingAcknowledged = i.simulator.now
				}
			})
		})
	})
	i.after(lineAnnouncementTimeout, func() {
		if !answered && retries > 0 {
			i.announce(info, retries-1)
		}
	})
}

// onAnnouncement takes in an announcement, unless a newer one is known.
func (c *controlServer) onAnnouncement(info model.Instance) {
	if last, known := c.announcements[info.Name]; known && info.AnnouncementNumber <= last.Instance.AnnouncementNumber {
		return
	}
	c.announcements[info.Name] = distribution.Observation{Instance: info, ObservedAt: c.clock()}
	if c.distributor.UpdateInstances(c.announcementsByName()) {
		c.flushUpdates()
	}
}

// append adds a commit to the log; done is called once a replica has received
// it.
func (i *lineInstance) append(writeIDs []string, done func()) model.Position {
	i.entries = append(i.entries, logEntry{term: i.term, writeIDs: writeIDs})
	position := i.position()
	i.fleet.checker.checkCommit(writeIDs, position)
	i.pendingCommits = append(i.pendingCommits, pendingCommit{position: position, done: done})
	i.logWaiters.wakeAll()
	return position
}

// onReceived takes in that a replica has received the log up to a position.
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

// awaitLonger calls a function once the log is longer than a size, or after a
// time-out.
func (i *lineInstance) awaitLonger(size int, timeout time.Duration, wake func()) {
	if len(i.entries) > size {
		wake()
		return
	}
	i.logWaiters.add(&i.machine, timeout, wake)
}

// replicate pulls from the primary that is known, again and again. The request
// acknowledges what has been received.
func (i *lineInstance) replicate() {
	if i.role != model.RoleReplica || i.upstream == nil || i.upstream == i {
		i.after(lineNoUpstreamDelay, i.replicate)
		return
	}
	upstream, position := i.upstream, i.position()
	finished := false
	again := func() {
		if !finished {
			finished = true
			i.replicate()
		}
	}
	i.after(lineReplicationTimeout, again)
	i.simulator.send(&i.machine, &upstream.machine, func() {
		if upstream.role != model.RolePrimary {
			return
		}
		upstream.onReceived(position)
		size := 0
		if upstream.holds(position) {
			size = len(i.entries)
		}
		upstream.awaitLonger(size, lineReplicationHold, func() {
			entries, term := upstream.entries, upstream.term
			i.simulator.send(&upstream.machine, &i.machine, func() {
				i.after(i.replicationDelay, func() {
					current := i.role == model.RoleReplica && i.upstream == upstream && i.position() == position
					if !finished && current && term >= i.term {
						i.adoptLog(entries, term)
					}
					again()
				})
			})
		})
	})
}

// adoptLog makes the log that of the primary, and acknowledges it.
func (i *lineInstance) adoptLog(entries []logEntry, term uint64) {
	common := min(len(entries), len(i.entries))
	for common > 0 && entries[common-1].term != i.entries[common-1].term {
		common--
	}
	if common < len(i.entries) {
		i.simulator.record("%s is cut back from %d to %d", i.name, len(i.entries), common)
		i.entries = slices.Clone(i.entries[:common])
	}
	i.entries = append(i.entries, entries[common:]...)
	i.term = max(i.term, term)
	upstream, position := i.upstream, i.position()
	i.simulator.send(&i.machine, &upstream.machine, func() { upstream.onReceived(position) })
}

// becomePrimary makes the instance primary of a term, and has the others
// follow.
func (i *lineInstance) becomePrimary(term uint64) {
	i.role, i.term, i.pendingCommits = model.RolePrimary, term, nil
	i.fleet.newestTerms[i.database] = term
	i.simulator.record("%s leads term %d at %v", i.name, term, i.position())
	i.fleet.checker.checkComplete(i, "the promoted one")
	i.announce(i.info(), announcementRetries)
	i.redirectReplicas()
}

// redirectReplicas has the others follow; a primary that starts again does so
// anew.
func (i *lineInstance) redirectReplicas() {
	for _, other := range i.fleet.instancesOf(i.database) {
		if other != i {
			i.redirect(other, i.term, lineRedirectAttempts)
		}
	}
}

// redirect has an instance follow, and tries again until it has received it.
func (i *lineInstance) redirect(other *lineInstance, term uint64, attempts int) {
	if attempts == 0 || i.term != term || other.ended {
		return
	}
	delivered := false
	i.simulator.send(&i.machine, &other.machine, func() {
		delivered = true
		if other.term >= term {
			return
		}
		if other.role == model.RolePrimary {
			other.after(stepDownDelay, func() { other.stepDown(term, i) })
			return
		}
		other.term, other.upstream = term, i
	})
	i.after(lineRedirectInterval, func() {
		if !delivered {
			i.redirect(other, term, attempts-1)
		}
	})
}

// stepDown makes a primary follow that of a newer term. Sessions with a commit
// in flight end.
func (i *lineInstance) stepDown(term uint64, primary *lineInstance) {
	if i.term >= term {
		return
	}
	i.simulator.record("%s steps down for term %d", i.name, term)
	i.role, i.term, i.upstream, i.pendingCommits = model.RoleReplica, term, primary, nil
	for _, session := range slices.Clone(i.sessions) {
		if session.committing {
			session.close()
			session.connection.breakOff()
		}
	}
	i.announce(i.info(), announcementRetries)
}

// isOverloaded reports whether the instance takes no more work.
func (i *lineInstance) isOverloaded() bool { return len(i.queue) > maxQueueLength }

// runInSlot runs work once a slot is free; it gives false where too much work
// waits. The slot is free again when the work calls release.
func (i *lineInstance) runInSlot(work func(release func())) bool {
	if i.isOverloaded() {
		return false
	}
	run := func() {
		i.busySlots++
		work(once(i.releaseSlot))
	}
	if i.busySlots >= i.fleet.config.Slots {
		i.queue = append(i.queue, run)
		return true
	}
	run()
	return true
}

func (i *lineInstance) releaseSlot() {
	i.busySlots--
	if len(i.queue) > 0 {
		next := i.queue[0]
		i.queue = i.queue[1:]
		next()
	}
}
