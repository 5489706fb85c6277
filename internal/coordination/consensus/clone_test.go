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
	shared := map[string]bool{"copy": true, "safe": true, "peers": true, "links": true, "zones": true, "repairing": true}
	Convey("A machine and its clone share nothing that either changes in place", t, func() {
		m := started("c1", time.Hour)
		m.round = proposal.NewRound(proposal.Number{Round: 1, Name: "c1"}, 3, nil, time.Hour)
		m.pending, m.repairing = &write{}, &repair{}
		m.queue, m.effects = []Submit{{Token: 1}}, []Effect{Clean{}}
		m.peers, m.links, m.zones = []string{"c1"}, map[string]string{"a": "b"}, map[string]string{"c1": "z"}
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
		round := m.round.Clone()
		So(round.OnPromise("c2", proposal.Number{}, nil), ShouldBeFalse)
		So(m.round.OnPromise("c3", proposal.Number{}, nil), ShouldBeFalse)
		So(m.round.OnPromise("c1", proposal.Number{}, nil), ShouldBeTrue)
	})
	Convey("A clone goes its own way", t, func() {
		m := started("c1", time.Hour)
		m.Step(Tick{Wall: 77}, time.Hour)
		other := m.Clone()
		other.Step(Heard{From: "c3", Body: RenewAck{Decided: m.Record(), Sent: time.Hour, Life: m.life, IsGranted: true}}, time.Hour)
		other.Step(Submit{Token: 1, Build: buildOf("k")}, time.Hour)
		So(other.IsPrimary(time.Hour), ShouldBeTrue)
		So(m.IsPrimary(time.Hour), ShouldBeFalse)
		So(m.Copy().Records, ShouldResemble, store.New().Records)
	})
}
