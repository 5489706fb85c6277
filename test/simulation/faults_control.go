package simulation

import "time"

const (
	minSlowDiskDelay = 20 * time.Millisecond
	maxSlowDiskDelay = 300 * time.Millisecond
	maxClockError    = 3 * time.Second
	// isolationProbability is the probability that an isolated control server is
	// cut off from another one in both directions.
	isolationProbability = 0.7
)

func (p *controlPlane) randomControl() *controlServer { return pickRandom(p.simulator, p.controls) }

func (p *controlPlane) crashControl(duration time.Duration) {
	control := p.randomControl()
	control.crashAndRestart(control.start, duration)
}

func (p *controlPlane) crashControlPrimary(duration time.Duration) {
	if primaries := p.primaries(); len(primaries) > 0 {
		primaries[0].crashAndRestart(primaries[0].start, duration)
	}
}

func (p *controlPlane) crashControlBetweenSyncs(time.Duration) {
	p.randomControl().writesUntilCrash = 1 + p.simulator.random.IntN(maxWritesUntilCrash)
}

func (p *controlPlane) loseControlDisk(duration time.Duration) {
	if !p.isControlHealthy() {
		return
	}
	control := p.randomControl()
	control.crashAndRestart(control.start, duration)
	control.disk = newDisk()
	p.simulator.record("%s lost its disk", control.name)
}

func (p *controlPlane) tearControlFile(duration time.Duration) {
	if !p.isControlHealthy() {
		return
	}
	control := p.randomControl()
	control.crashAndRestart(control.start, duration)
	control.disk.tear()
	p.simulator.record("%s has a torn file", control.name)
}

func (p *controlPlane) fillControlDisk(duration time.Duration) { p.randomControl().fillDisk(duration) }

// fillDisk makes disk writes fail for the duration.
func (c *controlServer) fillDisk(duration time.Duration) {
	c.disk.failing = true
	c.simulator.after(duration, func() { c.disk.failing = false })
}

// hangDisk makes disk writes hang until the end of the duration.
func (c *controlServer) hangDisk(duration time.Duration) {
	c.disk.hangsUntil = c.simulator.now + duration
}

func (p *controlPlane) hangControlPrimaryDisk(duration time.Duration) {
	for _, primary := range p.primaries() {
		primary.hangDisk(duration)
	}
}

func (p *controlPlane) slowControlDisk(duration time.Duration) {
	control := p.randomControl()
	control.disk.writeDelay = p.simulator.randomDuration(minSlowDiskDelay, maxSlowDiskDelay)
	p.simulator.after(duration, func() { control.disk.writeDelay = 0 })
}

// isolateControl blocks all messages from a control server to the others, and the
// messages from some of the others to it.
func (p *controlPlane) isolateControl(duration time.Duration) {
	isolated := p.randomControl()
	for _, control := range p.controls {
		if control == isolated {
			continue
		}
		l := link{isolated.name, control.name}
		p.simulator.blockLink(l, duration)
		if p.simulator.chance(isolationProbability) {
			p.simulator.blockLink(l.reversed(), duration)
		}
	}
}

func (p *controlPlane) setClockWrong(duration time.Duration) {
	control := p.randomControl()
	skew := control.wallClockSkew
	control.wallClockSkew += p.simulator.randomDuration(-maxClockError, maxClockError)
	p.simulator.after(duration, func() { control.wallClockSkew = skew })
}
