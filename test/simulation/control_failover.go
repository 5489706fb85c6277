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
	// primaryLossDuration is the duration of each loss, and the maximum time for
	// which the failover is measured.
	primaryLossDuration = 4 * time.Second
	failoverCheckPeriod = time.Millisecond
	probeWriteInterval  = 50 * time.Millisecond
)

// ControlFailover is the measurement of one failover of the control primary.
type ControlFailover struct {
	Seed uint64
	// Primacy is the time from the loss until another server was primary.
	// FirstWrite is the time from the loss until another server and a backup
	// committed one of the writes that are submitted periodically. Both are in virtual time, and -1 if the event did not occur
	// within 4 s.
	Primacy, FirstWrite time.Duration
	// Violations counts the violations that the simulator itself detects, such as
	// a second primary, and the violations of the rule for binding sets. Availability is not checked, because there are too few
	// callers.
	Violations int
}

// PrimaryLoss is a way to lose the control primary.
type PrimaryLoss struct {
	Name   string
	inject func(f *fleet, primary *controlServer)
}

// PrimaryLosses lists the ways to lose the control primary. Each loss lasts for
// 4 s.
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

// failoverProbe measures the failover that follows the loss of a primary.
type failoverProbe struct {
	fleet       *fleet
	lost        *controlServer
	lostAt      time.Duration
	writes      int
	measurement *ControlFailover
}

// MeasureControlFailover injects the loss of the control primary into a fleet
// without other faults, and measures the failover.
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

// check looks for another primary, and periodically submits a write to each
// server that is primary.
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

// MeasureControlFailovers measures count consecutive seeds, at most jobs of them
// at once. It returns the times of each seed, and the total of the violations.
func MeasureControlFailovers(from, count uint64, config Config, loss PrimaryLoss, jobs int) (primacy, firstWrites []time.Duration, violations int) {
	results := runConcurrently(count, jobs, func(index uint64) ControlFailover { return MeasureControlFailover(from+index, config, loss) })
	for _, result := range results {
		primacy = append(primacy, result.Primacy)
		firstWrites = append(firstWrites, result.FirstWrite)
		violations += result.Violations
	}
	return primacy, firstWrites, violations
}

// Quantile returns the quantile of the durations at part, which is from 0 to 1.
// It is always one of the durations. Quantile returns -1 if there are none.
func Quantile(durations []time.Duration, part float64) time.Duration {
	if len(durations) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}
