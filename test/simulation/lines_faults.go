package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	maxLineFaultDuration        = 4 * time.Second
	minLineFaultInterval        = 300 * time.Millisecond
	defaultMaxLineFaultInterval = 3 * time.Second
	lineFollowUpProbability     = 0.2
	maxLineFollowUpDuration     = 3 * time.Second

	lostLineAnswers      = 6
	minSlowLineService   = 40 * time.Millisecond
	maxSlowLineService   = 600 * time.Millisecond
	minLineLag           = 100 * time.Millisecond
	maxLineLag           = 2 * time.Second
	minLineCrashDelay    = 200 * time.Millisecond
	maxLineCrashDelay    = 2 * time.Second
	minPlatformDelay     = 500 * time.Millisecond
	maxPlatformDelay     = 4 * time.Second
	linePlatformRefusals = 2
)

// lineFaultCatalog has the kinds of faults of RunLines. Random faults are chosen
// by their index, so a different order leads to different histories.
var lineFaultCatalog = []faultKind[*lineFleet]{
	{"instance crash", func(l *lineFleet, span time.Duration) { l.crashInstance(l.randomInstance(), span) }},
	{"instance dark", func(l *lineFleet, span time.Duration) { l.randomInstance().freezeFor(span) }},
	{"primary crash", func(l *lineFleet, span time.Duration) { l.crashInstance(l.randomPrimary(), span) }},
	{"primary dark", func(l *lineFleet, span time.Duration) { l.randomPrimary().freezeFor(span) }},
	{"primary leaving", func(l *lineFleet, _ time.Duration) { l.haveInstanceLeave(l.randomPrimary()) }},
	{"instance leaving", func(l *lineFleet, _ time.Duration) { l.haveInstanceLeave(l.randomInstance()) }},
	{"instance slow", (*lineFleet).slowInstance},
	{"replica lag", (*lineFleet).delayReplication},
	{"replica deaf", func(l *lineFleet, span time.Duration) { l.isolateReplica(l.randomInstance(), span) }},
	{"replica deaf, primary crash", (*lineFleet).isolateReplicaAndCrashPrimary},
	{"replica gone for good", (*lineFleet).replaceReplica},
	{"control machine replaced", func(l *lineFleet, span time.Duration) { l.replaceControl(l.randomControl(), span, false) }},
	{"control machine replaced as planned", func(l *lineFleet, span time.Duration) { l.replaceControl(l.randomControl(), span, true) }},
	{"control stopped as planned", func(l *lineFleet, span time.Duration) { l.restartControl(l.randomControl(), span) }},
	{"answers lost", func(l *lineFleet, _ time.Duration) { l.randomInstance().answersToLose = lostLineAnswers }},
	{"connections reset", (*lineFleet).resetConnections},
	{"node kill", (*lineFleet).crashNode},
	{"node freeze", func(l *lineFleet, span time.Duration) { l.randomNode().freezeFor(span) }},
	{"node stopped as planned", func(l *lineFleet, span time.Duration) { l.randomNode().stop(span) }},
	{"node cut off", (*lineFleet).isolateNode},
	{"platform late", (*lineFleet).delayPlatform},
	{"platform refuses", func(l *lineFleet, _ time.Duration) { l.platform.refusals = linePlatformRefusals }},
	{"platform doubles", (*lineFleet).repeatPlatformCalls},
	{"platform cut off", (*lineFleet).cutOffPlatform},
	{"control crash", (*lineFleet).crashControl},
	{"control primary crash", (*lineFleet).crashControlPrimary},
	{"control crash between syncs", (*lineFleet).crashControlBetweenSyncs},
	{"control freeze", func(l *lineFleet, span time.Duration) { l.randomControl().freezeFor(span) }},
	{"control cut off", (*lineFleet).isolateControl},
	{"control disk lost", (*lineFleet).loseControlDisk},
	{"control disk full", (*lineFleet).fillControlDisk},
	{"control primary's disk hangs", (*lineFleet).hangControlPrimaryDisk},
	{"control disk slow", (*lineFleet).slowControlDisk},
	{"drops", (*lineFleet).loseMessages},
	{"links slow", (*lineFleet).slowLinks},
	{"answers repeated", (*lineFleet).repeatAnswers},
}

// LineFaultNames returns the names of the kinds of faults of RunLines.
func LineFaultNames() []string { return faultNames(lineFaultCatalog) }

// injectFaultsUntil injects random faults until a time.
func (l *lineFleet) injectFaultsUntil(until time.Duration) {
	schedule := faultSchedule[*lineFleet]{
		simulator: l.simulator, catalog: lineFaultCatalog, allowed: l.config.AllowedFaults, maxDuration: maxLineFaultDuration,
		minInterval: minLineFaultInterval, maxInterval: defaultMaxLineFaultInterval, inject: l.injectFault,
	}
	if l.config.MaxFaultInterval != 0 {
		schedule.maxInterval = l.config.MaxFaultInterval
	}
	if len(l.config.AllowedFaults) > 0 {
		schedule.maxDuration = l.config.MaxFaultDuration
	}
	schedule.runUntil(until)
}

func (l *lineFleet) injectFault(kind faultKind[*lineFleet], span time.Duration) {
	l.recordFault(kind.name, span, l.writerPhases())
	l.lastFaultEnd = max(l.lastFaultEnd, l.simulator.now+span)
	kind.inject(l, span)
}

// maybeInjectFollowUp is called when the writer role of a database moves. It
// injects a further fault during the move, with a probability of
// lineFollowUpProbability. It does not in a run with a script or a list of
// allowed faults, or when the number of follow-ups is used up.
func (l *lineFleet) maybeInjectFollowUp() {
	disabled := l.faults.followUpsLeft == 0 || l.config.Script != nil || len(l.config.AllowedFaults) > 0
	if disabled || !l.simulator.chance(lineFollowUpProbability) {
		return
	}
	l.faults.followUpsLeft--
	l.afterUnlessRepaired(l.simulator.randomDuration(0, maxFollowUpDelay), func() {
		l.injectFault(pickRandom(l.simulator, lineFaultCatalog), l.simulator.randomDuration(minFaultDuration, maxLineFollowUpDuration))
	})
}

// repairAll ends all faults.
func (l *lineFleet) repairAll() {
	l.faults.repaired = true
	l.simulator.record("all faults repaired")
	l.simulator.repairNetwork()
	l.platform.repair()
	l.lastFaultEnd = l.simulator.now
	l.repairControls()
	for _, node := range l.nodes {
		node.thaw()
		node.ensureRunning(node.start)
	}
	for _, instance := range l.instances {
		instance.repair()
	}
}

func (p *linePlatform) repair() { p.delay, p.refusals, p.cutOff, p.repeats = 0, 0, false, false }

func (i *lineInstance) repair() {
	i.replicationDelay, i.serviceTime, i.answersToLose = defaultLineReplicationDelay, defaultLineServiceTime, 0
	i.repeatsAnswers = false
	i.thaw()
	if !i.ended {
		i.ensureRunning(i.start)
	}
}

func (l *lineFleet) randomNode() *lineNode { return pickRandom(l.simulator, l.nodes) }

// randomInstance returns a random instance of a random database.
func (l *lineFleet) randomInstance() *lineInstance {
	return pickRandom(l.simulator, l.instancesOf(pickRandom(l.simulator, l.databases)))
}

// randomPrimary returns the primary of a random database. If the database has
// none, it returns a random instance.
func (l *lineFleet) randomPrimary() *lineInstance {
	if primary := l.primaryOf(pickRandom(l.simulator, l.databases)); primary != nil {
		return primary
	}
	return l.randomInstance()
}

func (l *lineFleet) crashInstance(instance *lineInstance, span time.Duration) {
	if !instance.ended {
		instance.crashAndRestart(instance.start, span)
	}
}

// haveInstanceLeave starts the leaving of an instance, if all instances of its
// database are running and none of them is leaving.
func (l *lineFleet) haveInstanceLeave(instance *lineInstance) {
	for _, other := range l.instancesOf(instance.database) {
		if other.leavingSince != 0 || !other.running {
			return
		}
	}
	instance.leave()
}

func (l *lineFleet) slowInstance(span time.Duration) {
	instance := l.randomInstance()
	setFor(l.simulator, span, &instance.serviceTime, l.simulator.randomDuration(minSlowLineService, maxSlowLineService), defaultLineServiceTime)
}

func (l *lineFleet) delayReplication(span time.Duration) {
	instance := l.randomInstance()
	setFor(l.simulator, span, &instance.replicationDelay, l.simulator.randomDuration(minLineLag, maxLineLag), defaultLineReplicationDelay)
}

// isolateReplica blocks the messages to an instance from the other instances of
// its database.
func (l *lineFleet) isolateReplica(isolated *lineInstance, span time.Duration) {
	for _, other := range l.instancesOf(isolated.database) {
		if other != isolated {
			l.simulator.blockLink(link{other.name, isolated.name}, span)
		}
	}
}

// isolateReplicaAndCrashPrimary crashes a primary after one of its replicas was
// isolated, so that this replica lacks the last commits.
func (l *lineFleet) isolateReplicaAndCrashPrimary(span time.Duration) {
	primary := l.randomPrimary()
	for _, replica := range l.instancesOf(primary.database) {
		if replica != primary {
			l.isolateReplica(replica, span)
			break
		}
	}
	l.afterUnlessRepaired(l.simulator.randomDuration(minLineCrashDelay, maxLineCrashDelay), func() { l.crashInstance(primary, span) })
}

// replaceReplica ends a replica without notice, and starts a blank one in its
// place after a span. It does so only once for each database, and only if all
// instances of the database have the same log.
func (l *lineFleet) replaceReplica(span time.Duration) {
	replica := l.randomInstance()
	if replica.role == model.RolePrimary || l.replicaReplaced[replica.database] || !l.isDatabaseInSync(replica) {
		return
	}
	l.replicaReplaced[replica.database] = true
	replica.ended = true
	replica.crash()
	l.afterUnlessRepaired(span, func() { l.startReplacement(replica) })
}

// isDatabaseInSync reports whether all instances of the instance's database are
// running, neither frozen nor leaving, and at the position of this instance.
func (l *lineFleet) isDatabaseInSync(instance *lineInstance) bool {
	return !slices.ContainsFunc(l.instancesOf(instance.database), func(other *lineInstance) bool {
		return !other.running || other.frozen || other.leavingSince != 0 || other.position() != instance.position()
	})
}

func (l *lineFleet) resetConnections(time.Duration) {
	for _, session := range slices.Clone(l.randomInstance().sessions) {
		session.close()
		session.connection.breakOff()
	}
}

func (l *lineFleet) crashNode(span time.Duration) {
	node := l.randomNode()
	node.crashAndRestart(node.start, span)
}

// isolateNode blocks the links between a random node and control, and those
// between that node and all nodes.
func (l *lineFleet) isolateNode(span time.Duration) {
	isolated := l.randomNode()
	var peers []string
	for _, node := range l.nodes {
		peers = append(peers, node.name)
	}
	l.blockNode(isolated.name, peers, span)
}

// repeatAnswers makes all instances send some of their answers twice for a span.
func (l *lineFleet) repeatAnswers(span time.Duration) {
	for _, instance := range l.instances {
		setFor(l.simulator, span, &instance.repeatsAnswers, true, false)
	}
}

// delayPlatform delays calls to the platform for a span.
func (l *lineFleet) delayPlatform(span time.Duration) {
	setFor(l.simulator, span, &l.platform.delay, l.simulator.randomDuration(minPlatformDelay, maxPlatformDelay), 0)
}

func (l *lineFleet) repeatPlatformCalls(span time.Duration) {
	setFor(l.simulator, span, &l.platform.repeats, true, false)
}

func (l *lineFleet) cutOffPlatform(span time.Duration) {
	setFor(l.simulator, span, &l.platform.cutOff, true, false)
}
