package distribution

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func (d *desk) puts(puts ...store.Put) {
	d.write(Write{Build: func(*store.Table) []store.Put { return puts }, Done: func() {}})
}

func writerPut(name string, term uint64) store.Put {
	return store.Put{Key: model.KeyDB + name, Data: store.Encode(model.Writer{Database: name, Term: term, Phase: model.PhaseOpen})}
}

func syncedPut(writer model.Writer) store.Put {
	writer.IsSynced = true
	return store.Put{Key: model.KeyDB + writer.Database, Data: store.Encode(writer)}
}

func setPut(sequence uint64, moment int64) store.Put {
	return store.Put{Key: SetKey(sequence), Data: store.Encode(model.Set{Sequence: sequence, Moment: moment})}
}

func (d *desk) newsFor(have store.Stamp, isDelta bool) *model.Doc {
	d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: have, IsDelta: isDelta}, 1, d.now)
	d.pass(Wait)
	return d.Flush(true, d.wall, d.now)[0].News.Doc
}

func TestDeltas(t *testing.T) {
	Convey("Given a tenure with a hundred databases and a node that has taken up all of it", t, func() {
		d := newDesk(1, store.New())
		d.Turn(consensus.Record{Epoch: 2, Primary: "c2", Backup: "c1"}, d.held, d.now)
		d.Turn(consensus.Record{Epoch: 3, Primary: "c1", Backup: "c2"}, d.held, d.now)
		d.puts(setPut(1, 1), setPut(2, 2))
		for number := range 100 {
			d.puts(writerPut(fmt.Sprintf("db%d", number), 1))
		}
		whole := d.newsFor(store.Stamp{}, true)
		So(len(whole.Writers), ShouldEqual, 100)
		have := whole.Stamp
		Convey("a write brings it what was written, and others all", func() {
			d.puts(writerPut("db7", 2))
			delta := d.newsFor(have, true)
			So(len(delta.Writers), ShouldEqual, 1)
			So(delta.Sets, ShouldBeEmpty)
			taken, isFit := whole.With(*delta)
			So(isFit, ShouldBeTrue)
			So(taken.Writers["db7"].Term, ShouldEqual, 2)
			So(len(taken.Writers), ShouldEqual, 100)
			So(len(d.newsFor(have, false).Writers), ShouldEqual, 100)
			So(len(d.newsFor(store.Stamp{Epoch: 1, Sequence: 900}, true).Writers), ShouldEqual, 100)
			_, isFit = model.Doc{Stamp: store.Stamp{Epoch: 3, Sequence: 1}}.With(*delta)
			So(isFit, ShouldBeFalse)
		})
		Convey("a write that is not for the data plane is no news", func() {
			d.puts(store.Put{Key: model.KeyNode + "d9"}, store.Put{Key: model.KeyEntry + "1"}, store.Put{Key: model.KeyCall + "x"})
			So(d.newsFor(have, true), ShouldBeNil)
		})
		Convey("a set that was dropped is dropped with the next write", func() {
			d.puts(store.Put{Key: SetKey(1), IsGone: true})
			d.puts(setPut(3, 0))
			taken, _ := whole.With(*d.newsFor(have, true))
			So(taken.Sets, ShouldResemble, d.Doc().Sets)
		})
		Convey("the next tenure tells all of its own, also where it knows less", func() {
			d.puts(writerPut("db7", 2))
			have = d.newsFor(have, true).Stamp
			fewer := store.New()
			fewer.Apply(store.Stamp{Epoch: 3, Sequence: 1}, []store.Put{writerPut("db1", 1)})
			d.Turn(consensus.Record{Epoch: 4, Primary: "c2"}, fewer, d.now)
			d.Turn(consensus.Record{Epoch: 5, Primary: "c1"}, fewer, d.now)
			d.held = fewer
			d.puts(store.Put{Key: model.KeyEntry + "2"})
			news := d.newsFor(have, true)
			So(news, ShouldNotBeNil)
			So(news.Since, ShouldResemble, store.Stamp{})
			So(len(news.Writers), ShouldEqual, 1)
		})
	})
	Convey("Writer roles that become known one by one go together to an ask that has just come; a role that moves, or a set, goes at once", t, func() {
		for _, kind := range []struct {
			puts   []store.Put
			isCalm bool
		}{
			{[]store.Put{syncedPut(model.Writer{Database: "db1", Term: 1, Phase: model.PhaseOpen})}, true},
			{[]store.Put{syncedPut(model.Writer{Database: "db1", Term: 1, Phase: model.PhaseClosing})}, false},
			{[]store.Put{syncedPut(model.Writer{Database: "db1", Term: 2, Phase: model.PhaseOpen, Holder: "c1"})}, false},
			{[]store.Put{writerPut("db1", 1)}, false},
			{[]store.Put{setPut(1, 0)}, false},
		} {
			d := newDesk(1, store.New())
			d.Turn(consensus.Record{Epoch: 2, Primary: "c2"}, d.held, d.now)
			d.Turn(consensus.Record{Epoch: 3, Primary: "c1"}, d.held, d.now)
			d.puts(syncedPut(model.Writer{Database: "db0", Term: 1, Phase: model.PhaseOpen}))
			d.Ask(AskNews{Node: "d1", Kind: model.KindData, Have: d.Doc().Stamp, IsDelta: true}, 1, d.now)
			answers := len(d.Flush(true, d.wall, d.now))
			for range 10 {
				d.puts(kind.puts...)
				d.pass(5 * time.Millisecond)
				answers += len(d.Flush(true, d.wall, d.now))
			}
			So(answers == 0, ShouldEqual, kind.isCalm)
			d.pass(calm)
			So(answers+len(d.Flush(true, d.wall, d.now)), ShouldEqual, 1)
		}
	})
	Convey("What a node makes of deltas is what it would have been told whole", t, func() {
		for seed := range int64(20) {
			dice := rand.New(rand.NewSource(seed))
			d := newDesk(1, store.New())
			d.Turn(consensus.Record{Epoch: 2, Primary: "c2"}, d.held, d.now)
			d.Turn(consensus.Record{Epoch: 3, Primary: "c1"}, d.held, d.now)
			doc := model.Doc{Writers: map[string]model.Writer{}}
			sequence, lowest := uint64(0), uint64(1)
			for range 100 {
				kind := dice.Intn(5)
				if kind == 0 {
					sequence++
					d.puts(setPut(sequence, 0))
				}
				if kind == 1 && sequence > 0 {
					d.puts(setPut(sequence, int64(dice.Intn(9)+1)))
				}
				if kind == 2 && lowest < sequence {
					d.puts(store.Put{Key: SetKey(lowest), IsGone: true}, setPut(sequence, 3))
					lowest++
				}
				if kind >= 3 {
					d.puts(writerPut(fmt.Sprintf("db%d", dice.Intn(6)), uint64(dice.Intn(9))))
				}
				if dice.Intn(3) == 0 {
					continue
				}
				if news := d.newsFor(doc.Stamp, true); news != nil {
					isFit := false
					doc, isFit = doc.With(*news)
					So(isFit, ShouldBeTrue)
				}
				So(doc.Sets, ShouldResemble, model.DocOf(d.held).Sets)
				So(doc.Writers, ShouldResemble, model.DocOf(d.held).Writers)
			}
		}
	})
	Convey("A write reads again what it wrote, not the whole state", t, func() {
		d := newDesk(1, store.New())
		for number := range 50 {
			d.puts(writerPut(fmt.Sprintf("db%d", number), 1))
		}
		before, held := d.Doc(), d.held
		d.puts(writerPut("db3", 2))
		doc, read := model.DocFrom(d.held, before, held)
		So(read, ShouldEqual, 1)
		So(doc, ShouldResemble, model.DocOf(d.held))
	})
}
