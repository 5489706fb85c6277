package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

type desk struct {
	*Machine
	held *store.Table
	now  time.Duration
	wall int64
}

func newDesk(epochNo uint64, held *store.Table) *desk {
	return newDeskOf(lease.DefaultTiming(), epochNo, held)
}

func newDeskOf(timing lease.Timing, epochNo uint64, held *store.Table) *desk {
	d := &desk{held: held, now: time.Hour, wall: int64(1000 * time.Hour)}
	d.Machine = New("c1", timing, consensus.Record{Epoch: epochNo, Primary: "c1", Backup: "c2"}, held, d.now)
	return d
}

func (d *desk) pass(span time.Duration) { d.now, d.wall = d.now+span, d.wall+int64(span) }

func (d *desk) write(write Write) int {
	puts := write.Build(d.held)
	if len(puts) > 0 {
		d.held = d.held.Clone()
		d.held.Apply(store.Stamp{Epoch: d.Record().Epoch, Sequence: d.held.Stamp.Sequence + 1}, puts)
		d.Wrote(d.held)
	}
	write.Done()
	return len(puts)
}

func (d *desk) settle() int {
	writes := 0
	for range 20 {
		isAny := false
		for _, next := range []func(int64, time.Duration) (Write, bool){d.Enroll, d.Land, d.Tidy} {
			if write, isDue := next(d.wall, d.now); isDue {
				isAny = d.write(write) > 0 || isAny
				writes++
			}
		}
		if !isAny {
			break
		}
	}
	return writes
}

func (d *desk) ask(node string, have store.Stamp) News {
	d.Ask(AskNews{Node: node, Kind: model.KindData, Have: have}, 1, d.now)
	d.settle()
	d.pass(Wait)
	replies := d.Flush(true, d.wall, d.now)
	So(len(replies), ShouldBeGreaterThan, 0)
	return replies[len(replies)-1].News
}

func (d *desk) put(expected uint64) {
	d.write(Write{Build: func(held *store.Table) []store.Put {
		puts, _ := PutSet(held, expected, []model.Binding{{Name: "b", Database: "db"}}, "test", d.wall)
		return puts
	}, Done: func() {}})
}

func TestLeases(t *testing.T) {
	Convey("A node that asks is put on record once, and gets a lease of this epoch even from a primary that was just started", t, func() {
		d := newDesk(3, store.New())
		first := d.ask("d1", store.Stamp{})
		So(d.settle(), ShouldEqual, 0)
		again := d.ask("d1", d.held.Stamp)
		So(first.Record.Epoch, ShouldEqual, 3)
		So(again.Lease, ShouldEqual, lease.DefaultTiming().Full)
		d.pass(forget + lease.DefaultTiming().Full + time.Second)
		So(d.settle(), ShouldBeGreaterThan, 0)
		So(d.held.Records, ShouldNotContainKey, model.KeyNode+"d1")
	})
	Convey("A new primary reckons with the leases of all nodes on record, and with no others", t, func() {
		d := newDesk(1, store.New())
		d.ask("d1", store.Stamp{})
		d.put(0)
		next := newDesk(2, d.held)
		write, isDue := next.Land(next.wall, next.now)
		So(isDue, ShouldBeFalse)
		next.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: next.held.Stamp}, 1, next.now)
		write, isDue = next.Land(next.wall, next.now)
		So(isDue, ShouldBeTrue)
		So(next.write(write), ShouldBeGreaterThan, 0)
		So(next.Doc().Newest().Moment, ShouldBeGreaterThan, next.wall)
	})
	Convey("While a set waits for a node, leases end where its moment can still come in time; past that there are none", t, func() {
		d := newDesk(1, store.New())
		d.ask("d1", store.Stamp{})
		d.ask("d2", store.Stamp{})
		d.ask("d1", d.held.Stamp)
		d.put(0)
		taken := d.wall
		for d.wall < taken+int64(lease.DefaultTiming().Reach()) {
			d.Machine.desk.OnAsk("d2", store.Stamp{}, d.now)
			d.Machine.desk.Grant("d2", time.Minute, d.now)
			left := time.Duration(taken + int64(lease.DefaultTiming().Reach()) - d.wall)
			So(d.ask("d1", d.held.Stamp).Lease, ShouldBeLessThanOrEqualTo, min(lease.DefaultTiming().Full, left))
		}
		d.Machine.desk.OnAsk("d2", store.Stamp{}, d.now)
		d.Machine.desk.Grant("d2", time.Minute, d.now)
		So(d.ask("d1", d.held.Stamp).Lease, ShouldEqual, 0)
	})
	Convey("With a node that falls silent, a set's moment is within the bound that the settings give", t, func() {
		for _, bound := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 11 * time.Second} {
			timing := lease.DefaultTiming()
			timing.InForce = bound
			d := newDeskOf(timing, 1, store.New())
			for range 2 {
				d.ask("d1", d.held.Stamp)
				d.ask("d2", d.held.Stamp)
			}
			d.put(0)
			taken := d.wall
			for d.Doc().Newest().Moment == 0 && d.wall < taken+int64(time.Minute) {
				d.ask("d1", d.held.Stamp)
				d.settle()
				d.pass(50 * time.Millisecond)
			}
			SoMsg(bound.String(), time.Duration(d.Doc().Newest().Moment-taken), ShouldBeBetween, 0, bound)
		}
	})
	Convey("A moment set by an earlier tenure is brought in force before any lease goes out", t, func() {
		d := newDesk(1, store.New())
		d.ask("d1", store.Stamp{})
		d.put(0)
		d.ask("d1", d.held.Stamp)
		d.settle()
		So(d.Doc().Newest().Moment, ShouldBeGreaterThan, 0)
		next := newDesk(1, d.held)
		next.wall = d.Doc().Newest().Moment - int64(3*time.Second)
		So(next.room(next.wall), ShouldEqual, 0)
		next.settle()
		So(next.Doc().Effective(next.wall).Sequence, ShouldEqual, 0)
		So(next.room(next.wall), ShouldEqual, 0)
		next.now += lease.DefaultTiming().Full
		So(next.room(next.wall), ShouldEqual, 0)
		next.settle()
		So(next.Doc().Effective(next.wall).Sequence, ShouldEqual, 1)
		So(next.room(next.wall), ShouldBeGreaterThan, 0)
	})
}

func TestRecordOnce(t *testing.T) {
	Convey("A call's answer is kept, a stale set is told the current sequence, a stale case is not written", t, func() {
		held := store.New()
		puts, _ := PutSet(held, 0, nil, "x", 1)
		held.Apply(store.Stamp{Epoch: 1, Sequence: 1}, Keep(held, "call-1", Outcome{Status: 200, Body: []byte("one")}, puts))
		past, isPast := Past(held, "call-1")
		So(isPast, ShouldBeTrue)
		So(string(past.Body), ShouldEqual, "one")
		none, newest := PutSet(held, 0, nil, "y", 2)
		So(none, ShouldBeEmpty)
		So(newest, ShouldEqual, 1)
		ask := RecordCase{After: model.Writer{Database: "db", Term: 1, Phase: model.PhaseOpen}}
		held.Apply(store.Stamp{Epoch: 1, Sequence: 2}, Record(held, ask, 3))
		So(Record(held, ask, 4), ShouldBeEmpty)
	})
	Convey("Answers past their number are pruned, oldest first", t, func() {
		held := store.New()
		for at := range CallsKept + 3 {
			puts := Keep(held, time.Duration(at).String(), Outcome{}, []store.Put{{Key: "x"}})
			held.Apply(store.Stamp{Epoch: 1, Sequence: uint64(at + 1)}, puts)
		}
		So(len(held.Keys(model.KeyCall)), ShouldBeLessThanOrEqualTo, CallsKept+1)
		_, isOldest := Past(held, "0s")
		So(isOldest, ShouldBeFalse)
	})
}

func TestPendingSetOfAnEarlierTenure(t *testing.T) {
	Convey("A primary that cannot trust its clock leases nobody to serve beside a pending set that it has inherited", t, func() {
		first := newDesk(1, store.New())
		first.ask("d1", store.Stamp{})
		puts, _ := PutSet(first.held, 0, []model.Binding{{Name: "x", Database: "x"}}, "call", first.wall)
		first.write(Write{Build: func(*store.Table) []store.Put { return puts }, Done: func() {}})
		for _, isSure := range []bool{false, true} {
			second := newDesk(1, first.held)
			second.Machine = New("c2", lease.DefaultTiming(), consensus.Record{Epoch: 1, Primary: "c1"}, first.held, second.now)
			second.wall -= int64(4 * time.Second)
			second.Turn(consensus.Record{Epoch: 2, Primary: "c2"}, first.held, second.now)
			second.Trust(isSure)
			second.Ask(AskNews{Node: "d1", Kind: model.KindData}, 1, second.now)
			replies := second.Flush(true, second.wall, second.now)
			So(len(replies), ShouldEqual, 1)
			So(replies[0].News.Lease > 0, ShouldEqual, isSure)
		}
	})
	Convey("Nor does one that started again and holds primacy by the record that it held before", t, func() {
		first := newDesk(1, store.New())
		first.ask("d1", store.Stamp{})
		puts, _ := PutSet(first.held, 0, []model.Binding{{Name: "x", Database: "x"}}, "call", first.wall)
		first.write(Write{Build: func(*store.Table) []store.Put { return puts }, Done: func() {}})
		for _, isSure := range []bool{false, true} {
			again := newDesk(1, first.held)
			again.wall -= int64(4 * time.Second)
			again.Turn(consensus.Record{Epoch: 2, Primary: "c1"}, first.held, again.now)
			again.Trust(isSure)
			again.Ask(AskNews{Node: "d1", Kind: model.KindData}, 1, again.now)
			replies := again.Flush(true, again.wall, again.now)
			So(len(replies), ShouldEqual, 1)
			So(replies[0].News.Lease > 0, ShouldEqual, isSure)
		}
	})
}

func TestWhereAnInstanceStands(t *testing.T) {
	Convey("An instance stands where it last said, though another node had an answer of it since that told no position", t, func() {
		d := newDesk(1, store.New())
		d.ask("d1", store.Stamp{})
		d.ask("d2", store.Stamp{})
		report := func(index uint64, answered, placed time.Duration) []Report {
			info := model.Instance{Name: "r", Database: "x", Birth: "b", Position: model.Position{Term: 1, Index: index}}
			return []Report{{Instance: info, Announced: 390 * time.Millisecond, Answered: answered, Placed: placed}}
		}
		d.Gather(Told{Node: "d1", Reports: report(9, 80*time.Millisecond, 80*time.Millisecond)}, d.now)
		d.Gather(Told{Node: "d2", Reports: report(4, 10*time.Millisecond, 390*time.Millisecond)}, d.now)
		heard := []Heard{{Instance: report(4, 0, 0)[0].Instance, At: d.now - 390*time.Millisecond}}
		sight := d.Case("x", heard, d.wall, d.now).Sights[0]
		So(sight.Instance.Position.Index, ShouldEqual, 9)
		So(sight.Heard, ShouldEqual, 10*time.Millisecond)
		So(sight.Placed, ShouldEqual, 80*time.Millisecond)
		d.Gather(Told{Node: "d1"}, d.now)
		late := []Heard{{Instance: heard[0].Instance, At: d.now}}
		So(d.Case("x", late, d.wall, d.now).Sights[0].Placed, ShouldEqual, time.Hour)
	})
}

func TestBookedSetsLandInOrder(t *testing.T) {
	at := func(d *desk, span time.Duration) int64 { return d.wall + int64(span) }
	book := func(d *desk, id string, moment int64) bool {
		puts, _ := BookSet(d.held, id, moment, []model.Binding{{Name: id, Database: "x"}}, d.wall)
		return d.write(Write{Build: func(*store.Table) []store.Put { return puts }, Done: func() {}}) > 0
	}
	Convey("A change whose moment lies before that of one already on its way is refused, and a later one is not", t, func() {
		d := newDesk(1, store.New())
		later := at(d, time.Second)
		So(book(d, "later", later), ShouldBeTrue)
		d.settle()
		So(d.Doc().Newest().Source, ShouldEqual, "booking later")
		So(book(d, "earlier", later-int64(500*time.Millisecond)), ShouldBeFalse)
		So(book(d, "same", later), ShouldBeTrue)
		for range 5 {
			d.pass(time.Second)
			d.settle()
		}
		So(book(d, "past", later-int64(500*time.Millisecond)), ShouldBeTrue)
	})
	Convey("A change booked between the choice and the write of another, for an earlier moment, goes first", t, func() {
		d := newDesk(1, store.New())
		So(book(d, "later", at(d, time.Second)), ShouldBeTrue)
		landing, isDue := d.Land(d.wall, d.now)
		So(isDue, ShouldBeTrue)
		So(book(d, "earlier", at(d, 500*time.Millisecond)), ShouldBeTrue)
		d.write(landing)
		So(d.Doc().Newest().Source, ShouldEqual, "booking earlier")
	})
}

func TestMomentsBesideLeases(t *testing.T) {
	full := lease.DefaultTiming().Full
	const pace = 50 * time.Millisecond
	Convey("A set that is taken shortens no lease, so that one outlasts the election of another primary", t, func() {
		d := newDesk(1, store.New())
		d.ask("d1", store.Stamp{})
		d.ask("d1", d.held.Stamp)
		d.put(0)
		d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: store.Stamp{}}, 1, d.now)
		replies := d.Flush(true, d.wall, d.now)
		So(replies[0].News.Doc.IsPending(), ShouldBeTrue)
		So(replies[0].News.Lease, ShouldEqual, full)
	})
	Convey("A moment lies past each lease given without it, and in time also where a node falls silent", t, func() {
		for _, silentFor := range []time.Duration{0, 300 * time.Millisecond, time.Second, time.Minute} {
			d := newDesk(1, store.New())
			for _, node := range []string{"d1", "d2"} {
				d.ask(node, store.Stamp{})
			}
			d.put(0)
			for range 60 {
				d.ask("d1", d.held.Stamp)
				d.ask("d2", d.held.Stamp)
			}
			d.put(1)
			taken, last := d.now, time.Duration(0)
			for d.Doc().IsPending() && d.now < taken+5*time.Second {
				for _, node := range []string{"d1", "d2"} {
					if node == "d2" && d.now < taken+silentFor {
						continue
					}
					d.Ask(AskNews{Node: node, Kind: model.KindData, Have: store.Stamp{}}, 1, d.now)
					for _, reply := range d.Flush(true, d.wall, d.now) {
						last = max(last, d.now+reply.News.Lease)
					}
					d.Ask(AskNews{Node: node, Kind: model.KindData, Have: d.held.Stamp}, 1, d.now)
				}
				d.pass(pace)
				d.settle()
			}
			moment := d.now + time.Duration(d.Doc().Newest().Moment-d.wall)
			So(moment, ShouldBeGreaterThan, last)
			So(moment, ShouldBeLessThan, taken+2600*time.Millisecond)
		}
	})
	Convey("The first set of a fleet, beside which none is in force, waits for no lease", t, func() {
		d := newDesk(1, store.New())
		d.ask("d1", store.Stamp{})
		d.put(0)
		d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: d.held.Stamp}, 1, d.now)
		d.settle()
		So(d.Doc().Newest().Moment-d.wall, ShouldBeLessThan, int64(full/2))
	})
}

func TestMomentOfAnEarlierTenure(t *testing.T) {
	Convey("A moment that lies ahead as far as moments do is left to a clock that is sure, since who holds a lease knows it; beside one that is not nobody is leased", t, func() {
		first := newDesk(1, store.New())
		first.ask("d1", store.Stamp{})
		first.put(0)
		first.ask("d1", first.held.Stamp)
		first.ask("d1", first.held.Stamp)
		first.put(1)
		first.ask("d1", first.held.Stamp)
		moment := first.Doc().Newest().Moment
		So(moment, ShouldBeGreaterThan, first.wall)
		for _, isSure := range []bool{true, false} {
			next := newDesk(2, first.held)
			next.wall = moment - int64(time.Second)
			next.Trust(isSure)
			next.tenureOf(next.wall)
			if !isSure {
				So(next.room(next.wall), ShouldEqual, 0)
				continue
			}
			So(next.catchUp(next.wall), ShouldBeEmpty)
			So(next.room(next.wall), ShouldBeGreaterThan, 0)
			next.wall = moment - int64(3*time.Second)
			So(len(next.catchUp(next.wall)), ShouldEqual, 1)
			So(next.room(next.wall), ShouldEqual, 0)
			next.settle()
			So(next.Doc().Newest().Moment, ShouldEqual, moment)
			So(next.room(next.wall), ShouldEqual, 0)
			next.now += lease.DefaultTiming().Full
			next.settle()
			So(next.Doc().Newest().Moment, ShouldEqual, 1)
		}
	})
}
