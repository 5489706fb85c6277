package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func instance(name, role string) model.Instance {
	return model.Instance{Name: name, Database: "db", Address: name + ":1", Role: role, IsSynced: true}
}

func (d *desk) heardAll() []Heard {
	return []Heard{{Instance: instance("a", model.RolePrimary), At: d.now}, {Instance: instance("b", model.RoleReplica), At: d.now}}
}

func (d *desk) open(term uint64) {
	d.write(Write{Build: func(*store.Table) []store.Put {
		writer := model.Writer{Database: "db", Term: term, Primary: "a", Phase: model.PhaseOpen, IsSynced: true}
		return []store.Put{{Key: model.KeyDB + "db", Data: store.Encode(writer)}}
	}, Done: func() {}})
}

func (d *desk) takeover() syncrepl.Case { return d.Takeover("db", d.heardAll(), d.wall, d.now) }

// roster tells the machine of instances that were just heard.
func (d *desk) roster(instances ...model.Instance) bool {
	var list []Heard
	for _, one := range instances {
		list = append(list, Heard{Instance: one, At: d.now})
	}
	return d.Roster(list)
}

func TestRoll(t *testing.T) {
	Convey("A new tenure lists an instance as it was heard a moment ago at most, or since: what an earlier one told the nodes may be newer", t, func() {
		d := newDesk(1, store.New())
		d.roster(instance("a", model.RolePrimary), instance("b", model.RoleReplica))
		old := []Heard{{Instance: instance("a", model.RolePrimary), At: d.now}, {Instance: instance("b", model.RoleReplica), At: d.now}}
		d.Turn(consensus.Record{Epoch: 2, Primary: "c2"}, d.held, d.now)
		d.pass(lately + time.Millisecond)
		d.Turn(consensus.Record{Epoch: 3, Primary: "c1"}, d.held, d.now)
		So(d.Roster(old), ShouldBeFalse)
		old[0].At = d.now - lately
		So(d.Roster(old), ShouldBeTrue)
		So(len(d.roll), ShouldEqual, 1)
		So(d.roll["a"].instance, ShouldResemble, rollOf(old[0].Instance))
		d.pass(time.Minute)
		leaving := instance("b", model.RoleReplica)
		leaving.IsLeaving = true
		So(d.Roster([]Heard{old[0], {Instance: leaving, At: d.now}}), ShouldBeTrue)
		So(len(d.roll), ShouldEqual, 2)
		So(d.roll["b"].instance.IsLeaving, ShouldBeTrue)
	})
	Convey("The roll's number rises when an instance appears or changes, not with repeats or positions, and is of synced instances only", t, func() {
		d := newDesk(1, store.New())
		first := instance("a", model.RolePrimary)
		So(d.roster(first), ShouldBeTrue)
		again := first
		again.Calls, again.Position, again.Term = 7, model.Position{Term: 3, Index: 9}, 3
		So(d.roster(again), ShouldBeFalse)
		for _, change := range []func(*model.Instance){
			func(i *model.Instance) { i.Address = "x:1" }, func(i *model.Instance) { i.Zone = "z" }, func(i *model.Instance) { i.Role = model.RoleReplica },
			func(i *model.Instance) { i.IsLeaving = true }, func(i *model.Instance) { i.IsGone = true }, func(i *model.Instance) { i.Connections = 9 },
			func(i *model.Instance) { i.Slots = 9 },
		} {
			change(&again)
			So(d.roster(again), ShouldBeTrue)
		}
		So(d.roster(again, instance("b", model.RoleReplica)), ShouldBeTrue)
		So(d.roster(again, instance("b", model.RoleReplica), model.Instance{Name: "plain", Database: "x"}), ShouldBeFalse)
	})
	Convey("An ask with a roll of another tenure is answered at once, one with an older roll once it has waited a little; one that has it waits", t, func() {
		d := newDesk(1, store.New())
		d.ask("d1", store.Stamp{})
		d.roster(instance("a", model.RolePrimary))
		asking := AskNews{Node: "d1", Kind: model.KindData, Have: d.held.Stamp}
		d.Ask(asking, 1, d.now)
		replies := d.Flush(true, d.wall, d.now)
		So(len(replies), ShouldEqual, 1)
		So(replies[0].News.Roll.Number, ShouldEqual, 1)
		So(len(replies[0].News.Instances), ShouldEqual, 1)
		asking.Roll = replies[0].News.Roll
		d.Ask(asking, 2, d.now)
		So(d.Flush(true, d.wall, d.now), ShouldBeEmpty)
		d.roster(instance("a", model.RoleReplica))
		So(d.Flush(true, d.wall, d.now), ShouldBeEmpty)
		d.pass(calm)
		So(d.Flush(true, d.wall, d.now)[0].News.Instances[0].Role, ShouldEqual, model.RoleReplica)
		asking.Roll = Roll{Tenure: "c9@1", Number: 2}
		d.Ask(asking, 3, d.now)
		So(len(d.Flush(true, d.wall, d.now)), ShouldEqual, 1)
	})
	Convey("An ask with a roll of this tenure is told only what turned since", t, func() {
		d := newDesk(1, store.New())
		told := func(roll Roll) (Roll, []string) {
			d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: d.held.Stamp, Roll: roll}, 1, d.now)
			d.pass(calm)
			news := d.Flush(true, d.wall, d.now)[0].News
			var names []string
			for _, one := range news.Instances {
				names = append(names, one.Name)
			}
			return news.Roll, names
		}
		first, second := instance("a", model.RolePrimary), instance("b", model.RoleReplica)
		d.roster(second, first)
		early, names := told(Roll{})
		So(names, ShouldResemble, []string{"a", "b"})
		d.roster(first, second, instance("c", model.RoleReplica))
		second.IsLeaving = true
		So(d.Enlist(second), ShouldBeTrue)
		So(d.Enlist(second), ShouldBeFalse)
		_, names = told(early)
		So(names, ShouldResemble, []string{"b", "c"})
		_, names = told(Roll{Tenure: "c9@1", Number: early.Number})
		So(names, ShouldResemble, []string{"a", "b", "c"})
		d.roster(first, second)
		d.Enlist(instance("d", model.RoleReplica))
		_, names = told(Roll{})
		SoMsg("what the control machine has forgotten is on no later roll", names, ShouldResemble, []string{"a", "b", "d"})
	})
	Convey("An ask waits as long as the timing says", t, func() {
		d := newDesk(1, store.New())
		d.Machine = New("c1", func() lease.Timing { one := lease.DefaultTiming(); one.Wait = 500 * time.Millisecond; return one }(), d.Record(), d.held, d.now)
		d.Ask(AskNews{Node: "d1", Kind: model.KindData}, 1, d.now)
		d.pass(400 * time.Millisecond)
		So(d.Flush(true, d.wall, d.now), ShouldBeEmpty)
		d.pass(100 * time.Millisecond)
		So(len(d.Flush(true, d.wall, d.now)), ShouldEqual, 1)
	})
}

func TestWholeReports(t *testing.T) {
	ask := func(d *desk, node string, birth int64, high uint64) {
		d.Ask(AskNews{Node: node, Kind: model.KindData, Have: d.held.Stamp, Birth: birth, Highs: map[string]model.Position{"db": {Term: 3, Index: high}}}, 1, d.now)
		d.settle()
		d.pass(Wait)
		d.Flush(true, d.wall, d.now)
	}
	covered := func(d *desk) {
		at := d.takeover()
		d.Covers(syncrepl.Mark{Database: "db", Tenure: at.Tenure, Event: at.Event, Position: model.Position{Term: 3, Index: 50}})
	}
	started := func() *desk {
		d := newDesk(1, store.New())
		d.open(3)
		ask(d, "d1", 7, 40)
		ask(d, "d1", 7, 40)
		return d
	}
	Convey("A new tenure knows nothing of what was acknowledged before, until a position of the primary covers it", t, func() {
		d := started()
		So(d.takeover().IsWhole(), ShouldBeFalse)
		covered(d)
		at := d.takeover()
		So(at.IsWhole(), ShouldBeTrue)
		So(at.Bound, ShouldResemble, model.Position{Term: 3, Index: 50})
		So(at.Writer.High, ShouldResemble, model.Position{Term: 3, Index: 40})
		ask(d, "d1", 7, 60)
		So(d.takeover().Bound, ShouldResemble, model.Position{Term: 3, Index: 60})
	})
	Convey("A mark of another tenure, or of an event not shown, covers nothing", t, func() {
		d := started()
		d.Covers(syncrepl.Mark{Database: "db", Tenure: "c9@1", Event: 1})
		d.Covers(syncrepl.Mark{Database: "db", Tenure: d.takeover().Tenure, Event: 99})
		So(d.takeover().IsWhole(), ShouldBeFalse)
	})
	Convey("A node born again, or one whose lease lapsed, breaks it; a new term makes it whole", t, func() {
		d := started()
		covered(d)
		ask(d, "d1", 8, 0)
		So(d.takeover().IsWhole(), ShouldBeFalse)
		covered(d)
		So(d.takeover().IsWhole(), ShouldBeTrue)
		d.pass(3 * time.Second)
		So(d.takeover().IsWhole(), ShouldBeFalse)
		d.open(4)
		So(d.takeover().IsWhole(), ShouldBeTrue)
	})
	Convey("A lapse between two asks of the same node is noticed too", t, func() {
		d := started()
		covered(d)
		d.pass(3 * time.Second)
		ask(d, "d1", 7, 40)
		So(d.takeover().IsWhole(), ShouldBeFalse)
	})
}

func TestSyncedSights(t *testing.T) {
	tell := func(d *desk, node string, report Report) {
		report.Instance = instance("a", model.RolePrimary)
		d.Ask(AskNews{Node: node, Kind: model.KindData, Have: d.held.Stamp, Reports: []Report{report}}, 1, d.now)
		d.settle()
		d.Flush(true, d.wall, d.now)
	}
	Convey("Leased nodes with evidence of the last second are counted, by what they saw", t, func() {
		d := newDesk(1, store.New())
		d.open(3)
		for range 2 {
			tell(d, "d1", Report{Answered: time.Hour, Refused: 2})
			tell(d, "d2", Report{Answered: 1500 * time.Millisecond, Overdue: 1400 * time.Millisecond})
			tell(d, "d3", Report{Answered: 400 * time.Millisecond})
			tell(d, "d4", Report{Answered: time.Hour})
			d.pass(Wait)
			d.Flush(true, d.wall, d.now)
		}
		sight := d.takeover().Sights[0]
		So(sight.Tried, ShouldEqual, 3)
		So(sight.Refused, ShouldEqual, 1)
		So(sight.Overdue, ShouldEqual, 1)
		So(sight.Answered, ShouldEqual, 400*time.Millisecond+Wait)
		d.pass(1100 * time.Millisecond)
		So(d.takeover().Sights[0].Tried, ShouldEqual, 0)
		So(d.takeover().Sights[0].Blank, ShouldEqual, 1100*time.Millisecond+Wait)
	})
	Convey("What a node without a lease saw is no evidence", t, func() {
		d := newDesk(1, store.New())
		d.open(3)
		d.Gather(Told{Node: "d9", Reports: []Report{{Instance: instance("a", model.RolePrimary), Refused: 5, Answered: time.Hour}}}, d.now)
		So(d.takeover().Sights[0].Tried, ShouldEqual, 0)
	})
	Convey("Instances that only nodes know of are there too", t, func() {
		d := newDesk(1, store.New())
		d.open(3)
		tell(d, "d1", Report{Answered: 100 * time.Millisecond})
		at := d.Takeover("db", nil, d.wall, d.now)
		So(len(at.Sights), ShouldEqual, 1)
		So(at.Sights[0].Instance.Address, ShouldEqual, "a:1")
	})
	Convey("A phase is settled once every leased node has taken it up, and a reason written meanwhile does not unsettle it", t, func() {
		d := newDesk(1, store.New())
		d.open(3)
		d.ask("d1", store.Stamp{})
		d.ask("d1", d.held.Stamp)
		close := func(why string) {
			d.write(Write{Build: func(*store.Table) []store.Put {
				writer := model.Writer{Database: "db", Term: 3, Primary: "a", Phase: model.PhaseClosing, IsSynced: true, Since: 5, Why: why}
				return []store.Put{{Key: model.KeyDB + "db", Data: store.Encode(writer)}}
			}, Done: func() {}})
		}
		close("one")
		So(d.takeover().IsSettled, ShouldBeFalse)
		d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: d.held.Stamp}, 1, d.now)
		So(d.takeover().IsSettled, ShouldBeTrue)
		close("two")
		d.pass(100 * time.Millisecond)
		at := d.takeover()
		So(at.IsSettled, ShouldBeTrue)
		So(at.SettledFor, ShouldEqual, 100*time.Millisecond)
	})
}

func TestManifests(t *testing.T) {
	put := func(d *desk, version uint64, raw string) bool {
		return d.write(Write{Build: func(held *store.Table) []store.Put {
			set := model.Set{Bindings: []model.Binding{{Name: "b", Database: "db"}}, Databases: []model.Database{{Name: "db", Connections: 80}}}
			puts, _ := PutManifest(held, Manifest{Version: version, Set: set, Packed: []byte(raw), Digest: DigestOf(set, []byte(raw)), Source: "test"}, d.wall)
			return puts
		}, Done: func() {}}) > 0
	}
	Convey("The highest version is kept, with its bytes; one not above changes nothing", t, func() {
		d := newDesk(1, store.New())
		So(put(d, 7, "seven"), ShouldBeTrue)
		So(put(d, 7, "other"), ShouldBeFalse)
		So(put(d, 6, "six"), ShouldBeFalse)
		So(put(d, 12, "twelve"), ShouldBeTrue)
		set, raw, isHeld := Raw(d.held)
		So(isHeld, ShouldBeTrue)
		So(set.Version, ShouldEqual, 12)
		So(set.Sequence, ShouldEqual, 2)
		So(string(raw), ShouldEqual, "twelve")
		So(d.Doc().Newest().Databases[0].Connections, ShouldEqual, 80)
	})
	Convey("Bytes go with their set, but never the newest", t, func() {
		d := newDesk(1, store.New())
		put(d, 1, "one")
		put(d, 2, "two")
		for range 8 {
			d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: d.held.Stamp, Shows: d.Doc().Effective(d.wall).Sequence}, 1, d.now)
			d.settle()
			d.pass(time.Second)
			d.Flush(true, d.wall, d.now)
		}
		So(len(d.Doc().Sets), ShouldEqual, 1)
		So(d.held.Keys(model.KeyRaw), ShouldResemble, []string{RawKey(2)})
		_, raw, _ := Raw(d.held)
		So(string(raw), ShouldEqual, "two")
	})
	Convey("A set that is put beside manifests keeps the version held", t, func() {
		d := newDesk(1, store.New())
		put(d, 9, "nine")
		d.put(1)
		So(d.Doc().Newest().Version, ShouldEqual, 9)
		for range 8 {
			d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: d.held.Stamp, Shows: d.Doc().Effective(d.wall).Sequence}, 1, d.now)
			d.settle()
			d.pass(time.Second)
			d.Flush(true, d.wall, d.now)
		}
		So(len(d.Doc().Sets), ShouldEqual, 1)
		set, raw, _ := Raw(d.held)
		So(set.Version, ShouldEqual, 9)
		So(string(raw), ShouldEqual, "nine")
		So(put(d, 9, "again"), ShouldBeFalse)
	})
}

func TestAsksOfRuns(t *testing.T) {
	bare := func(number uint64, birth int64) AskNews {
		return AskNews{Node: "d1", Kind: model.KindData, Birth: birth, Number: number, IsBare: true}
	}
	Convey("A node that says it holds no lease is not waited for; a late word of that, or of an earlier run, changes nothing", t, func() {
		d := newDesk(3, store.New())
		d.Ask(AskNews{Node: "d1", Kind: model.KindData, Birth: 7, Number: 2}, 1, d.now)
		d.settle()
		held := func() bool {
			_, isHeld := d.Held(d.now)["d1"]
			return isHeld
		}
		grant := func(number uint64, birth int64) {
			d.Ask(AskNews{Node: "d1", Kind: model.KindData, Birth: birth, Number: number}, 2, d.now)
			d.pass(Wait)
			d.Flush(true, d.wall, d.now)
		}
		grant(3, 7)
		So(held(), ShouldBeTrue)
		d.Ask(bare(2, 7), 3, d.now)
		So(held(), ShouldBeTrue)
		d.Ask(bare(4, 7), 4, d.now)
		So(held(), ShouldBeFalse)
		grant(1, 8)
		So(held(), ShouldBeTrue)
		d.Ask(bare(9, 7), 5, d.now)
		So(held(), ShouldBeTrue)
		d.Ask(bare(2, 8), 6, d.now)
		So(held(), ShouldBeFalse)
	})
	Convey("A node that gives no run is taken at its word for nothing", t, func() {
		d := newDesk(3, store.New())
		d.ask("d1", store.Stamp{})
		d.Ask(AskNews{Node: "d1", Kind: model.KindData, IsBare: true}, 9, d.now)
		_, isHeld := d.Held(d.now)["d1"]
		So(isHeld, ShouldBeTrue)
	})
}

func TestMomentComesWithALease(t *testing.T) {
	Convey("The news of a set's moment brings a lease past that moment, also before the write of it is answered", t, func() {
		d := newDesk(3, store.New())
		d.ask("d1", store.Stamp{})
		d.put(0)
		d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: d.held.Stamp}, 5, d.now)
		write, isDue := d.Land(d.wall, d.now)
		So(isDue, ShouldBeTrue)
		d.held = d.held.Clone()
		d.held.Apply(store.Stamp{Epoch: 3, Sequence: d.held.Stamp.Sequence + 1}, write.Build(d.held))
		d.Wrote(d.held)
		So(d.Doc().IsPending(), ShouldBeFalse)
		replies := d.Flush(true, d.wall, d.now)
		So(len(replies), ShouldEqual, 1)
		So(replies[0].News.Lease, ShouldBeGreaterThan, time.Duration(d.Doc().Newest().Moment-d.wall))
		write.Done()
	})
}

func TestAsksEndWithAMoment(t *testing.T) {
	Convey("An ask that came before a set's moment is answered when that is past, with a whole lease again", t, func() {
		d := newDesk(3, store.New())
		d.ask("d1", store.Stamp{})
		d.put(0)
		d.ask("d1", d.held.Stamp)
		d.ask("d1", d.held.Stamp)
		d.put(1)
		d.ask("d1", d.held.Stamp)
		left := time.Duration(d.Doc().Newest().Moment - d.wall)
		So(left, ShouldBeGreaterThan, 0)
		d.pass(left - time.Millisecond)
		d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: d.held.Stamp}, 8, d.now)
		So(len(d.Flush(true, d.wall, d.now)), ShouldEqual, 0)
		d.pass(2 * time.Millisecond)
		replies := d.Flush(true, d.wall, d.now)
		So(len(replies), ShouldEqual, 1)
		So(replies[0].News.Lease, ShouldEqual, lease.DefaultTiming().Full)
		d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: d.held.Stamp}, 9, d.now)
		So(len(d.Flush(true, d.wall, d.now)), ShouldEqual, 0)
	})
}
