package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

const (
	minFaultDuration = 100 * time.Millisecond
	// Bounds of the duration of random faults, and of the time from one fault to
	// the next.
	maxFaultDuration = 5 * time.Second
	minFaultInterval = 200 * time.Millisecond
	maxFaultInterval = 2500 * time.Millisecond
	// A follow-up is a fault that is injected during the move of a writer role.
	followUpProbability = 0.25
	maxFollowUpDelay    = 600 * time.Millisecond
	maxFollowUpDuration = 4 * time.Second
)

// Phases of a fleet, in addition to those of a writer role. The faults that occur
// in each phase are counted.
const (
	phaseEpochChange  = "epoch change"
	phaseSetPending   = "set pending"
	phaseNodeStopping = "node stopping"
)

// Phases lists the phases of a fleet for which faults are counted.
var Phases = []string{
	model.PhaseOpen, model.PhaseClosing, model.PhaseClosed, model.PhasePromoting, phaseEpochChange, phaseSetPending, phaseNodeStopping,
}

// faultKind is a kind of fault in a fleet of type F.
type faultKind[F any] struct {
	name string
	// inject begins the fault. A fault that is not instantaneous ends after the
	// duration.
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

// faultState is the state of a run's faults.
type faultState struct {
	// phaseCounts counts how often each fault occurred in each phase, by "fault
	// / phase".
	phaseCounts map[string]int
	// followUpsLeft is the number of follow-ups that may still be injected.
	followUpsLeft int
	// repaired is true once the fault phase is over.
	repaired bool
	// replacingInstances is true once the replacement of instances in turn has
	// begun, which happens once in a run.
	replacingInstances bool
}

func newFaultState(maxFollowUps int) faultState {
	return faultState{phaseCounts: map[string]int{}, followUpsLeft: maxFollowUps}
}

// faultSchedule injects random faults at random times.
type faultSchedule[F any] struct {
	simulator *simulator
	catalog   []faultKind[F]
	// allowed, if set, names the faults of the catalog that may be injected.
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

// injectFaultsUntil injects random faults until the given time.
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

// setFor sets a variable to a temporary value for the duration. The variable must
// not be replaced by another one in that time, as the fields of a disk are when
// the disk is replaced.
func setFor[T any](s *simulator, duration time.Duration, variable *T, temporary, usual T) {
	*variable = temporary
	s.after(duration, func() { *variable = usual })
}

// recordFault records a fault, and counts the phases in which it occurs.
func (p *controlPlane) recordFault(name string, duration time.Duration, phases []string) {
	p.simulator.record("fault injected: %s for %v", name, duration)
	for _, phase := range phases {
		p.faults.phaseCounts[name+" / "+phase]++
	}
}

// writerPhases returns the phases of the writer roles that the control primary has
// recorded, and the phases of the control plane.
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

// afterUnlessRepaired schedules a part of a fault. The end of the fault phase
// cancels it.
func (p *controlPlane) afterUnlessRepaired(delay time.Duration, act func()) {
	p.simulator.after(delay, func() {
		if !p.faults.repaired {
			act()
		}
	})
}

// maybeInjectFollowUp injects another fault after a short delay, with the
// probability followUpProbability. It is called when the writer role of a database
// moves.
func (f *fleet) maybeInjectFollowUp() {
	if f.faults.followUpsLeft == 0 || !f.simulator.chance(followUpProbability) {
		return
	}
	f.faults.followUpsLeft--
	f.afterUnlessRepaired(f.simulator.randomDuration(0, maxFollowUpDelay), func() {
		f.injectFault(pickRandom(f.simulator, faultCatalog), f.simulator.randomDuration(minFaultDuration, maxFollowUpDuration))
	})
}

// endFaultPhase cancels the follow-ups and the leaving of instances that would
// continue after the fault phase. It does so in scripted runs too, which repair
// nothing else.
func (f *fleet) endFaultPhase() {
	f.faults.repaired, f.faults.followUpsLeft = true, 0
	for _, instance := range f.instances {
		instance.leavingSince = 0
	}
}

// repairAll ends all faults of the fleet.
func (f *fleet) repairAll() {
	f.faults.repaired = true
	f.simulator.record("all faults repaired")
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
