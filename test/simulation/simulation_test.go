package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// concurrentRuns bounds the runs at once of one test.
const concurrentRuns = 5

func runMany(from, count uint64, config Config, defects Defects) []Result {
	return runConcurrently(count, concurrentRuns, func(index uint64) Result { return Run(from+index, config, defects, nil) })
}

func onlyWithoutRace(t *testing.T) {
	if isRace {
		t.Skip("played without the race detector")
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	Convey("The same seed gives the same history, byte for byte, and another another", t, func() {
		config := SmallConfig()
		first, repeated, other := Run(3, config, Defects{}, nil), Run(3, config, Defects{}, nil), Run(4, config, Defects{}, nil)
		So(first.HistoryDigest, ShouldEqual, repeated.HistoryDigest)
		So(first.HistoryDigest, ShouldNotEqual, other.HistoryDigest)
	})
}

func TestFixedSeeds(t *testing.T) {
	onlyWithoutRace(t)
	Convey("On fixed seeds, no rule is broken while machines, links, disks, clocks, instances and the platform fail", t, func() {
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
		{"an intent was given up for a position told before it", 7000138, withIndependentDraws(SmallConfig())},
		{"a control primary that came back published a write that its backup had not", 7000103, withIndependentDraws(SmallConfig())},
		{"a write was published before it was synced", 7000967, SmallConfig()},
		{"a lull in what callers asked for was taken for a service that is down", 7000386, SmallConfig()},
		{"as before", 9100765, LargeConfig()},
		{"as before", 9101192, LargeConfig()},
	}
	Convey("Seeds on which a rule was broken once break none", t, func() {
		for _, regression := range seeds {
			Convey(fmt.Sprintf("%d: %s", regression.seed, regression.failure), func() {
				So(Run(regression.seed, regression.config, Defects{}, nil).Violations, ShouldBeEmpty)
			})
		}
	})
}

func TestBookedSetBesideManyEpochs(t *testing.T) {
	onlyWithoutRace(t)
	Convey("A booked set shows everywhere within 3 s of its due time, on a seed with sixteen epochs", t, func() {
		So(Run(14000423, SmallConfig(), Defects{}, nil).Violations, ShouldBeEmpty)
	})
}
