package simulation

import (
	"slices"
	"sync"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/store"
)

// Takeover is how control came back after its primary was lost.
type ControlFailover struct {
	Seed uint64
	// Primacy is the time until another machine held primacy, Kept until a write
	// that was asked for again and again was kept by it and a backup. Both are
	// in virtual time and -1 where it did not come within 4 s.
	Primacy, FirstWrite time.Duration
	// Faults counts two primaries at once and sets lost; the level of service is
	// not judged with so few callers.
	Violations int
}

// Loss is a way to lose the control primary.
type PrimaryLoss struct {
	Name   string
	inject func(f *fleet, primary *controlServer)
}

// Losses lists them; each lasts for 4 s.
func PrimaryLosses() []PrimaryLoss {
	const long = 4 * time.Second
	return []PrimaryLoss{
		{"crash", func(f *fleet, primary *controlServer) { f.crashAndRestart(&primary.machine, primary.start, long) }},
		{"freeze", func(f *fleet, primary *controlServer) {
			primary.freeze()
			f.simulator.after(long, primary.thaw)
		}},
		{"cut off", func(f *fleet, primary *controlServer) {
			for _, other := range f.controls {
				if other != primary {
					f.blockLink([2]string{primary.name, other.name}, long)
					f.blockLink([2]string{other.name, primary.name}, long)
				}
			}
		}},
		{"disk hangs", func(f *fleet, primary *controlServer) { primary.disk.hangsUntil = f.simulator.now + long }},
		{"disk refuses", func(f *fleet, primary *controlServer) {
			primary.disk.failing = true
			f.simulator.after(long, func() { primary.disk.failing = false })
		}},
	}
}

// MeasureTakeover loses the control primary of a fleet at rest, while writes
// are asked for, and measures what comes after.
func MeasureControlFailover(seed uint64, shape Config, loss PrimaryLoss) ControlFailover {
	const horizon = 4 * time.Second
	found := ControlFailover{Seed: seed, Primacy: -1, FirstWrite: -1}
	shape.WarmUp, shape.FaultDuration, shape.RecoveryDuration, shape.Callers = time.Second, 6*time.Second, 6*time.Second, 2
	shape.Script = func(f *fleet) {
		f.simulator.after(f.simulator.randomDuration(0, time.Second), func() {
			at := slices.IndexFunc(f.controls, func(one *controlServer) bool { return one.running && one.isPrimary() })
			if at < 0 {
				return
			}
			old, began := f.controls[at], f.simulator.now
			loss.inject(f, old)
			number := 0
			request := func(one *controlServer) {
				number++
				one.submit(func(*store.Table) []store.Put {
					return []store.Put{{Key: "measured/" + time.Duration(number).String(), Data: []byte("x")}}
				}, func(answer consensus.SubmitResult) {
					if answer.Committed && one != old && found.FirstWrite < 0 {
						found.FirstWrite = f.simulator.now - began
					}
				})
			}
			var look func()
			look = func() {
				for _, one := range f.controls {
					if !one.running || one.frozen || !one.isPrimary() {
						continue
					}
					if one != old && found.Primacy < 0 {
						found.Primacy = f.simulator.now - began
					}
					if (f.simulator.now-began)%(50*time.Millisecond) == 0 {
						request(one)
					}
				}
				if f.simulator.now-began < horizon && found.FirstWrite < 0 {
					f.simulator.after(time.Millisecond, look)
				}
			}
			look()
		})
	}
	result := Run(seed, shape, Defects{}, nil)
	for _, rule := range []string{"simulation", "broken set taken, or a taken one lost"} {
		found.Violations += len(result.Violations[rule])
	}
	return found
}

// MeasureTakeovers measures many seeds, so many at once, and counts what the
// checks found.
func MeasureControlFailovers(from, count uint64, shape Config, loss PrimaryLoss, jobs int) (primacy, kept []time.Duration, faults int) {
	results := make([]ControlFailover, count)
	slots := make(chan struct{}, jobs)
	var group sync.WaitGroup
	for at := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			results[at] = MeasureControlFailover(from+at, shape, loss)
		}()
	}
	group.Wait()
	for _, one := range results {
		primacy, kept, faults = append(primacy, one.Primacy), append(kept, one.FirstWrite), faults+one.Violations
	}
	return primacy, kept, faults
}

// Quantile gives the least of the spans that the part q of all do not exceed.
func Quantile(spans []time.Duration, q float64) time.Duration {
	if len(spans) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(spans))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
