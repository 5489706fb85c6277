package simulation

import "time"

// delayPlatform has calls of the platform take longer for a span.
func (f *fleet) delayPlatform(minDelay, maxDelay, duration time.Duration) {
	setFor(f.simulator, duration, &f.platform.delay, f.simulator.randomDuration(minDelay, maxDelay), 0)
}

func (f *fleet) keepOldPrimary(duration time.Duration) {
	setFor(f.simulator, duration, &f.platform.keepsOldPrimary, true, false)
}

func (f *fleet) cutOffPlatform(duration time.Duration) {
	setFor(f.simulator, duration, &f.platform.cutOff, true, false)
}
