package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lossHistory plays random kills, restarts and losses of disks, and checks that whatever
// was acknowledged or served is served from then on.
type lossHistory struct {
	*cluster
	bootstrap func(string) BootstrapConfig
	random    *rand.Rand
	// lossRate is the share of messages that are lost.
	lossRate float64
	// losses is the number of disks lost since the cluster was last whole.
	losses    int
	maxLosses int
	token     uint64
	served    map[string]bool
}

// isWhole reports whether all nodes run, and the primary has a backup and voters that have
// their disks.
func (h *lossHistory) isWhole() bool {
	primary := h.primary()
	if primary == "" || len(h.upNodes()) < len(h.machines) {
		return false
	}
	record := h.machines[primary].Record()
	for _, name := range record.Voters.Names() {
		if !h.machines[name].IsMember() || h.machines[name].voterState.ReplicaIncomplete {
			return false
		}
	}
	return record.Backup != ""
}

func (h *lossHistory) check() {
	primary := h.primary()
	if primary == "" {
		return
	}
	records := h.machines[primary].CommittedTable().Records
	for key := range h.served {
		if _, found := records[key]; !found {
			SoMsg(primary+" does not serve "+key, found, ShouldBeTrue)
		}
	}
	for key := range records {
		h.served[key] = true
	}
}

// step plays one random event and runs the cluster for a short random time. In an epoch
// without a backup, it is often the primary that fails.
func (h *lossHistory) step() {
	names := slices.Sorted(maps.Keys(h.machines))
	name := names[h.random.IntN(len(names))]
	if newest := h.newestRecord(); newest.Backup == "" && h.random.IntN(2) == 0 {
		name = newest.Primary
	}
	events := []func(){
		func() { h.up[name] = false },
		func() { h.restart(h.bootstrap, name) },
		func() { h.restartAll() },
		func() { h.lose(name) },
		func() { h.token++; h.submit(h.token) },
	}
	events[h.random.IntN(len(events))]()
	h.lossRate = []float64{0, 0.1, 0.3}[h.random.IntN(3)]
	for range 1 + h.random.IntN(30) {
		h.run(20 * time.Millisecond)
		h.check()
	}
	if h.isWhole() {
		h.losses = 0
	}
}

func (h *lossHistory) restartAll() {
	for name, up := range h.up {
		if !up {
			h.restart(h.bootstrap, name)
		}
	}
}

// lose makes a node lose its disk, if the cluster must tolerate that now.
func (h *lossHistory) lose(name string) {
	if h.losses < h.maxLosses {
		h.losses++
		h.startBlankNode(h.bootstrap, name)
	}
}

// Guards against epochs after which no node may lead any more, and against writes that are
// lost with a disk, for each order of kills, restarts and losses.
func TestRandomLosses(t *testing.T) {
	shapes := []struct{ voters, standbys, maxLosses int }{{3, 0, 1}, {3, 1, 1}, {5, 0, 2}, {5, 1, 2}}
	const seedsPerShape, steps = 20, 40
	Convey("After any kills, restarts and losses of as many disks as are tolerated, the cluster serves and commits again, and nothing is lost", t, func() {
		for _, shape := range shapes {
			for seed := range uint64(seedsPerShape) {
				c, bootstrap := newFormedCluster(shape.voters, fiveNodes...)
				names := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
				for i := range shape.standbys {
					c.startBlankNode(bootstrap, names[shape.voters+i])
				}
				c.run(time.Second)
				h := &lossHistory{cluster: c, bootstrap: bootstrap, random: rand.New(rand.NewPCG(seed, 0)), maxLosses: shape.maxLosses, served: map[string]bool{}}
				c.isLost = func() bool { return h.random.Float64() < h.lossRate }
				for range steps {
					h.step()
				}
				h.lossRate = 0
				h.restartAll()
				h.run(recoveryTime)
				SoMsg(fmt.Sprintf("shape %v, seed %d: primary, record %v", shape, seed, h.newestRecord()), h.primary(), ShouldNotBeEmpty)
				h.check()
				h.token++
				SoMsg(fmt.Sprintf("shape %v, seed %d: commits", shape, seed), h.submitAndCommit(h.token), ShouldBeTrue)
			}
		}
	})
}
