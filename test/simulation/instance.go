package simulation

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
	"tansyseam/test/standin"
)

const (
	instanceStartDelay   = time.Millisecond
	announcementInterval = 400 * time.Millisecond
	// outdatedPositionAge is the age of the positions that the defect
	// OutdatedPrimaryPositions reports.
	outdatedPositionAge = 4 * time.Second
	// replicationHold is the time for which a primary holds a replica's request
	// if it has no new entries, replicationTimeout the time for which the replica
	// waits for the answer.
	replicationHold    = 300 * time.Millisecond
	replicationTimeout = 700 * time.Millisecond
	noUpstreamDelay    = 100 * time.Millisecond
	// lostWithoutResetProbability is the probability that the connection stays
	// open after a lost answer.
	lostWithoutResetProbability = 0.5
)

// instance is a simulated back end that pushes its position. It has a log, which
// replicas pull from the primary, and sessions that run statements on the log.
type instance struct {
	machine
	fleet    *fleet
	database string
	role     string
	term     uint64
	entries  []standin.Entry
	// incarnationName changes when the data is lost.
	incarnationName string
	dataLosses      int
	// upstream is the instance that a replica follows.
	upstream         *instance
	replicationDelay time.Duration
	serviceTime      time.Duration
	// leavingSince is the time at which the instance began to leave, 0 if it is
	// not leaving.
	leavingSince int64
	// silent is true if the instance sends no announcements.
	silent bool
	// answersToLose is the number of answers that a fault will still lose.
	answersToLose int
	// claimsClean is true if the defect DirtyConnections is planted.
	claimsClean     bool
	logWaiters      logWaiters
	executions      []standin.Execution
	positionHistory []positionSample

	connections      []*connection
	connectionsMade  int
	openConnections  int
	slots            serviceSlots
	transactionsMade int
}

func (i *instance) position() model.Position {
	if len(i.entries) == 0 {
		return model.Position{}
	}
	last := i.entries[len(i.entries)-1]
	return model.Position{Term: last.Term, Index: last.Index}
}

func (i *instance) info() model.Instance {
	return model.Instance{
		Name: i.name, Database: i.database, Address: i.name, Zone: i.zone, Role: i.role, Incarnation: i.incarnationName, Position: i.position(),
		Term: i.term, Leaving: i.leavingSince != 0, Connections: i.fleet.config.Connections, Slots: i.fleet.config.Slots,
	}
}

func (i *instance) start() {
	i.markStarted()
	i.logWaiters = logWaiters{}
	i.simulator.record("%s up as %s of term %d at %v", i.name, i.role, i.term, i.position())
	i.after(instanceStartDelay, i.announce)
	i.after(instanceStartDelay, i.replicate)
}

// loseData makes the instance a blank replica.
func (i *instance) loseData() {
	i.dataLosses++
	i.incarnationName = fmt.Sprintf("%s.%d", i.name, i.dataLosses)
	i.entries, i.role = nil, model.RoleReplica
	i.simulator.record("%s lost its data", i.name)
}

// append adds an entry of the instance's current term to its log.
func (i *instance) append(requestIDs, texts []string) {
	i.addEntry(standin.Entry{Term: i.term, Index: uint64(len(i.entries)) + 1, RequestIDs: requestIDs, Statements: texts})
}

func (i *instance) addEntry(entry standin.Entry) {
	i.entries = append(i.entries, entry)
	i.logWaiters.wakeAll()
}

// awaitBeyond calls wake once the log is past the position after, or when the
// time-out expires.
func (i *instance) awaitBeyond(after model.Position, timeout time.Duration, wake func()) {
	if after.IsBefore(i.position()) {
		wake()
		return
	}
	i.logWaiters.add(&i.machine, timeout, wake)
}

// positionSample is the position at which the log ended at a time.
type positionSample struct {
	at       time.Duration
	position model.Position
}

// positionBefore returns the position at which the log ended the given time ago.
func (i *instance) positionBefore(age time.Duration) model.Position {
	for _, sample := range slices.Backward(i.positionHistory) {
		if sample.at <= i.simulator.now-age {
			return sample.position
		}
	}
	return model.Position{}
}

// announce periodically sends an announcement of the instance to all nodes and
// control servers.
func (i *instance) announce() {
	i.positionHistory = append(i.positionHistory, positionSample{i.simulator.now, i.position()})
	i.after(announcementInterval, i.announce)
	if i.silent {
		return
	}
	info := i.info()
	for _, node := range i.fleet.nodes {
		i.simulator.send(&i.machine, &node.machine, func() { node.onAnnouncement(info) })
	}
	for _, control := range i.fleet.controls {
		i.simulator.send(&i.machine, &control.machine, func() {
			control.announcements[info.Name] = distribution.Observation{Instance: info, ObservedAt: control.clock()}
		})
	}
}

// logSuffix is the change that a replica has to make to follow its upstream
// instance: truncate its log, or append entries.
type logSuffix struct {
	entries []standin.Entry
	// truncate is true if the log is to be truncated to length.
	truncate bool
	length   int
	term     uint64
}

// replicate continuously pulls entries from the upstream instance.
func (i *instance) replicate() {
	if i.role != model.RoleReplica || i.upstream == nil {
		i.after(noUpstreamDelay, i.replicate)
		return
	}
	upstream, position := i.upstream, i.position()
	attempt := i.beginAttempt(replicationTimeout, i.replicate)
	i.simulator.send(&i.machine, &upstream.machine, func() {
		upstream.awaitBeyond(position, replicationHold, func() {
			suffix := upstream.suffixAfter(position)
			i.simulator.send(&upstream.machine, &i.machine, func() {
				i.after(i.replicationDelay, func() {
					current := i.role == model.RoleReplica && i.upstream == upstream && i.position() == position
					if !attempt.ended && current {
						i.apply(suffix)
					}
					attempt.end()
				})
			})
		})
	})
}

// suffixAfter returns the change for a replica whose log ends at the position. Only
// a primary makes other instances truncate their logs.
func (i *instance) suffixAfter(position model.Position) logSuffix {
	length := int(position.Index)
	tooLong := length > len(i.entries)
	diverged := !tooLong && length > 0 && i.entries[length-1].Term != position.Term
	if (tooLong || diverged) && i.role != model.RolePrimary {
		return logSuffix{term: i.term}
	}
	if tooLong {
		return logSuffix{truncate: true, length: len(i.entries), term: i.term}
	}
	if diverged {
		return logSuffix{truncate: true, length: length - 1, term: i.term}
	}
	return logSuffix{entries: slices.Clone(i.entries[length:]), term: i.term}
}

func (i *instance) apply(suffix logSuffix) {
	if suffix.truncate {
		i.simulator.record("%s cuts its log from %d back to %d", i.name, len(i.entries), suffix.length)
		i.entries = i.entries[:suffix.length]
		return
	}
	for _, entry := range suffix.entries {
		i.addEntry(entry)
	}
	i.term = max(i.term, suffix.term)
}
