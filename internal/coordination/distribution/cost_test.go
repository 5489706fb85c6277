package distribution

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// crowded gives a desk at which so many nodes hold a lease, each of which
// reports on a database of its own; d0 reports on db0.
func crowded(nodes int) *desk {
	d := newDesk(1, store.New())
	for number := range nodes {
		d.puts(store.Put{Key: model.KeyNode + fmt.Sprintf("d%d", number)}, writerPut(fmt.Sprintf("db%d", number), 1))
	}
	for number := range nodes {
		seen := instance(fmt.Sprintf("a%d", number), model.RolePrimary)
		seen.Database = fmt.Sprintf("db%d", number)
		d.Ask(AskNews{Node: fmt.Sprintf("d%d", number), Kind: model.KindData, Have: d.Doc().Stamp, Reports: []Report{{Instance: seen}}}, 1, d.now)
	}
	d.pass(Wait)
	d.Flush(true, d.wall, d.now)
	return d
}

func TestAllocations(t *testing.T) {
	few, many := crowded(10), crowded(400)
	Convey("An ask takes as much from memory however many nodes hold a lease", t, func() {
		allocations := func(d *desk) float64 {
			ask := AskNews{Node: "d0", Kind: model.KindData, Have: d.Doc().Stamp}
			return testing.AllocsPerRun(100, func() {
				d.Ask(ask, 1, d.now)
				d.Flush(true, d.wall, d.now+Wait)
			})
		}
		So(allocations(many), ShouldEqual, allocations(few))
	})
	Convey("A case takes as much from memory however many nodes report on other databases", t, func() {
		allocations := func(d *desk) float64 {
			heard := instance("a0", model.RolePrimary)
			heard.Database = "db0"
			return testing.AllocsPerRun(100, func() {
				d.Takeover("db0", []Heard{{Instance: heard, At: d.now}}, d.wall, d.now)
				d.Case("db0", []Heard{{Instance: heard, At: d.now}}, d.wall, d.now)
			})
		}
		So(allocations(many), ShouldEqual, allocations(few))
	})
	Convey("What a node reported is dropped with the node", t, func() {
		So(len(few.reports["a3"]), ShouldEqual, 1)
		few.pass(forget + time.Minute)
		few.settle()
		So(few.reports["a3"], ShouldBeEmpty)
	})
}

func TestBesideAsks(t *testing.T) {
	Convey("What comes beside the asks, and may come late, brings evidence and leaves an instance as the asks have it", t, func() {
		d := crowded(2)
		old := instance("a0", model.RolePrimary)
		old.Database, old.Address, old.Position = "db0", "old:1", model.Position{Term: 1, Index: 8}
		d.Gather(Told{Node: "d0", Reports: []Report{{Instance: old, Refused: 2}}}, d.now)
		d.Gather(Told{Node: "d0", Reports: []Report{{Instance: model.Instance{Name: "never told"}}}}, d.now)
		at := d.Takeover("db0", nil, d.wall, d.now)
		So(len(at.Sights), ShouldEqual, 1)
		So(at.Sights[0].Instance.Address, ShouldEqual, "a0:1")
		So(at.Sights[0].Instance.Position.Index, ShouldEqual, 8)
		So(at.Sights[0].Refused, ShouldEqual, 1)
	})
}
