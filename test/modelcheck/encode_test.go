package modelcheck

import (
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
)

// structTypes adds typ, if it is a struct type, and all struct types that it contains
// to types, by name.
func structTypes(typ reflect.Type, types map[string]reflect.Type) {
	hasElement := typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice || typ.Kind() == reflect.Map
	if hasElement {
		structTypes(typ.Elem(), types)
	}
	if typ.Kind() != reflect.Struct || types[typ.Name()] != nil {
		return
	}
	types[typ.Name()] = typ
	for index := range typ.NumField() {
		structTypes(typ.Field(index).Type, types)
	}
}

func TestFieldsWithARuleExist(t *testing.T) {
	Convey("Each field in ignoredFields and relativeFields is a field of an encoded type", t, func() {
		types := map[string]reflect.Type{}
		structTypes(reflect.TypeFor[consensus.Machine](), types)
		structTypes(reflect.TypeFor[consensus.SyncGate](), types)
		structTypes(reflect.TypeFor[consensus.RenewLeaseAck](), types)
		for _, rules := range []map[string]bool{ignoredFields, relativeFields} {
			for name := range rules {
				typeName, field, _ := strings.Cut(name, ".")
				SoMsg(name, types[typeName], ShouldNotBeNil)
				_, exists := types[typeName].FieldByName(field)
				SoMsg(name, exists, ShouldBeTrue)
			}
		}
	})
}

func TestKeys(t *testing.T) {
	Convey("Equal states have equal keys, and states that differ in time or in a message in flight have different keys", t, func() {
		config := Config{Voters: 3, RoundDuration: coarseRound, Rounds: 2}
		w := newWorld(&config)
		w.trace = nil
		first := w.key()
		So(newWorld(&config).key(), ShouldEqual, first)
		other := w.clone()
		other.startRound()
		So(other.key(), ShouldNotEqual, first)
		So(w.key(), ShouldEqual, first)
		lost := other.clone()
		lost.inFlight = lost.inFlight[1:]
		So(lost.key(), ShouldNotEqual, other.key())
	})
}
