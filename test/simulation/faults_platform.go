package simulation

import "time"

// delayPlatform has calls of the platform take longer for a span.
func (f *fleet) delayPlatform(minDelay, maxDelay, span time.Duration) {
	f.platform.delay = f.simulator.randomDuration(minDelay, maxDelay)
	f.simulator.after(span, func() { f.platform.delay = 0 })
}

func (f *fleet) keepOldPrimary(span time.Duration) {
	f.platform.keepsOldPrimary = true
	f.simulator.after(span, func() { f.platform.keepsOldPrimary = false })
}

func (f *fleet) cutOffPlatform(span time.Duration) {
	f.platform.cutOff = true
	f.simulator.after(span, func() { f.platform.cutOff = false })
}
