package simulation

import "time"

// readAlong asks control machines, drawn by lot, for the newest set, and holds that
// an answer has all that was acknowledged before the question was sent.
func (f *fleet) readAlong(until time.Duration) {
	operator := &machine{world: f.world, name: "operator", isUp: true}
	var act func()
	act = func() {
		asked, acknowledged := pick(f, f.controls), f.acknowledged
		f.world.send(operator, &asked.machine, func() {
			if !asked.isPrimary() && !f.plant.IsReadAnywhere {
				return
			}
			newest := asked.steer.Doc().Newest().Sequence
			f.world.send(&asked.machine, operator, func() {
				f.reads++
				if newest < acknowledged {
					f.miss("%s gave sequence %d to a read, %d was acknowledged before", asked.name, newest, acknowledged)
				}
			})
		})
		if f.world.now < until {
			f.world.after(f.world.between(20*time.Millisecond, 120*time.Millisecond), act)
		}
	}
	act()
}
