package simulation

import (
	"slices"
	"sync"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/store"
)

// Takeover is how control came back after its primary was lost.
type Takeover struct {
	Seed uint64
	// Primacy is the time until another machine held primacy, Kept until a write
	// that was asked for again and again was kept by it and a backup. Both are
	// in virtual time and -1 where it did not come within 4 s.
	Primacy, Kept time.Duration
	// Faults counts two primaries at once and sets lost; the level of service is
	// not judged with so few callers.
	Faults int
}

// Loss is a way to lose the control primary.
type Loss struct {
	Name string
	act  func(f *fleet, primary *control)
}

// Losses lists them; each lasts for 4 s.
func Losses() []Loss {
	const long = 4 * time.Second
	return []Loss{
		{"crash", func(f *fleet, primary *control) { f.bounce(&primary.machine, primary.start, long) }},
		{"freeze", func(f *fleet, primary *control) {
			primary.freeze()
			f.world.after(long, primary.thaw)
		}},
		{"cut off", func(f *fleet, primary *control) {
			for _, other := range f.controls {
				if other != primary {
					f.cut([2]string{primary.name, other.name}, long)
					f.cut([2]string{other.name, primary.name}, long)
				}
			}
		}},
		{"disk hangs", func(f *fleet, primary *control) { primary.disk.hangs = f.world.now + long }},
		{"disk refuses", func(f *fleet, primary *control) {
			primary.disk.isFailing = true
			f.world.after(long, func() { primary.disk.isFailing = false })
		}},
	}
}

// MeasureTakeover loses the control primary of a fleet at rest, while writes
// are asked for, and measures what comes after.
func MeasureTakeover(seed uint64, shape Shape, loss Loss) Takeover {
	const horizon = 4 * time.Second
	found := Takeover{Seed: seed, Primacy: -1, Kept: -1}
	shape.Calm, shape.Span, shape.Tail, shape.Callers = time.Second, 6*time.Second, 6*time.Second, 2
	shape.Script = func(f *fleet) {
		f.world.after(f.world.between(0, time.Second), func() {
			at := slices.IndexFunc(f.controls, func(one *control) bool { return one.isUp && one.isPrimary() })
			if at < 0 {
				return
			}
			old, began := f.controls[at], f.world.now
			loss.act(f, old)
			number := 0
			ask := func(one *control) {
				number++
				one.submit(func(*store.Table) []store.Put {
					return []store.Put{{Key: "measured/" + time.Duration(number).String(), Data: []byte("x")}}
				}, func(answer consensus.Answer) {
					if answer.IsKept && one != old && found.Kept < 0 {
						found.Kept = f.world.now - began
					}
				})
			}
			var look func()
			look = func() {
				for _, one := range f.controls {
					if !one.isUp || one.isFrozen || !one.isPrimary() {
						continue
					}
					if one != old && found.Primacy < 0 {
						found.Primacy = f.world.now - began
					}
					if (f.world.now-began)%(50*time.Millisecond) == 0 {
						ask(one)
					}
				}
				if f.world.now-began < horizon && found.Kept < 0 {
					f.world.after(time.Millisecond, look)
				}
			}
			look()
		})
	}
	result := Run(seed, shape, Plant{}, nil)
	for _, rule := range []string{"simulation", "broken set taken, or a taken one lost"} {
		found.Faults += len(result.Faults[rule])
	}
	return found
}

// MeasureTakeovers measures many seeds, so many at once, and counts what the
// checks found.
func MeasureTakeovers(from, count uint64, shape Shape, loss Loss, jobs int) (primacy, kept []time.Duration, faults int) {
	results := make([]Takeover, count)
	slots := make(chan struct{}, jobs)
	var group sync.WaitGroup
	for at := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			results[at] = MeasureTakeover(from+at, shape, loss)
		}()
	}
	group.Wait()
	for _, one := range results {
		primacy, kept, faults = append(primacy, one.Primacy), append(kept, one.Kept), faults+one.Faults
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
