package simulation

import "time"

// readAlong asks control machines, drawn by lot, for the newest set, and holds that
// an answer has all that was acknowledged before the question was sent.
func (f *fleet) checkReadsUntil(until time.Duration) {
	operator := &machine{simulator: f.simulator, name: "operator", running: true}
	var act func()
	act = func() {
		asked, acknowledged := pickRandom(f, f.controls), f.acknowledgedSequence
		f.simulator.send(operator, &asked.machine, func() {
			if !asked.isPrimary() && !f.defects.ReadWithoutPrimacy {
				return
			}
			newest := asked.distributor.Snapshot().NewestSet().Sequence
			f.simulator.send(&asked.machine, operator, func() {
				f.answeredReads++
				if newest < acknowledged {
					f.addViolation("%s gave sequence %d to a read, %d was acknowledged before", asked.name, newest, acknowledged)
				}
			})
		})
		if f.simulator.now < until {
			f.simulator.after(f.simulator.randomDuration(20*time.Millisecond, 120*time.Millisecond), act)
		}
	}
	act()
}
