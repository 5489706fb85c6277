package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	minFaultDuration = 100 * time.Millisecond
	// Bounds of random faults, and of the time from one to the next.
	maxFaultDuration = 5 * time.Second
	minFaultInterval = 200 * time.Millisecond
	maxFaultInterval = 2500 * time.Millisecond
	// A follow-up is a fault that meets the move of a writer role.
	followUpProbability = 0.25
	maxFollowUpDelay    = 600 * time.Millisecond
	maxFollowUpDuration = 4 * time.Second
)

// Phases of a fleet that are counted, beside those of a writer role, when a
// fault meets them.
const (
	phaseEpochChange  = "epoch change"
	phaseSetPending   = "set pending"
	phaseNodeStopping = "node stopping"
)

// Phases are those in which a fault may meet a fleet.
var Phases = []string{
	model.PhaseOpen, model.PhaseClosing, model.PhaseClosed, model.PhasePromoting, phaseEpochChange, phaseSetPending, phaseNodeStopping,
}

// faultKind is a kind of fault in a fleet of type F.
type faultKind[F any] struct {
	name string
	// inject begins the fault; one that has an end ends after the span.
	inject func(fleet F, duration time.Duration)
}

func findFault[F any](catalog []faultKind[F], name string) faultKind[F] {
	return catalog[slices.IndexFunc(catalog, func(kind faultKind[F]) bool { return kind.name == name })]
}

func faultNames[F any](catalog []faultKind[F]) []string {
	var names []string
	for _, kind := range catalog {
		names = append(names, kind.name)
	}
	return names
}

// FaultNames lists the kinds of faults of Run.
func FaultNames() []string { return faultNames(faultCatalog) }

// faultState is what a run knows of its faults.
type faultState struct {
	// phaseCounts counts how often each fault met each phase.
	phaseCounts map[string]int
	// followUpsLeft bounds the follow-ups that are still to come.
	followUpsLeft int
	// repaired says that the span of faults is over.
	repaired bool
	// replacingInstances says that instances are replaced in turn, which is
	// done once.
	replacingInstances bool
}

func newFaultState(maxFollowUps int) faultState {
	return faultState{phaseCounts: map[string]int{}, followUpsLeft: maxFollowUps}
}

// faultSchedule injects random faults at random times.
type faultSchedule[F any] struct {
	simulator *simulator
	catalog   []faultKind[F]
	// allowed, where given, names those of the catalog that may be injected.
	allowed                  []string
	maxDuration              time.Duration
	minInterval, maxInterval time.Duration
	inject                   func(kind faultKind[F], duration time.Duration)
}

func (s faultSchedule[F]) runUntil(until time.Duration) {
	if s.simulator.now >= until {
		return
	}
	kind := pickRandom(s.simulator, s.catalog)
	if len(s.allowed) > 0 {
		kind = findFault(s.catalog, pickRandom(s.simulator, s.allowed))
	}
	s.inject(kind, s.simulator.randomDuration(minFaultDuration, s.maxDuration))
	s.simulator.after(s.simulator.randomDuration(s.minInterval, s.maxInterval), func() { s.runUntil(until) })
}

// injectFaultsUntil injects random faults.
func (f *fleet) injectFaultsUntil(until time.Duration) {
	schedule := faultSchedule[*fleet]{
		simulator: f.simulator, catalog: faultCatalog, allowed: f.config.AllowedFaults, maxDuration: maxFaultDuration,
		minInterval: minFaultInterval, maxInterval: maxFaultInterval, inject: f.injectFault,
	}
	if len(f.config.AllowedFaults) > 0 {
		schedule.maxDuration = f.config.MaxFaultDuration
	}
	schedule.runUntil(until)
}

func (f *fleet) injectFault(kind faultKind[*fleet], duration time.Duration) {
	phases := f.writerPhases()
	if f.isAnyNodeStopping() {
		phases = append(phases, phaseNodeStopping)
	}
	f.recordFault(kind.name, duration, phases)
	kind.inject(f, duration)
}

// setFor gives a variable another value for a span. The variable must not move
// in that time, as those of a disk do when it is replaced.
func setFor[T any](s *simulator, duration time.Duration, variable *T, temporary, usual T) {
	*variable = temporary
	s.after(duration, func() { *variable = usual })
}

// recordFault records a fault, and the phases that it meets.
func (p *controlPlane) recordFault(name string, duration time.Duration, phases []string) {
	p.simulator.record("trouble: %s for %v", name, duration)
	for _, phase := range phases {
		p.faults.phaseCounts[name+" / "+phase]++
	}
}

// writerPhases gives the phases of the writer roles, as the control primary
// knows them, and those of control.
func (p *controlPlane) writerPhases() []string {
	var phases []string
	primaries := p.primaries()
	for _, primary := range primaries {
		snapshot := primary.distributor.Snapshot()
		for _, database := range p.databases {
			if phase := snapshot.Writers[database].Phase; phase != "" && !slices.Contains(phases, phase) {
				phases = append(phases, phase)
			}
		}
		if snapshot.HasPendingSet() {
			phases = append(phases, phaseSetPending)
		}
	}
	if len(primaries) == 0 {
		phases = append(phases, phaseEpochChange)
	}
	return phases
}

// afterUnlessRepaired schedules a part of a fault, which the end of the span
// of faults calls off.
func (p *controlPlane) afterUnlessRepaired(delay time.Duration, act func()) {
	p.simulator.after(delay, func() {
		if !p.faults.repaired {
			act()
		}
	})
}

// maybeInjectFollowUp may inject another fault soon, as the writer role of a
// database moves.
func (f *fleet) maybeInjectFollowUp() {
	if f.faults.followUpsLeft == 0 || !f.simulator.chance(followUpProbability) {
		return
	}
	f.faults.followUpsLeft--
	f.afterUnlessRepaired(f.simulator.randomDuration(0, maxFollowUpDelay), func() {
		f.injectFault(pickRandom(f.simulator, faultCatalog), f.simulator.randomDuration(minFaultDuration, maxFollowUpDuration))
	})
}

// endFaultPhase calls off what was drawn for the span of faults and would go
// on after it. It does so in a scripted run too, which repairs nothing else.
func (f *fleet) endFaultPhase() {
	f.faults.repaired, f.faults.followUpsLeft = true, 0
	for _, instance := range f.instances {
		instance.leavingSince = 0
	}
}

// repairAll ends all faults.
func (f *fleet) repairAll() {
	f.faults.repaired = true
	f.simulator.record("all is mended")
	f.simulator.repairNetwork()
	f.loadFactor = 1
	f.platform.repair()
	f.repairControls()
	for _, node := range f.nodes {
		node.thaw()
		if !f.removedNodes[node.name] {
			node.ensureRunning(node.start)
		}
	}
	for _, instance := range f.instances {
		instance.repair()
	}
}

func (p *platform) repair() {
	p.delay, p.refusals, p.cutOff, p.keepsOldPrimary = 0, 0, false, false
}

func (i *instance) repair() {
	i.replicationDelay, i.serviceTime = defaultReplicationDelay, defaultServiceTime
	i.leavingSince, i.silent, i.answersToLose = 0, false, 0
	i.thaw()
	i.ensureRunning(i.start)
}
