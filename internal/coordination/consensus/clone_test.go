package consensus

import (
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

func TestClone(t *testing.T) {
	// What is replaced as a whole, and never changed in place.
	shared := map[string]bool{"replica": true, "committed": true, "peers": true, "peersByAddress": true, "zones": true, "activeRepair": true}
	Convey("A machine and its clone share nothing that either changes in place", t, func() {
		m := newFormedMachine("c1", time.Hour)
		m.proposer = proposal.NewProposer(proposal.Number{Round: 1, Name: "c1"}, 3, nil, time.Hour)
		m.pendingWrite, m.activeRepair = &write{}, &repair{}
		m.submitQueue, m.effects = []Submit{{Token: 1}}, []Effect{RemoveCorrupt{}}
		m.peers, m.peersByAddress, m.zones = []string{"c1"}, map[string]string{"a": "b"}, map[string]string{"c1": "z"}
		a, b := reflect.ValueOf(m).Elem(), reflect.ValueOf(m.Clone()).Elem()
		for at := range a.NumField() {
			name, kind := a.Type().Field(at).Name, a.Field(at).Kind()
			isReference := kind == reflect.Map || kind == reflect.Slice || kind == reflect.Pointer
			if !isReference || shared[name] {
				continue
			}
			SoMsg(name, a.Field(at).IsNil(), ShouldBeFalse)
			SoMsg(name, b.Field(at).IsNil() || a.Field(at).Pointer() != b.Field(at).Pointer(), ShouldBeTrue)
		}
		round := m.proposer.Clone()
		So(round.OnPromise("c2", proposal.Number{}, nil), ShouldBeFalse)
		So(m.proposer.OnPromise("c3", proposal.Number{}, nil), ShouldBeFalse)
		So(m.proposer.OnPromise("c1", proposal.Number{}, nil), ShouldBeTrue)
	})
	Convey("A clone goes its own way", t, func() {
		m := newFormedMachine("c1", time.Hour)
		m.Step(Tick{WallNanos: 77}, time.Hour)
		other := m.Clone()
		other.Step(Received{From: "c3", Body: RenewLeaseAck{Decided: m.Record(), SentAt: time.Hour, Incarnation: m.processIncarnation, Granted: true}}, time.Hour)
		other.Step(Submit{Token: 1, Build: putKey("k")}, time.Hour)
		So(other.IsPrimary(time.Hour), ShouldBeTrue)
		So(m.IsPrimary(time.Hour), ShouldBeFalse)
		So(m.ReplicaTable().Records, ShouldResemble, store.New().Records)
	})
}
