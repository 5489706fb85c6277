package simulation

import "time"

// faultCatalog lists the faults of Run. Faults are drawn by their index, so another
// order leads to other histories.
var faultCatalog = []faultKind[*fleet]{
	{"control crash", (*fleet).crashControl},
	{"control primary crash", (*fleet).crashControlPrimary},
	{"control crash between syncs", (*fleet).crashControlBetweenSyncs},
	{"control freeze", func(f *fleet, duration time.Duration) { f.randomControl().freezeFor(duration) }},
	{"control disk lost", (*fleet).loseControlDisk},
	{"control machine replaced", func(f *fleet, duration time.Duration) { f.replaceControl(f.randomControl(), duration, false) }},
	{"control machine replaced as planned", func(f *fleet, duration time.Duration) { f.replaceControl(f.randomControl(), duration, true) }},
	{"control stopped as planned", func(f *fleet, duration time.Duration) { f.restartControl(f.randomControl(), duration) }},
	{"control file torn", (*fleet).tearControlFile},
	{"control disk full", (*fleet).fillControlDisk},
	{"control disk hangs", func(f *fleet, duration time.Duration) { f.randomControl().hangDisk(duration) }},
	{"control primary's disk hangs", (*fleet).hangControlPrimaryDisk},
	{"control disk slow", (*fleet).slowControlDisk},
	{"node crash", (*fleet).crashNode},
	{"node freeze", func(f *fleet, duration time.Duration) { f.randomNode().freezeFor(duration) }},
	{"node stopped as planned", (*fleet).stopNode},
	{"nodes restarted in turn", (*fleet).restartNodesInTurn},
	{"connections reset", (*fleet).resetConnections},
	{"callers reset", (*fleet).resetCallers},
	{"callers leave a node", (*fleet).haveCallersLeave},
	{"rush", (*fleet).raiseLoad},
	{"node added", (*fleet).addNode},
	{"node replaced", (*fleet).replaceNode},
	{"weights changed", (*fleet).changeNodeWeight},
	{"links slow", (*fleet).slowLinks},
	{"replica hears nothing, primary dies", (*fleet).isolateReplicaAndCrashPrimary},
	{"instances replaced in turn", (*fleet).replaceInstancesInTurn},
	{"one-way cut", (*fleet).blockOneWay},
	{"node cut off", (*fleet).isolateNode},
	{"control cut off", (*fleet).isolateControl},
	{"drops", (*fleet).loseMessages},
	{"instance crash", (*fleet).crashInstance},
	{"primary crash", (*fleet).crashPrimary},
	{"primary freeze", (*fleet).freezePrimary},
	{"instance lost its data", (*fleet).loseInstanceData},
	{"replica lag", (*fleet).delayReplication},
	{"replica hears nothing", (*fleet).isolateReplica},
	{"instance slow", (*fleet).slowInstance},
	{"instance leaving", (*fleet).haveInstanceLeave},
	{"instance silent", (*fleet).silenceInstance},
	{"answers lost", func(f *fleet, _ time.Duration) { f.randomInstance().answersToLose = lostAnswers }},
	{"platform slow", func(f *fleet, duration time.Duration) { f.delayPlatform(100*time.Millisecond, 2*time.Second, duration) }},
	{"platform refuses", func(f *fleet, _ time.Duration) { f.platform.refusals = platformRefusals }},
	{"platform leaves the old primary", (*fleet).keepOldPrimary},
	{"platform acts late", func(f *fleet, duration time.Duration) { f.delayPlatform(2*time.Second, 7*time.Second, duration) }},
	{"platform cut off", (*fleet).cutOffPlatform},
	{"clock set wrong", (*fleet).setClockWrong},
}

const (
	lostAnswers      = 5
	platformRefusals = 2
)
