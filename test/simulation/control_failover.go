package simulation

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/store"
	"tansyseam/test/history"
)

const (
	// primaryLossDuration is how long each loss lasts, and how long is looked
	// for what comes after.
	primaryLossDuration = 4 * time.Second
	failoverCheckPeriod = time.Millisecond
	probeWriteInterval  = 50 * time.Millisecond
)

// ControlFailover is how control came back after its primary was lost.
type ControlFailover struct {
	Seed uint64
	// Primacy is the time until another server was primary, FirstWrite until
	// one of the writes that were submitted again and again was committed by
	// it and a backup. Both are in virtual time, and -1 for what did not come
	// within 4 s.
	Primacy, FirstWrite time.Duration
	// Violations counts those of a single primary and of sets; the level of
	// service is not judged with so few callers.
	Violations int
}

// PrimaryLoss is a way to lose the control primary.
type PrimaryLoss struct {
	Name   string
	inject func(f *fleet, primary *controlServer)
}

// PrimaryLosses lists the ways; each lasts for 4 s.
func PrimaryLosses() []PrimaryLoss {
	return []PrimaryLoss{
		{"crash", func(_ *fleet, primary *controlServer) { primary.crashAndRestart(primary.start, primaryLossDuration) }},
		{"freeze", func(_ *fleet, primary *controlServer) { primary.freezeFor(primaryLossDuration) }},
		{"cut off", func(f *fleet, primary *controlServer) {
			for _, other := range f.controls {
				if other != primary {
					f.simulator.blockBothWays(link{primary.name, other.name}, primaryLossDuration)
				}
			}
		}},
		{"disk hangs", func(_ *fleet, primary *controlServer) { primary.hangDisk(primaryLossDuration) }},
		{"disk refuses", func(_ *fleet, primary *controlServer) { primary.fillDisk(primaryLossDuration) }},
	}
}

// failoverProbe measures the failover that follows a loss.
type failoverProbe struct {
	fleet       *fleet
	lost        *controlServer
	lostAt      time.Duration
	writes      int
	measurement *ControlFailover
}

// MeasureControlFailover loses the control primary of a fleet without other
// faults, and measures what follows.
func MeasureControlFailover(seed uint64, config Config, loss PrimaryLoss) ControlFailover {
	measurement := ControlFailover{Seed: seed, Primacy: -1, FirstWrite: -1}
	config.WarmUp, config.FaultDuration, config.RecoveryDuration, config.Callers = time.Second, 6*time.Second, 6*time.Second, 2
	config.Script = func(f *fleet) {
		f.simulator.after(f.simulator.randomDuration(0, time.Second), func() { probeFailover(f, loss, &measurement) })
	}
	result := Run(seed, config, Defects{}, nil)
	for _, rule := range []string{simulatorRule, history.RuleInconsistentSets} {
		measurement.Violations += len(result.Violations[rule])
	}
	return measurement
}

func probeFailover(f *fleet, loss PrimaryLoss, measurement *ControlFailover) {
	primaries := f.primaries()
	if len(primaries) == 0 {
		return
	}
	probe := &failoverProbe{fleet: f, lost: primaries[0], lostAt: f.simulator.now, measurement: measurement}
	loss.inject(f, probe.lost)
	probe.check()
}

func (p *failoverProbe) elapsed() time.Duration { return p.fleet.simulator.now - p.lostAt }

// check looks for another primary, and submits writes to each that is one.
func (p *failoverProbe) check() {
	for _, primary := range p.fleet.primaries() {
		if primary.frozen {
			continue
		}
		if primary != p.lost && p.measurement.Primacy < 0 {
			p.measurement.Primacy = p.elapsed()
		}
		if p.elapsed()%probeWriteInterval == 0 {
			p.submitWrite(primary)
		}
	}
	if p.elapsed() < primaryLossDuration && p.measurement.FirstWrite < 0 {
		p.fleet.simulator.after(failoverCheckPeriod, p.check)
	}
}

func (p *failoverProbe) submitWrite(control *controlServer) {
	p.writes++
	control.submit(func(*store.Table) []store.Put {
		return []store.Put{{Key: fmt.Sprintf("measured/%d", p.writes), Data: []byte("x")}}
	}, func(result consensus.SubmitResult) {
		if result.Committed && control != p.lost && p.measurement.FirstWrite < 0 {
			p.measurement.FirstWrite = p.elapsed()
		}
	})
}

// MeasureControlFailovers measures consecutive seeds, so many at once as there
// are jobs, and counts the violations.
func MeasureControlFailovers(from, count uint64, config Config, loss PrimaryLoss, jobs int) (primacy, firstWrites []time.Duration, violations int) {
	results := runConcurrently(count, jobs, func(index uint64) ControlFailover { return MeasureControlFailover(from+index, config, loss) })
	for _, result := range results {
		primacy = append(primacy, result.Primacy)
		firstWrites = append(firstWrites, result.FirstWrite)
		violations += result.Violations
	}
	return primacy, firstWrites, violations
}

// Quantile gives the smallest of the durations that a part of all, from 0 to
// 1, do not exceed; -1 for none.
func Quantile(durations []time.Duration, part float64) time.Duration {
	if len(durations) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}
