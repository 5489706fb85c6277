package compatibility

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/protocol/message"
)

// shapeOf writes out the encoded fields of a type, with those of the types within:
// what gob sends, but for the names of types, which it doesn't compare.
func shapeOf(of reflect.Type) string {
	within := map[reflect.Kind]func() string{
		reflect.Pointer: func() string { return "*" + shapeOf(of.Elem()) },
		reflect.Slice:   func() string { return "[]" + shapeOf(of.Elem()) },
		reflect.Array:   func() string { return fmt.Sprintf("[%d]%s", of.Len(), shapeOf(of.Elem())) },
		reflect.Map:     func() string { return "map[" + shapeOf(of.Key()) + "]" + shapeOf(of.Elem()) },
		reflect.Struct: func() string {
			var fields []string
			for at := range of.NumField() {
				fields = append(fields, of.Field(at).Name+" "+shapeOf(of.Field(at).Type))
			}
			return "{" + strings.Join(fields, "; ") + "}"
		},
	}
	if shape, ok := within[of.Kind()]; ok {
		return shape()
	}
	return of.Kind().String()
}

func encodedShapes() string {
	var rows []string
	names := message.Names()
	for at, body := range message.All() {
		rows = append(rows, names[at]+" "+shapeOf(reflect.TypeOf(message.Encode(body))))
	}
	for _, record := range storedRecords() {
		rows = append(rows, "stored "+record.name+" "+shapeOf(reflect.TypeOf(record.encoded)))
	}
	return strings.Join(rows, "\n") + "\n"
}

func TestEncodedFieldsKeepTheirNames(t *testing.T) {
	Convey("What this build sends and stores has the fields of 6cad5d2, so that builds up to it read all of it", t, func() {
		frozen, err := os.ReadFile("testdata/shapes.txt")
		So(err, ShouldBeNil)
		So(encodedShapes(), ShouldEqual, string(frozen))
	})
}
