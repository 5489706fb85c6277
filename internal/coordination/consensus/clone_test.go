package consensus

import (
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// replacedFields lists the fields whose content is replaced as a whole and never
// changed in place, so that a clone may share it.
var replacedFields = map[string]bool{
	"replica.table": true, "replica.committed": true, "peers.names": true, "peers.byAddress": true, "peers.zones": true,
	"repairs.active": true, "bootstrap.Seeds": true, "voterState.Acceptor.Value": true,
}

// assertNothingShared asserts that two structs, including their nested structs, share
// no maps, slices or pointers except in replacedFields.
func assertNothingShared(path string, a, b reflect.Value) {
	for index := range a.NumField() {
		name, field, other := path+a.Type().Field(index).Name, a.Field(index), b.Field(index)
		if field.Kind() == reflect.Struct {
			assertNothingShared(name+".", field, other)
		}
		isReference := field.Kind() == reflect.Map || field.Kind() == reflect.Slice || field.Kind() == reflect.Pointer
		if !isReference || replacedFields[name] {
			continue
		}
		SoMsg(name, field.IsNil(), ShouldBeFalse)
		SoMsg(name, other.IsNil() || field.Pointer() != other.Pointer(), ShouldBeTrue)
	}
}

func TestClone(t *testing.T) {
	Convey("A machine and its clone share nothing that either changes in place", t, func() {
		m := newFormedMachine("c1", time.Hour)
		m.proposals.current = proposal.NewProposer(proposal.Number{Round: 1, Name: "c1"}, 3, nil, time.Hour)
		m.writes.pending, m.repairs.active = &write{}, &repair{}
		m.writes.waiting, m.effects = []Submit{{Token: 1}}, []Effect{RemoveCorrupt{}}
		m.peers = peerSet{names: []string{"c1"}, byAddress: map[string]string{"a": "b"}, zones: map[string]string{"c1": "z"}}
		assertNothingShared("", reflect.ValueOf(m).Elem(), reflect.ValueOf(m.Clone()).Elem())
		proposer := m.proposals.current.Clone()
		So(proposer.OnPromise("c2", proposal.Number{}, nil), ShouldBeFalse)
		So(m.proposals.current.OnPromise("c3", proposal.Number{}, nil), ShouldBeFalse)
		So(m.proposals.current.OnPromise("c1", proposal.Number{}, nil), ShouldBeTrue)
	})
	Convey("Events processed by a clone do not change the original machine", t, func() {
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
