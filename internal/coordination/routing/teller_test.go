package routing

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func primary(name string, wall int64, now time.Duration) *distribution.Machine {
	held := store.New()
	var puts []store.Put
	for number := range 4 {
		writer := model.Writer{Database: fmt.Sprintf("db%d", number), Term: 1, Primary: fmt.Sprintf("i%d", number), Phase: model.PhaseOpen, IsSynced: true}
		puts = append(puts, store.Put{Key: model.KeyDB + writer.Database, Data: store.Encode(writer)})
	}
	puts = append(puts, store.Put{Key: model.KeyNode + "d1", Data: store.Encode(wall)})
	held.Apply(store.Stamp{Epoch: 1, Sequence: 1}, puts)
	return distribution.New(name, lease.DefaultTiming(), consensus.Record{Epoch: 1, Primary: name}, held, now)
}

func casesOf(m *distribution.Machine, wall int64, now time.Duration) []syncrepl.Case {
	var cases []syncrepl.Case
	for number := range 4 {
		cases = append(cases, m.Takeover(fmt.Sprintf("db%d", number), nil, wall, now))
	}
	return cases
}

func answered(m *distribution.Machine, ask distribution.AskNews, wall int64, now time.Duration) distribution.News {
	m.Ask(ask, 1, now)
	return m.Flush(true, wall, now+distribution.Wait)[0].News
}

func TestTeller(t *testing.T) {
	Convey("Whatever is lost, comes twice or late, and whoever becomes primary, a case of brief asks is one of whole asks", t, func() {
		left, sent := 0, 0
		for seed := range int64(60) {
			dice := rand.New(rand.NewSource(seed))
			now, wall := time.Hour, int64(1000*time.Hour)
			brief, whole := primary("c1", wall, now), primary("c1", wall, now)
			node := New("d1", lease.DefaultTiming())
			seen := distribution.Told{Node: "d1", Highs: map[string]model.Position{}}
			at := map[string]time.Duration{}
			for number := range 4 {
				one := model.Instance{Name: fmt.Sprintf("i%d", number), Database: fmt.Sprintf("db%d", number), Address: "x:1", IsSynced: true}
				seen.Reports = append(seen.Reports, distribution.Report{Instance: one})
			}
			var past []distribution.AskNews
			overtaken := 0
			for range 200 {
				now, wall = now+50*ms, wall+int64(50*ms)
				one := &seen.Reports[dice.Intn(4)]
				turns := []func(){
					func() { at[one.Instance.Name] = now },
					func() { one.Instance.Position.Index += uint64(dice.Intn(3)) },
					func() { one.Instance.IsLeaving = !one.Instance.IsLeaving },
					func() { one.Refused = max(dice.Intn(8)-5, 0) },
					func() { one.Overdue = time.Duration(dice.Intn(8)/7) * time.Second },
					func() { seen.Highs[one.Instance.Database] = one.Instance.Position },
				}
				turns[dice.Intn(len(turns))]()
				for rank := range seen.Reports {
					seen.Reports[rank].Answered = now - at[seen.Reports[rank].Instance.Name]
				}
				if dice.Intn(40) == 0 {
					brief, whole = primary("c2", wall, now), primary("c2", wall, now)
				}
				if dice.Intn(6) == 0 {
					told := node.Brief(seen, now)
					brief.Gather(told, now)
				}
				ask := node.AskBrief(seen, now)
				ask.Birth = 7
				if overtaken > 0 && dice.Intn(10) == 0 {
					brief.Ask(past[dice.Intn(overtaken)], 2, now)
					brief.Flush(true, wall, now+distribution.Wait)
				}
				past = append(past, ask)
				left, sent = left+len(seen.Reports)-len(ask.Reports), sent+len(ask.Reports)
				if dice.Intn(8) == 0 {
					continue
				}
				news := answered(brief, ask, wall, now)
				overtaken = len(past) - 1
				if dice.Intn(8) == 0 {
					continue
				}
				isFit := ask.Known == 0 || news.Tenure == ask.Known
				node.Take(news, now, now)
				full := ask
				full.Known, full.Reports, full.Highs = 0, seen.Reports, seen.Highs
				if !isFit {
					So(news.Lease, ShouldEqual, 0)
					continue
				}
				answered(whole, full, wall, now)
				got, want := casesOf(brief, wall, now), casesOf(whole, wall, now)
				for rank := range got {
					got[rank].Event, got[rank].Tenure, want[rank].Event, want[rank].Tenure = 0, "", 0, ""
					for at := range got[rank].Sights {
						got[rank].Sights[at].Blank, want[rank].Sights[at].Blank = 0, 0
					}
				}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					So(fmt.Sprintf("seed %d: %v", seed, got), ShouldEqual, fmt.Sprintf("seed %d: %v", seed, want))
				}
			}
		}
		SoMsg("reports left out", left, ShouldBeGreaterThan, sent/2)
	})
	Convey("An ask that has nothing new to tell of a hundred instances is of less than 200 bytes", t, func() {
		node, now := New("d1", lease.DefaultTiming()), time.Hour
		seen := distribution.Told{Node: "d1", Highs: map[string]model.Position{}}
		for number := range 100 {
			one := model.Instance{Name: fmt.Sprintf("i%d", number), Database: fmt.Sprintf("db%d", number), Address: "10.0.0.1:5432", Zone: "z", IsSynced: true, Position: model.Position{Term: 1, Index: 9}}
			seen.Reports = append(seen.Reports, distribution.Report{Instance: one, Answered: time.Second})
			seen.Highs[one.Database] = one.Position
		}
		size := func() int {
			for rank := range seen.Reports {
				seen.Reports[rank].Answered += 500 * ms
			}
			now += 500 * ms
			var stream bytes.Buffer
			encoder := gob.NewEncoder(&stream)
			So(encoder.Encode(distribution.AskNews{}), ShouldBeNil)
			before := stream.Len()
			So(encoder.Encode(node.AskBrief(seen, now)), ShouldBeNil)
			return stream.Len() - before
		}
		So(size(), ShouldBeGreaterThan, 5000)
		node.Take(distribution.News{IsPrimary: true, Tenure: 5}, now, now)
		So(size(), ShouldBeLessThan, 200)
	})
}
