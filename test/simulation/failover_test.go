package simulation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestNothingIsPromotedWithoutProof(t *testing.T) {
	Convey("When the primary is down and the only candidate is unreachable, no instance is promoted until the candidate is reachable again", t, func() {
		config := SmallConfig()
		config.FaultDuration, config.RecoveryDuration = 12*time.Second, 15*time.Second
		terms := []uint64{}
		config.Script = func(f *fleet) {
			at := func(delay time.Duration, act func()) { f.simulator.after(delay, act) }
			database := f.databases[0]
			lagging, candidate := f.findInstance(database+"-b"), f.findInstance(database+"-c")
			f.faults.followUpsLeft = 0
			lagging.replicationDelay = 3 * time.Second
			at(4*time.Second, func() {
				f.findInstance(database + "-a").crash()
				candidate.freeze()
			})
			at(9*time.Second, func() { terms = append(terms, f.writerRole(database).Term) })
			at(9500*time.Millisecond, candidate.thaw)
			at(9500*time.Millisecond, func() { lagging.replicationDelay = 2 * time.Millisecond })
			at(11900*time.Millisecond, func() {
				terms = append(terms, f.writerRole(database).Term)
				if f.writerRole(database).Primary != candidate.name {
					f.recorder.addViolation("%s is primary", f.writerRole(database).Primary)
				}
				f.findInstance(database + "-a").start()
			})
		}
		for seed := range uint64(6) {
			terms = nil
			result := Run(9+seed, config, Defects{}, nil)
			So(result.Violations, ShouldBeEmpty)
			So(terms, ShouldResemble, []uint64{1, 2})
		}
	})
}
