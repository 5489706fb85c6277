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
	state := store.New()
	var puts []store.Put
	for number := range 4 {
		writer := model.WriterRole{Database: fmt.Sprintf("db%d", number), Term: 1, Primary: fmt.Sprintf("i%d", number), Phase: model.PhaseOpen, SyncReplication: true}
		puts = append(puts, store.Put{Key: model.PrefixWriterRole + writer.Database, Data: store.Encode(writer)})
	}
	puts = append(puts, store.Put{Key: model.PrefixNode + "d1", Data: store.EncodePlain(wall)})
	state.Apply(store.Version{Epoch: 1, Sequence: 1}, puts)
	return distribution.New(name, lease.DefaultTiming(), consensus.Record{Epoch: 1, Primary: name}, state, now)
}

func evidenceOf(m *distribution.Machine, wall int64, now time.Duration) []syncrepl.Evidence {
	var cases []syncrepl.Evidence
	for number := range 4 {
		cases = append(cases, m.SyncFailoverEvidence(fmt.Sprintf("db%d", number), nil, wall, now))
	}
	return cases
}

func answered(m *distribution.Machine, request distribution.UpdateRequest, wall int64, now time.Duration) distribution.Update {
	m.HandleRequest(request, 1, now)
	return m.Flush(true, wall, now+distribution.DefaultPollTimeout)[0].Update
}

func TestReporter(t *testing.T) {
	Convey("Whatever is lost, duplicated or delayed, and whoever becomes primary, the evidence from abbreviated requests is that from complete ones", t, func() {
		left, sent := 0, 0
		for seed := range int64(60) {
			dice := rand.New(rand.NewSource(seed))
			now, wall := time.Hour, int64(1000*time.Hour)
			brief, complete := primary("c1", wall, now), primary("c1", wall, now)
			node := New("d1", lease.DefaultTiming())
			seen := distribution.NodeReport{Node: "d1", HighWatermarks: map[string]model.Position{}}
			at := map[string]time.Duration{}
			for number := range 4 {
				one := model.Instance{Name: fmt.Sprintf("i%d", number), Database: fmt.Sprintf("db%d", number), Address: "x:1", SyncReplication: true}
				seen.Reports = append(seen.Reports, distribution.InstanceReport{Instance: one})
			}
			var past []distribution.UpdateRequest
			overtaken := 0
			for range 200 {
				now, wall = now+50*ms, wall+int64(50*ms)
				one := &seen.Reports[dice.Intn(4)]
				turns := []func(){
					func() { at[one.Instance.Name] = now },
					func() { one.Instance.Position.Index += uint64(dice.Intn(3)) },
					func() { one.Instance.Leaving = !one.Instance.Leaving },
					func() { one.RefusedConnections = max(dice.Intn(8)-5, 0) },
					func() { one.OldestStatementAge = time.Duration(dice.Intn(8)/7) * time.Second },
					func() { seen.HighWatermarks[one.Instance.Database] = one.Instance.Position },
				}
				turns[dice.Intn(len(turns))]()
				for rank := range seen.Reports {
					seen.Reports[rank].ResponseAge = now - at[seen.Reports[rank].Instance.Name]
				}
				if dice.Intn(40) == 0 {
					brief, complete = primary("c2", wall, now), primary("c2", wall, now)
				}
				if dice.Intn(6) == 0 {
					report := node.DeltaReport(seen, now)
					brief.HandleReport(report, now)
				}
				request := node.DeltaUpdateRequest(seen, now)
				request.Incarnation = 7
				if overtaken > 0 && dice.Intn(10) == 0 {
					brief.HandleRequest(past[dice.Intn(overtaken)], 2, now)
					brief.Flush(true, wall, now+distribution.DefaultPollTimeout)
				}
				past = append(past, request)
				left, sent = left+len(seen.Reports)-len(request.Reports), sent+len(request.Reports)
				if dice.Intn(8) == 0 {
					continue
				}
				update := answered(brief, request, wall, now)
				overtaken = len(past) - 1
				if dice.Intn(8) == 0 {
					continue
				}
				applied := request.BaselineTenure == 0 || update.Tenure == request.BaselineTenure
				node.ApplyUpdate(update, now, now)
				full := request
				full.BaselineTenure, full.Reports, full.HighWatermarks = 0, seen.Reports, seen.HighWatermarks
				if !applied {
					So(update.LeaseDuration, ShouldEqual, 0)
					continue
				}
				answered(complete, full, wall, now)
				got, want := evidenceOf(brief, wall, now), evidenceOf(complete, wall, now)
				for rank := range got {
					got[rank].GapSequence, got[rank].Tenure, want[rank].GapSequence, want[rank].Tenure = 0, "", 0, ""
					for at := range got[rank].Observations {
						got[rank].Observations[at].UnobservedFor, want[rank].Observations[at].UnobservedFor = 0, 0
					}
				}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					So(fmt.Sprintf("seed %d: %v", seed, got), ShouldEqual, fmt.Sprintf("seed %d: %v", seed, want))
				}
			}
		}
		SoMsg("reports left out", left, ShouldBeGreaterThan, sent/2)
	})
	Convey("A request that has nothing new to report on a hundred instances takes less than 200 bytes", t, func() {
		node, now := New("d1", lease.DefaultTiming()), time.Hour
		seen := distribution.NodeReport{Node: "d1", HighWatermarks: map[string]model.Position{}}
		for number := range 100 {
			one := model.Instance{Name: fmt.Sprintf("i%d", number), Database: fmt.Sprintf("db%d", number), Address: "10.0.0.1:5432", Zone: "z", SyncReplication: true, Position: model.Position{Term: 1, Index: 9}}
			seen.Reports = append(seen.Reports, distribution.InstanceReport{Instance: one, ResponseAge: time.Second})
			seen.HighWatermarks[one.Database] = one.Position
		}
		size := func() int {
			for rank := range seen.Reports {
				seen.Reports[rank].ResponseAge += 500 * ms
			}
			now += 500 * ms
			var stream bytes.Buffer
			encoder := gob.NewEncoder(&stream)
			So(encoder.Encode(distribution.UpdateRequest{}), ShouldBeNil)
			previous := stream.Len()
			So(encoder.Encode(node.DeltaUpdateRequest(seen, now)), ShouldBeNil)
			return stream.Len() - previous
		}
		So(size(), ShouldBeGreaterThan, 5000)
		node.ApplyUpdate(distribution.Update{FromPrimary: true, Tenure: 5}, now, now)
		So(size(), ShouldBeLessThan, 200)
	})
}
