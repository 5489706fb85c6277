package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	// drainDuration is the time for which a leaving instance still serves.
	drainDuration = drainTimeout + 1500*time.Millisecond
	// stoppedAnnouncementTime is the time between an instance's announcement
	// that it has stopped and its end.
	stoppedAnnouncementTime = 500 * time.Millisecond
	successorStartDelay     = 300 * time.Millisecond
)

// leave starts the planned end of the instance. After it, a successor with the
// same log and address starts.
func (i *lineInstance) leave() {
	if i.leavingSince != 0 || i.ended {
		return
	}
	i.leavingSince = i.simulator.now
	i.simulator.record("%s is leaving", i.name)
	i.announce(i.info(), announcementRetries)
	i.drain(drainDuration)
}

// drain ends the instance after a span. After a crash, start calls it again with
// the time that is left.
func (i *lineInstance) drain(span time.Duration) {
	i.after(span, func() {
		info := i.info()
		info.Stopped = true
		i.announce(info, announcementRetries)
		i.after(stoppedAnnouncementTime, i.end)
	})
}

func (i *lineInstance) end() {
	i.simulator.record("%s ends", i.name)
	i.crash()
	i.ended = true
	i.fleet.lastNumber++
	i.simulator.after(successorStartDelay, i.startSuccessor)
}

// startSuccessor starts the successor of the instance, with its log, address and
// role.
func (i *lineInstance) startSuccessor() {
	successor := i.fleet.addSuccessor(i)
	successor.role, successor.term, successor.entries, successor.upstream = model.RoleReplica, i.term, slices.Clone(i.entries), i.upstream
	if i.isNewestPrimary() {
		successor.role = model.RolePrimary
	}
	for _, other := range i.fleet.instancesOf(i.database) {
		if other.upstream == i {
			other.upstream = successor
		}
	}
	successor.start()
}

// startReplacement starts a blank replica at the address of an instance that was
// removed for good.
func (l *lineFleet) startReplacement(old *lineInstance) {
	l.lastNumber++
	replacement := l.addSuccessor(old)
	replacement.role, replacement.upstream = model.RoleReplica, l.primaryOf(old.database)
	replacement.start()
}
