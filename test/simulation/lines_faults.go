package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/state/model"
)

type lineFaultKind struct {
	name   string
	inject func(l *lineFleet, span time.Duration)
}

func (l *lineFleet) randomInstance() *lineInstance {
	return pickRandom(l.fleet, l.instancesOf(pickRandom(l.fleet, l.databases)))
}

func (l *lineFleet) randomPrimary() *lineInstance {
	if head := l.primaryOf(pickRandom(l.fleet, l.databases)); head != nil {
		return head
	}
	return l.randomInstance()
}

func (l *lineFleet) crashInstance(one *lineInstance, span time.Duration) {
	if !one.ended {
		l.crashAndRestart(&one.machine, one.start, span)
	}
}

func (l *lineFleet) freezeFor(one *lineInstance, span time.Duration) {
	one.freeze()
	l.simulator.after(span, one.thaw)
}

func (l *lineFleet) isolateReplica(one *lineInstance, span time.Duration) {
	for _, other := range l.instancesOf(one.database) {
		if other != one {
			l.blockLink([2]string{other.name, one.name}, span)
		}
	}
}

var lineFaultCatalog []lineFaultKind

func init() {
	lineFaultCatalog = []lineFaultKind{
		{"instance crash", func(l *lineFleet, span time.Duration) { l.crashInstance(l.randomInstance(), span) }},
		{"instance dark", func(l *lineFleet, span time.Duration) { l.freezeFor(l.randomInstance(), span) }},
		{"primary crash", func(l *lineFleet, span time.Duration) { l.crashInstance(l.randomPrimary(), span) }},
		{"primary dark", func(l *lineFleet, span time.Duration) { l.freezeFor(l.randomPrimary(), span) }},
		{"primary leaving", func(l *lineFleet, _ time.Duration) { l.drainInstance(l.randomPrimary()) }},
		{"instance leaving", func(l *lineFleet, _ time.Duration) { l.drainInstance(l.randomInstance()) }},
		{"instance slow", func(l *lineFleet, span time.Duration) {
			one := l.randomInstance()
			one.serviceTime = l.simulator.randomDuration(40*time.Millisecond, 600*time.Millisecond)
			l.simulator.after(span, func() { one.serviceTime = 5 * time.Millisecond })
		}},
		{"replica lag", func(l *lineFleet, span time.Duration) {
			one := l.randomInstance()
			one.replicationDelay = l.simulator.randomDuration(100*time.Millisecond, 2*time.Second)
			l.simulator.after(span, func() { one.replicationDelay = 2 * time.Millisecond })
		}},
		{"replica deaf", func(l *lineFleet, span time.Duration) { l.isolateReplica(l.randomInstance(), span) }},
		{"replica deaf, primary crash", func(l *lineFleet, span time.Duration) {
			head := l.randomPrimary()
			for _, one := range l.instancesOf(head.database) {
				if one != head {
					l.isolateReplica(one, span)
					break
				}
			}
			l.afterUnlessRepaired(l.simulator.randomDuration(200*time.Millisecond, 2*time.Second), func() { l.crashInstance(head, span) })
		}},
		{"replica gone for good", func(l *lineFleet, span time.Duration) {
			one := l.randomInstance()
			if one.role == model.RolePrimary {
				return
			}
			for _, other := range l.instancesOf(one.database) {
				isWell := other.running && !other.frozen && other.leavingSince == 0 && other.position() == one.position()
				if !isWell || l.replicaReplaced[one.database] {
					return
				}
			}
			l.replicaReplaced[one.database] = true
			one.ended = true
			one.crash()
			l.afterUnlessRepaired(span, func() { l.replaceLineInstance(one) })
		}},
		{"control machine replaced", func(l *lineFleet, span time.Duration) { l.replaceControl(pickRandom(l.fleet, l.controls), span, false) }},
		{"control machine replaced as planned", func(l *lineFleet, span time.Duration) { l.replaceControl(pickRandom(l.fleet, l.controls), span, true) }},
		{"control stopped as planned", func(l *lineFleet, span time.Duration) { l.stopControl(pickRandom(l.fleet, l.controls), span) }},
		{"answers lost", func(l *lineFleet, _ time.Duration) { l.randomInstance().answersToLose = 6 }},
		{"connections reset", func(l *lineFleet, _ time.Duration) {
			for _, one := range slices.Clone(l.randomInstance().sessions) {
				one.close()
				one.connection.breakOff()
			}
		}},
		{"node kill", func(l *lineFleet, span time.Duration) {
			one := pickRandom(l.fleet, l.lineNodes)
			l.crashAndRestart(&one.machine, one.start, span)
		}},
		{"node freeze", func(l *lineFleet, span time.Duration) {
			one := pickRandom(l.fleet, l.lineNodes)
			one.freeze()
			l.simulator.after(span, func() {
				if one.frozen {
					one.thawedAt = l.simulator.now
				}
				one.thaw()
			})
		}},
		{"node stopped as planned", func(l *lineFleet, span time.Duration) { pickRandom(l.fleet, l.lineNodes).stop(span) }},
		{"node cut off", func(l *lineFleet, span time.Duration) {
			isolated := pickRandom(l.fleet, l.lineNodes)
			for _, control := range l.controls {
				l.blockLink([2]string{isolated.name, control.name}, span)
				l.blockLink([2]string{control.name, isolated.name}, span)
			}
			for _, other := range l.lineNodes {
				l.blockLink([2]string{isolated.name, other.name}, span)
				l.blockLink([2]string{other.name, isolated.name}, span)
			}
		}},
		{"platform late", func(l *lineFleet, span time.Duration) {
			l.platformDelay = l.simulator.randomDuration(500*time.Millisecond, 4*time.Second)
			l.simulator.after(span, func() { l.platformDelay = 0 })
		}},
		{"platform refuses", func(l *lineFleet, _ time.Duration) { l.platformRefusals = 2 }},
		{"platform doubles", func(l *lineFleet, span time.Duration) {
			l.platformRepeats = true
			l.simulator.after(span, func() { l.platformRepeats = false })
		}},
		{"platform cut off", func(l *lineFleet, span time.Duration) {
			l.platformCutOff = true
			l.simulator.after(span, func() { l.platformCutOff = false })
		}},
	}
	for _, name := range []string{"control crash", "control primary crash", "control crash between syncs", "control freeze", "control cut off", "control disk lost", "control disk full", "control primary's disk hangs", "control disk slow", "drops", "links slow"} {
		at := slices.IndexFunc(faultCatalog, func(one faultKind) bool { return one.name == name })
		lineFaultCatalog = append(lineFaultCatalog, lineFaultKind{name, func(l *lineFleet, span time.Duration) { faultCatalog[at].inject(l.fleet, span) }})
	}
}

// replaceServer brings a blank replica to the address of one that is gone for good.
func (l *lineFleet) replaceLineInstance(old *lineInstance) {
	l.lastNumber++
	next := l.addInstance(old.database, fmt.Sprintf("%s.%d", strings.Split(old.name, ".")[0], l.lastNumber), old.address, old.zone)
	next.role, next.upstream = model.RoleReplica, l.primaryOf(old.database)
	next.start()
}

// depart plays a planned end, where another of the database is there.
func (l *lineFleet) drainInstance(one *lineInstance) {
	for _, other := range l.instancesOf(one.database) {
		if other.leavingSince != 0 || !other.running {
			return
		}
	}
	one.leave()
}

func (l *lineFleet) injectLineFaultsUntil(until time.Duration) {
	pace := l.lineConfig.MaxFaultInterval
	if pace == 0 {
		pace = 3 * time.Second
	}
	var act func()
	act = func() {
		if l.simulator.now >= until {
			return
		}
		next := pickRandom(l.fleet, lineFaultCatalog)
		longest := 4 * time.Second
		if len(l.lineConfig.AllowedFaults) > 0 {
			name := pickRandom(l.fleet, l.lineConfig.AllowedFaults)
			next = lineFaultCatalog[slices.IndexFunc(lineFaultCatalog, func(one lineFaultKind) bool { return one.name == name })]
			longest = l.lineConfig.MaxFaultDuration
		}
		l.injectLineFault(next, l.simulator.randomDuration(100*time.Millisecond, longest))
		l.simulator.after(l.simulator.randomDuration(300*time.Millisecond, pace), act)
	}
	act()
}

func (l *lineFleet) injectLineFault(next lineFaultKind, span time.Duration) {
	l.simulator.record("trouble: %s for %v", next.name, span)
	for _, phase := range l.currentPhases() {
		l.faultPhases[next.name+" / "+phase]++
	}
	l.faultyUntil = max(l.faultyUntil, l.simulator.now+span)
	next.inject(l, span)
}

func (l *lineFleet) maybeInjectLineFollowUp() {
	isOff := l.followUpsLeft == 0 || l.lineConfig.Script != nil || len(l.lineConfig.AllowedFaults) > 0
	if isOff || !l.simulator.chance(0.2) {
		return
	}
	l.followUpsLeft--
	l.afterUnlessRepaired(l.simulator.randomDuration(0, 600*time.Millisecond), func() {
		l.injectLineFault(pickRandom(l.fleet, lineFaultCatalog), l.simulator.randomDuration(100*time.Millisecond, 3*time.Second))
	})
}

func (l *lineFleet) repairLines() {
	l.repaired = true
	l.simulator.record("all is mended")
	l.simulator.blockedLinks = map[[2]string]bool{}
	l.simulator.lossRate, l.simulator.extraDelay = 0, 0
	l.platformDelay, l.platformRefusals, l.platformCutOff, l.platformRepeats = 0, 0, false, false
	l.faultyUntil = l.simulator.now
	for _, control := range l.controls {
		control.disk.repair()
		control.writesUntilCrash = 0
		control.thaw()
		if !control.running {
			control.start()
		}
	}
	for _, one := range l.lineNodes {
		if one.frozen {
			one.thawedAt = l.simulator.now
		}
		one.thaw()
		if !one.running {
			one.start()
		}
	}
	for _, one := range l.lineInstances {
		one.replicationDelay, one.serviceTime, one.answersToLose = 2*time.Millisecond, 5*time.Millisecond, 0
		one.thaw()
		if !one.running && !one.ended {
			one.start()
		}
	}
}

// LineTroubleNames lists the troubles.
func LineFaultNames() []string {
	var names []string
	for _, one := range lineFaultCatalog {
		names = append(names, one.name)
	}
	return names
}
