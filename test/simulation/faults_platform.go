package simulation

import "time"

// delayPlatform delays the platform's calls by a random time for the duration.
func (f *fleet) delayPlatform(minDelay, maxDelay, duration time.Duration) {
	setFor(f.simulator, duration, &f.platform.delay, f.simulator.randomDuration(minDelay, maxDelay), 0)
}

func (f *fleet) keepOldPrimary(duration time.Duration) {
	setFor(f.simulator, duration, &f.platform.keepsOldPrimary, true, false)
}

func (f *fleet) cutOffPlatform(duration time.Duration) {
	setFor(f.simulator, duration, &f.platform.cutOff, true, false)
}
