package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	// drainDuration is how long an instance that leaves still serves.
	drainDuration = drainTimeout + 1500*time.Millisecond
	// stoppedAnnouncementTime is how long an instance that has stopped goes on
	// to announce that.
	stoppedAnnouncementTime = 500 * time.Millisecond
	successorStartDelay     = 300 * time.Millisecond
)

// leave has the instance end as planned. A successor takes over its log and
// address.
func (i *lineInstance) leave() {
	if i.leavingSince != 0 || i.ended {
		return
	}
	i.leavingSince = i.simulator.now
	i.simulator.record("%s is leaving", i.name)
	i.announce(i.info(), announcementRetries)
	i.drain(drainDuration)
}

// drain ends the instance after a span; start takes it up again after a crash.
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

// startSuccessor starts the instance that takes over from this one.
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

// startReplacement starts a blank replica at the address of an instance that
// is gone for good.
func (l *lineFleet) startReplacement(old *lineInstance) {
	l.lastNumber++
	replacement := l.addSuccessor(old)
	replacement.role, replacement.upstream = model.RoleReplica, l.primaryOf(old.database)
	replacement.start()
}
