package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// concurrentRuns is the maximum number of runs that one test executes at once.
const concurrentRuns = 5

func runMany(from, count uint64, config Config, defects Defects) []Result {
	return runConcurrently(count, concurrentRuns, func(index uint64) Result { return Run(from+index, config, defects, nil) })
}

func onlyWithoutRace(t *testing.T) {
	if isRace {
		t.Skip("runs only without the race detector")
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	Convey("The same seed produces the same history, byte for byte, and a different seed produces a different history", t, func() {
		config := SmallConfig()
		first, repeated, other := Run(3, config, Defects{}, nil), Run(3, config, Defects{}, nil), Run(4, config, Defects{}, nil)
		So(first.HistoryDigest, ShouldEqual, repeated.HistoryDigest)
		So(first.HistoryDigest, ShouldNotEqual, other.HistoryDigest)
	})
}

func TestFixedSeeds(t *testing.T) {
	onlyWithoutRace(t)
	Convey("On fixed seeds, no rule is violated while machines, links, disks, clocks, instances and the platform fail", t, func() {
		terms, epochs := uint64(0), uint64(0)
		for _, batch := range [][]Result{runMany(1, 8, SmallConfig(), Defects{}), runMany(1, 4, LargeConfig(), Defects{})} {
			for _, result := range batch {
				So(result.Violations, ShouldBeEmpty)
				So(result.Writes, ShouldBeGreaterThan, 100)
				So(result.Reads, ShouldBeGreaterThan, 100)
				terms, epochs = terms+result.Terms-1, epochs+result.Epochs
			}
		}
		So(terms, ShouldBeGreaterThan, 3)
		So(epochs, ShouldBeGreaterThan, 20)
	})
}

func withIndependentDraws(config Config) Config {
	config.IndependentDraws, config.WarmUp = true, 3*time.Second
	return config
}

func TestSeedsOnceBroken(t *testing.T) {
	onlyWithoutRace(t)
	seeds := []struct {
		failure string
		seed    uint64
		config  Config
	}{
		{"a promotion was abandoned because of a position that was reported before the promotion", 7000138, withIndependentDraws(SmallConfig())},
		{"a control primary that had returned published a write that its backup did not have", 7000103, withIndependentDraws(SmallConfig())},
		{"a write was published before it was synced", 7000967, SmallConfig()},
		{"a lull in the load of the callers was mistaken for a service outage", 7000386, SmallConfig()},
		{"a lull in the load of the callers was mistaken for a service outage", 9100765, LargeConfig()},
		{"a lull in the load of the callers was mistaken for a service outage", 9101192, LargeConfig()},
	}
	Convey("Seeds on which a rule was once violated violate none", t, func() {
		for _, regression := range seeds {
			Convey(fmt.Sprintf("%d: %s", regression.seed, regression.failure), func() {
				So(Run(regression.seed, regression.config, Defects{}, nil).Violations, ShouldBeEmpty)
			})
		}
	})
}

func TestBookedSetBesideManyEpochs(t *testing.T) {
	onlyWithoutRace(t)
	Convey("On a seed with sixteen epochs, a scheduled set is active on all nodes within 3 s of its due time", t, func() {
		So(Run(14000423, SmallConfig(), Defects{}, nil).Violations, ShouldBeEmpty)
	})
}
