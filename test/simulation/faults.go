package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

func (f *fleet) checkSinglePrimary(until time.Duration) {
	var look func()
	look = func() {
		holders := []string{}
		for _, control := range f.controls {
			if control.running && control.isPrimary() {
				holders = append(holders, control.name)
			}
		}
		if len(holders) > 1 {
			f.addViolation("%v hold primacy at once at %v", holders, f.simulator.now)
		}
		if f.simulator.now < until {
			f.simulator.after(5*time.Millisecond, look)
		}
	}
	look()
}

func (f *fleet) submitSetsUntil(until time.Duration) {
	w := f.simulator
	number := 0
	var act func()
	act = func() {
		number++
		id := "put" + time.Duration(number).String()
		expected := f.newestSequence
		f.submitSet(id, expected, 0)
		if w.chance(0.3) {
			f.submitSet(id+"-rival", expected, 0)
		}
		if w.chance(0.4) {
			w.after(w.randomDuration(50*time.Millisecond, 900*time.Millisecond), func() { f.submitSet(id, expected, 0) })
		}
		if w.chance(0.3) {
			f.submitSet(id+"-booked", 0, wallClockEpoch+int64(w.now+w.randomDuration(500*time.Millisecond, 4*time.Second)))
		}
		if w.now < until {
			w.after(w.randomDuration(400*time.Millisecond, 3*time.Second), act)
		}
	}
	act()
}

type faultKind struct {
	name   string
	inject func(f *fleet, span time.Duration)
}

func pickRandom[T any](f *fleet, list []T) T { return list[f.simulator.random.IntN(len(list))] }

var faultCatalog = []faultKind{
	{"control crash", func(f *fleet, span time.Duration) {
		control := pickRandom(f, f.controls)
		f.crashAndRestart(&control.machine, control.start, span)
	}},
	{"control primary crash", func(f *fleet, span time.Duration) {
		for _, control := range f.controls {
			if control.running && control.isPrimary() {
				f.crashAndRestart(&control.machine, control.start, span)
				return
			}
		}
	}},
	{"control crash between syncs", func(f *fleet, _ time.Duration) {
		pickRandom(f, f.controls).writesUntilCrash = 1 + f.simulator.random.IntN(6)
	}},
	{"control freeze", func(f *fleet, span time.Duration) {
		control := pickRandom(f, f.controls)
		control.freeze()
		f.simulator.after(span, control.thaw)
	}},
	{"control disk lost", func(f *fleet, span time.Duration) {
		if !f.isControlHealthy() {
			return
		}
		control := pickRandom(f, f.controls)
		f.crashAndRestart(&control.machine, control.start, span)
		control.disk = newDisk()
		f.simulator.record("%s lost its disk", control.name)
	}},
	{"control machine replaced", func(f *fleet, span time.Duration) { f.replaceControl(pickRandom(f, f.controls), span, false) }},
	{"control machine replaced as planned", func(f *fleet, span time.Duration) { f.replaceControl(pickRandom(f, f.controls), span, true) }},
	{"control stopped as planned", func(f *fleet, span time.Duration) { f.stopControl(pickRandom(f, f.controls), span) }},
	{"control file torn", func(f *fleet, span time.Duration) {
		if !f.isControlHealthy() {
			return
		}
		control := pickRandom(f, f.controls)
		f.crashAndRestart(&control.machine, control.start, span)
		control.disk.tear()
		f.simulator.record("%s has a torn file", control.name)
	}},
	{"control disk full", func(f *fleet, span time.Duration) {
		control := pickRandom(f, f.controls)
		control.disk.failing = true
		f.simulator.after(span, func() { control.disk.failing = false })
	}},
	{"control disk hangs", func(f *fleet, span time.Duration) { pickRandom(f, f.controls).disk.hangsUntil = f.simulator.now + span }},
	{"control primary's disk hangs", func(f *fleet, span time.Duration) {
		for _, control := range f.controls {
			if control.running && control.isPrimary() {
				control.disk.hangsUntil = f.simulator.now + span
			}
		}
	}},
	{"control disk slow", func(f *fleet, span time.Duration) {
		control := pickRandom(f, f.controls)
		control.disk.writeDelay = f.simulator.randomDuration(20*time.Millisecond, 300*time.Millisecond)
		f.simulator.after(span, func() { control.disk.writeDelay = 0 })
	}},
	{"node crash", func(f *fleet, span time.Duration) {
		one := pickRandom(f, f.nodes)
		f.crashAndRestart(&one.machine, one.start, span)
	}},
	{"node freeze", func(f *fleet, span time.Duration) {
		one := pickRandom(f, f.nodes)
		one.freeze()
		f.simulator.after(span, one.thaw)
	}},
	{"node stopped as planned", func(f *fleet, span time.Duration) {
		for _, other := range f.nodes {
			if other.stopping {
				return
			}
		}
		pickRandom(f, f.nodes).stop(span)
	}},
	{"nodes restarted in turn", func(f *fleet, _ time.Duration) {
		for _, other := range f.nodes {
			if other.stopping {
				return
			}
		}
		span := time.Duration(0)
		for _, one := range f.nodes {
			f.afterUnlessRepaired(span, func() { one.stop(300 * time.Millisecond) })
			span += 1200 * time.Millisecond
		}
	}},
	{"connections reset", func(f *fleet, _ time.Duration) {
		for _, c := range slices.Clone(pickRandom(f, f.instances).connections) {
			c.reset()
		}
	}},
	{"callers reset", func(f *fleet, _ time.Duration) {
		one := pickRandom(f, f.nodes)
		for _, client := range slices.Clone(one.callers) {
			cut := client.disconnect
			client.resetByRun = cut != nil
			client.leave()
			if cut != nil {
				client.after(time.Millisecond, cut)
			}
		}
	}},
	{"callers leave a node", func(f *fleet, _ time.Duration) {
		for _, client := range slices.Clone(pickRandom(f, f.nodes).callers) {
			if client.disconnect == nil {
				client.leave()
			}
		}
	}},
	{"rush", func(f *fleet, span time.Duration) {
		f.loadFactor = 8
		f.simulator.after(span, func() { f.loadFactor = 1 })
	}},
	{"node added", func(f *fleet, _ time.Duration) {
		if len(f.nodes) < f.config.Nodes+2 {
			f.addNode().start()
		}
	}},
	{"node replaced", func(f *fleet, span time.Duration) {
		if len(f.nodes) >= f.config.Nodes+2 || len(f.removedNodes) > 1 {
			return
		}
		old := pickRandom(f, f.nodes)
		if old.running && !f.removedNodes[old.name] {
			f.removedNodes[old.name] = true
			old.crash()
			f.simulator.after(span, f.addNode().start)
		}
	}},
	{"weights changed", func(f *fleet, span time.Duration) {
		one := pickRandom(f, f.nodes)
		one.weight = 0.5 + 3.5*f.simulator.random.Float64()
		f.simulator.after(span, func() { one.weight = 1 })
	}},
	{"links slow", func(f *fleet, span time.Duration) {
		f.simulator.extraDelay = f.simulator.randomDuration(20*time.Millisecond, 250*time.Millisecond)
		f.simulator.after(span, func() { f.simulator.extraDelay = 0 })
	}},
	{"replica hears nothing, primary dies", func(f *fleet, span time.Duration) {
		database := pickRandom(f, f.databases)
		primary := f.currentPrimary(database)
		if primary == nil {
			return
		}
		for _, isolated := range f.instances {
			if isolated.database == database && isolated != primary {
				f.blockLink([2]string{primary.name, isolated.name}, span)
				break
			}
		}
		f.afterUnlessRepaired(f.simulator.randomDuration(0, 2*time.Second), func() { f.crashAndRestart(&primary.machine, primary.start, span) })
	}},
	{"instances replaced in turn", func(f *fleet, _ time.Duration) {
		if f.replacingInstances {
			return
		}
		f.replacingInstances = true
		wait := time.Duration(0)
		database := pickRandom(f, f.databases)
		for _, one := range f.instances {
			if one.database == database {
				f.afterUnlessRepaired(wait, func() { f.replaceInstance(one) })
				wait += 9 * time.Second
			}
		}
	}},
	{"one-way cut", func(f *fleet, span time.Duration) {
		way := [2]string{pickRandom(f, f.nodes).name, pickRandom(f, f.controls).name}
		if f.simulator.chance(0.5) {
			way[0], way[1] = way[1], way[0]
		}
		f.blockLink(way, span)
	}},
	{"node cut off", func(f *fleet, span time.Duration) {
		isolated := pickRandom(f, f.nodes)
		for _, control := range f.controls {
			f.blockLink([2]string{isolated.name, control.name}, span)
			f.blockLink([2]string{control.name, isolated.name}, span)
		}
		for _, other := range f.nodes {
			f.blockLink([2]string{isolated.name, other.name}, span)
			f.blockLink([2]string{other.name, isolated.name}, span)
		}
	}},
	{"control cut off", func(f *fleet, span time.Duration) {
		isolated := pickRandom(f, f.controls)
		for _, control := range f.controls {
			if control != isolated {
				f.blockLink([2]string{isolated.name, control.name}, span)
				if f.simulator.chance(0.7) {
					f.blockLink([2]string{control.name, isolated.name}, span)
				}
			}
		}
	}},
	{"drops", func(f *fleet, span time.Duration) {
		f.simulator.lossRate = 0.02
		f.simulator.after(span, func() { f.simulator.lossRate = 0 })
	}},
	{"instance crash", func(f *fleet, span time.Duration) {
		one := pickRandom(f, f.instances)
		f.crashAndRestart(&one.machine, one.start, span)
	}},
	{"primary crash", func(f *fleet, span time.Duration) {
		one := f.currentPrimary(pickRandom(f, f.databases))
		if one != nil {
			f.crashAndRestart(&one.machine, one.start, span)
		}
	}},
	{"primary freeze", func(f *fleet, span time.Duration) {
		one := f.currentPrimary(pickRandom(f, f.databases))
		if one != nil {
			one.freeze()
			f.simulator.after(span, one.thaw)
		}
	}},
	{"instance lost its data", func(f *fleet, span time.Duration) {
		one := pickRandom(f, f.instances)
		for _, other := range f.instances {
			if other.dataLosses > 0 {
				return
			}
		}
		if !f.isHealthy(one.database) {
			return
		}
		if writer := f.nodes[0].pool.Routing().WriterRole(one.database); len(writer.Candidates) < 2 {
			return
		}
		f.crashAndRestart(&one.machine, one.start, span)
		one.loseData()
		for _, other := range f.instances {
			if other.database == one.database && other != one && one.upstream == nil {
				one.upstream = other
			}
		}
	}},
	{"replica lag", func(f *fleet, span time.Duration) {
		one := pickRandom(f, f.instances)
		one.replicationDelay = f.simulator.randomDuration(200*time.Millisecond, 3*time.Second)
		f.simulator.after(span, func() { one.replicationDelay = 2 * time.Millisecond })
	}},
	{"replica hears nothing", func(f *fleet, span time.Duration) {
		isolated := pickRandom(f, f.instances)
		for _, other := range f.instances {
			if other.database == isolated.database && other != isolated {
				f.blockLink([2]string{other.name, isolated.name}, span)
			}
		}
	}},
	{"instance slow", func(f *fleet, span time.Duration) {
		one := pickRandom(f, f.instances)
		one.serviceTime = f.simulator.randomDuration(50*time.Millisecond, 900*time.Millisecond)
		f.simulator.after(span, func() { one.serviceTime = 8 * time.Millisecond })
	}},
	{"instance leaving", func(f *fleet, span time.Duration) {
		one := pickRandom(f, f.instances)
		if one.leavingSince != 0 {
			return
		}
		one.leavingSince = int64(f.simulator.now)
		f.simulator.after(span, func() { one.leavingSince = 0 })
	}},
	{"instance silent", func(f *fleet, span time.Duration) {
		one := pickRandom(f, f.instances)
		one.silent = true
		f.simulator.after(span, func() { one.silent = false })
	}},
	{"answers lost", func(f *fleet, _ time.Duration) { pickRandom(f, f.instances).answersToLose = 5 }},
	{"platform slow", func(f *fleet, span time.Duration) {
		f.platform.delay = f.simulator.randomDuration(100*time.Millisecond, 2*time.Second)
		f.simulator.after(span, func() { f.platform.delay = 0 })
	}},
	{"platform refuses", func(f *fleet, _ time.Duration) { f.platform.refusals = 2 }},
	{"platform leaves the old primary", func(f *fleet, span time.Duration) {
		f.platform.keepsOldPrimary = true
		f.simulator.after(span, func() { f.platform.keepsOldPrimary = false })
	}},
	{"platform acts late", func(f *fleet, span time.Duration) {
		f.platform.delay = f.simulator.randomDuration(2*time.Second, 7*time.Second)
		f.simulator.after(span, func() { f.platform.delay = 0 })
	}},
	{"platform cut off", func(f *fleet, span time.Duration) {
		f.platform.cutOff = true
		f.simulator.after(span, func() { f.platform.cutOff = false })
	}},
	{"clock set wrong", func(f *fleet, span time.Duration) {
		control := pickRandom(f, f.controls)
		skew := control.wallClockSkew
		control.wallClockSkew += f.simulator.randomDuration(-3*time.Second, 3*time.Second)
		f.simulator.after(span, func() { control.wallClockSkew = skew })
	}},
}

func (f *fleet) isControlHealthy() bool {
	var voters []string
	for _, control := range f.controls {
		if control.running && control.isPrimary() {
			voters = control.consensus.Voters()
		}
	}
	return len(voters) > 0 && !slices.ContainsFunc(voters, func(name string) bool {
		control := f.findControl(name)
		isThere := slices.Contains(f.controls, control) && control.running && control.consensus.IsMember()
		return !isThere || control.consensus.Record().Backup == "" || !control.consensus.IsSettled()
	})
}

func (f *fleet) blockLink(way [2]string, span time.Duration) {
	f.simulator.blockedLinks[way] = true
	f.simulator.record("cut %s from %s", way[1], way[0])
	f.simulator.after(span, func() { delete(f.simulator.blockedLinks, way) })
}

func (f *fleet) injectFaultsUntil(until time.Duration) {
	var act func()
	act = func() {
		if f.simulator.now >= until {
			return
		}
		next := pickRandom(f, faultCatalog)
		longest := 5 * time.Second
		if len(f.config.AllowedFaults) > 0 {
			name := pickRandom(f, f.config.AllowedFaults)
			next = faultCatalog[slices.IndexFunc(faultCatalog, func(one faultKind) bool { return one.name == name })]
			longest = f.config.MaxFaultDuration
		}
		span := f.simulator.randomDuration(100*time.Millisecond, longest)
		f.injectFault(next, span)
		f.simulator.after(f.simulator.randomDuration(200*time.Millisecond, 2500*time.Millisecond), act)
	}
	act()
}

func (f *fleet) injectFault(next faultKind, span time.Duration) {
	f.simulator.record("trouble: %s for %v", next.name, span)
	for _, phase := range f.currentPhases() {
		f.faultPhases[next.name+" / "+phase]++
	}
	next.inject(f, span)
}

// Phases in which a trouble may meet a fleet.
var Phases = []string{model.PhaseOpen, model.PhaseClosing, model.PhaseClosed, model.PhasePromoting, "epoch change", "set pending", "node stopping"}

// TroubleNames lists the troubles.
func FaultNames() []string {
	var names []string
	for _, one := range faultCatalog {
		names = append(names, one.name)
	}
	return names
}

func (f *fleet) currentPhases() []string {
	var held []string
	isSettled := false
	for _, control := range f.controls {
		if !control.running || !control.isPrimary() {
			continue
		}
		isSettled = true
		doc := control.distributor.Snapshot()
		for _, database := range f.databases {
			if phase := doc.Writers[database].Phase; phase != "" && !slices.Contains(held, phase) {
				held = append(held, phase)
			}
		}
		if doc.HasPendingSet() {
			held = append(held, "set pending")
		}
	}
	if !isSettled {
		held = append(held, "epoch change")
	}
	if slices.ContainsFunc(f.nodes, func(n *node) bool { return n.stopping }) {
		held = append(held, "node stopping")
	}
	return held
}

func (f *fleet) maybeInjectFollowUp() {
	if f.followUpsLeft == 0 || !f.simulator.chance(0.25) {
		return
	}
	f.followUpsLeft--
	f.afterUnlessRepaired(f.simulator.randomDuration(0, 600*time.Millisecond), func() {
		f.injectFault(pickRandom(f, faultCatalog), f.simulator.randomDuration(100*time.Millisecond, 4*time.Second))
	})
}

func (f *fleet) afterUnlessRepaired(span time.Duration, act func()) {
	f.simulator.after(span, func() {
		if !f.repaired {
			act()
		}
	})
}

// rest ends what was drawn for the time of the faults and would go on into the
// calm, also in a scripted run, which mends nothing else.
func (f *fleet) endFaultPhase() {
	f.repaired, f.followUpsLeft = true, 0
	for _, one := range f.instances {
		one.leavingSince = 0
	}
}

func (f *fleet) currentPrimary(database string) *instance {
	return f.findInstance(f.nodes[0].pool.Routing().WriterRole(database).Primary)
}

func (f *fleet) isHealthy(database string) bool {
	writer := f.nodes[0].pool.Routing().WriterRole(database)
	primary := f.findInstance(writer.Primary)
	if primary == nil || writer.Phase != model.PhaseOpen || primary.term != writer.Term {
		return false
	}
	for _, one := range f.instances {
		if one.database == database && (!one.running || one.frozen || one.position().Term != primary.position().Term) {
			return false
		}
	}
	return true
}

func (f *fleet) replaceInstance(one *instance) {
	if !f.isHealthy(one.database) {
		return
	}
	one.leavingSince = int64(f.simulator.now)
	f.afterUnlessRepaired(4*time.Second, func() {
		writer := f.nodes[0].pool.Routing().WriterRole(one.database)
		_, isCandidate := writer.Candidates[one.name]
		one.leavingSince = 0
		if !f.isHealthy(one.database) || writer.Primary == one.name || (isCandidate && len(writer.Candidates) < 2) {
			return
		}
		f.crashAndRestart(&one.machine, one.start, time.Second)
		one.loseData()
		one.upstream = f.findInstance(writer.Primary)
	})
}

func (f *fleet) repairAll() {
	f.repaired = true
	f.simulator.record("all is mended")
	f.simulator.blockedLinks = map[[2]string]bool{}
	f.simulator.lossRate, f.simulator.extraDelay, f.loadFactor = 0, 0, 1
	f.platform.delay, f.platform.refusals, f.platform.cutOff = 0, 0, false
	f.platform.keepsOldPrimary = false
	for _, control := range f.controls {
		control.disk.repair()
		control.writesUntilCrash = 0
		control.thaw()
		if !control.running {
			control.start()
		}
	}
	for _, one := range f.nodes {
		one.thaw()
		if !one.running && !f.removedNodes[one.name] {
			one.start()
		}
	}
	for _, one := range f.instances {
		one.replicationDelay, one.serviceTime, one.leavingSince, one.silent, one.answersToLose = 2*time.Millisecond, 8*time.Millisecond, 0, false, 0
		one.thaw()
		if !one.running {
			one.start()
		}
	}
}
