package simulation

import "time"

// delayPlatform has calls of the platform take longer for a span.
func (f *fleet) delayPlatform(minDelay, maxDelay, span time.Duration) {
	setFor(f.simulator, span, &f.platform.delay, f.simulator.randomDuration(minDelay, maxDelay), 0)
}

func (f *fleet) keepOldPrimary(span time.Duration) {
	setFor(f.simulator, span, &f.platform.keepsOldPrimary, true, false)
}

func (f *fleet) cutOffPlatform(span time.Duration) {
	setFor(f.simulator, span, &f.platform.cutOff, true, false)
}
