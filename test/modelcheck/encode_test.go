package modelcheck

import (
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
)

// structTypes adds a type, and those within, by name.
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
	Convey("Each field that is encoded by a rule of its own is a field of a type that is encoded", t, func() {
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
	Convey("A state that differs in one machine's promise, time or message under way has another key; one reached again has the same", t, func() {
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
