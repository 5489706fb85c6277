package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	maxCrashDelay  = 2 * time.Second
	minLag         = 200 * time.Millisecond
	maxLag         = 3 * time.Second
	minSlowService = 50 * time.Millisecond
	maxSlowService = 900 * time.Millisecond
	// A replaced instance leaves for replacementLeavingTime, and is then down for
	// replacementDownTime. replacementInterval is the time from one replacement
	// to the next, in which the new instance catches up.
	replacementLeavingTime = 4 * time.Second
	replacementDownTime    = time.Second
	replacementInterval    = 9 * time.Second
)

func (f *fleet) randomInstance() *instance { return pickRandom(f.simulator, f.instances) }

// randomPrimary returns the primary of a random database, or nil.
func (f *fleet) randomPrimary() *instance {
	return f.currentPrimary(pickRandom(f.simulator, f.databases))
}

// instancesOf returns the instances of a database.
func (f *fleet) instancesOf(database string) []*instance {
	var found []*instance
	for _, instance := range f.instances {
		if instance.database == database {
			found = append(found, instance)
		}
	}
	return found
}

func (f *fleet) crashInstance(duration time.Duration) {
	instance := f.randomInstance()
	instance.crashAndRestart(instance.start, duration)
}

func (f *fleet) crashPrimary(duration time.Duration) {
	if primary := f.randomPrimary(); primary != nil {
		primary.crashAndRestart(primary.start, duration)
	}
}

func (f *fleet) freezePrimary(duration time.Duration) {
	if primary := f.randomPrimary(); primary != nil {
		primary.freezeFor(duration)
	}
}

func (f *fleet) resetConnections(time.Duration) {
	for _, connection := range slices.Clone(f.randomInstance().connections) {
		connection.reset()
	}
}

// isolateReplicaAndCrashPrimary blocks the link from a primary to one of its
// replicas, and crashes the primary soon after, so that the replica lacks the last
// entries.
func (f *fleet) isolateReplicaAndCrashPrimary(duration time.Duration) {
	database := pickRandom(f.simulator, f.databases)
	primary := f.currentPrimary(database)
	if primary == nil {
		return
	}
	for _, replica := range f.instancesOf(database) {
		if replica != primary {
			f.simulator.blockLink(link{primary.name, replica.name}, duration)
			break
		}
	}
	f.afterUnlessRepaired(f.simulator.randomDuration(0, maxCrashDelay), func() { primary.crashAndRestart(primary.start, duration) })
}

// isolateReplica blocks the messages to an instance from the other instances of
// its database.
func (f *fleet) isolateReplica(duration time.Duration) {
	isolated := f.randomInstance()
	for _, other := range f.instancesOf(isolated.database) {
		if other != isolated {
			f.simulator.blockLink(link{other.name, isolated.name}, duration)
		}
	}
}

func (f *fleet) delayReplication(duration time.Duration) {
	instance := f.randomInstance()
	setFor(f.simulator, duration, &instance.replicationDelay, f.simulator.randomDuration(minLag, maxLag), defaultReplicationDelay)
}

func (f *fleet) slowInstance(duration time.Duration) {
	instance := f.randomInstance()
	setFor(f.simulator, duration, &instance.serviceTime, f.simulator.randomDuration(minSlowService, maxSlowService), defaultServiceTime)
}

func (f *fleet) haveInstanceLeave(duration time.Duration) {
	instance := f.randomInstance()
	if instance.leavingSince != 0 {
		return
	}
	setFor(f.simulator, duration, &instance.leavingSince, int64(f.simulator.now), 0)
}

func (f *fleet) silenceInstance(duration time.Duration) {
	instance := f.randomInstance()
	setFor(f.simulator, duration, &instance.silent, true, false)
}

// loseInstanceData crashes an instance and deletes its data, if its database is
// healthy and has at least two candidates. It does nothing if an instance already
// lost its data in the run.
func (f *fleet) loseInstanceData(duration time.Duration) {
	instance := f.randomInstance()
	if f.hasLostData() || !f.isHealthy(instance.database) || len(f.writerRole(instance.database).Candidates) < 2 {
		return
	}
	instance.crashAndRestart(instance.start, duration)
	instance.loseData()
	for _, other := range f.instancesOf(instance.database) {
		if other != instance && instance.upstream == nil {
			instance.upstream = other
		}
	}
}

func (f *fleet) hasLostData() bool {
	return slices.ContainsFunc(f.instances, func(i *instance) bool { return i.dataLosses > 0 })
}

// isHealthy reports whether the writer role of a database is open at its current
// primary, and all instances of the database run and are in the primary's term.
func (f *fleet) isHealthy(database string) bool {
	writer, primary := f.writerRole(database), f.currentPrimary(database)
	if primary == nil || writer.Phase != model.PhaseOpen || primary.term != writer.Term {
		return false
	}
	for _, instance := range f.instancesOf(database) {
		if !instance.running || instance.frozen || instance.position().Term != primary.position().Term {
			return false
		}
	}
	return true
}

func (f *fleet) replaceInstancesInTurn(time.Duration) {
	if f.faults.replacingInstances {
		return
	}
	f.faults.replacingInstances = true
	delay := time.Duration(0)
	for _, instance := range f.instancesOf(pickRandom(f.simulator, f.databases)) {
		f.afterUnlessRepaired(delay, func() { f.replaceInstance(instance) })
		delay += replacementInterval
	}
}

// replaceInstance makes an instance leave, and then replaces it by a blank one. It
// does not replace an instance that is the primary or the only candidate by then,
// because the database needs its data.
func (f *fleet) replaceInstance(instance *instance) {
	if !f.isHealthy(instance.database) {
		return
	}
	instance.leavingSince = int64(f.simulator.now)
	f.afterUnlessRepaired(replacementLeavingTime, func() {
		writer := f.writerRole(instance.database)
		_, candidate := writer.Candidates[instance.name]
		needed := writer.Primary == instance.name || (candidate && len(writer.Candidates) < 2)
		instance.leavingSince = 0
		if needed || !f.isHealthy(instance.database) {
			return
		}
		instance.crashAndRestart(instance.start, replacementDownTime)
		instance.loseData()
		instance.upstream = f.findInstance(writer.Primary)
	})
}
