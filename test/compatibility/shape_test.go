package compatibility

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/model"
)

// shapeOf returns a description of the encoded fields of a type and of the types that
// it contains, without those that were added after 6cad5d2. This is what gob sends, except for the names of types, which gob does
// not compare.
func shapeOf(typ reflect.Type) string {
	composite := map[reflect.Kind]func() string{
		reflect.Pointer: func() string { return "*" + shapeOf(typ.Elem()) },
		reflect.Slice:   func() string { return "[]" + shapeOf(typ.Elem()) },
		reflect.Array:   func() string { return fmt.Sprintf("[%d]%s", typ.Len(), shapeOf(typ.Elem())) },
		reflect.Map:     func() string { return "map[" + shapeOf(typ.Key()) + "]" + shapeOf(typ.Elem()) },
		reflect.Struct: func() string {
			var fields []string
			for i := range typ.NumField() {
				if isLaterField(typ, i) {
					continue
				}
				fields = append(fields, typ.Field(i).Name+" "+shapeOf(typ.Field(i).Type))
			}
			return "{" + strings.Join(fields, "; ") + "}"
		},
	}
	if shape, ok := composite[typ.Kind()]; ok {
		return shape()
	}
	return typ.Kind().String()
}

func encodedShapes() string {
	var rows []string
	names := message.Names()
	for i, body := range message.All() {
		rows = append(rows, names[i]+" "+shapeOf(reflect.TypeOf(message.Encode(body))))
	}
	for _, record := range storedRecords() {
		rows = append(rows, "stored "+record.name+" "+shapeOf(reflect.TypeOf(record.encoded)))
	}
	return strings.Join(rows, "\n") + "\n"
}

func TestEncodedFieldsKeepTheirNames(t *testing.T) {
	Convey("Messages and stored records have the same encoded fields as in 6cad5d2, so that builds up to 6cad5d2 can read them completely", t, func() {
		recorded, err := os.ReadFile("testdata/shapes.txt")
		So(err, ShouldBeNil)
		So(encodedShapes(), ShouldEqual, string(recorded))
	})
	Convey("Each type with fields that were added later exists and has them", t, func() {
		types := map[string]reflect.Type{}
		for _, sample := range []any{
			distribution.UpdateRequest{}, message.Encode(distribution.UpdateRequest{}), model.Snapshot{}, encoded.Doc{},
			consensus.Record{},
		} {
			types[reflect.TypeOf(sample).String()] = reflect.TypeOf(sample)
		}
		So(types, ShouldHaveLength, len(laterFields))
		for name, fields := range laterFields {
			So(types, ShouldContainKey, name)
			for _, field := range fields {
				_, found := types[name].FieldByName(field)
				SoMsg(name+"."+field, found, ShouldBeTrue)
			}
		}
	})
}
