package schema

import (
	"fmt"

	"github.com/valyala/fastjson"
)

// Decode converts a parsed value to the form that the JSON Schema library
// validates: nil, bool, float64, string, []any or map[string]any. A map cannot
// represent duplicate keys of an object, so Decode adds a violation for each of
// them. The path is the JSON path of the value in the body.
func Decode(value *fastjson.Value, path string, violations *[]Violation) any {
	return decoders[value.Type()](value, path, violations)
}

type decoder func(value *fastjson.Value, path string, violations *[]Violation) any

var decoders map[fastjson.Type]decoder

// The table is filled in an init function to avoid an initialization cycle: the
// decoders of arrays and objects use the table themselves.
func init() {
	decoders = map[fastjson.Type]decoder{
		fastjson.TypeNull:   func(*fastjson.Value, string, *[]Violation) any { return nil },
		fastjson.TypeTrue:   func(*fastjson.Value, string, *[]Violation) any { return true },
		fastjson.TypeFalse:  func(*fastjson.Value, string, *[]Violation) any { return false },
		fastjson.TypeString: func(value *fastjson.Value, _ string, _ *[]Violation) any { return string(value.GetStringBytes()) },
		fastjson.TypeNumber: func(value *fastjson.Value, _ string, _ *[]Violation) any { return value.GetFloat64() },
		fastjson.TypeArray:  decodeArray,
		fastjson.TypeObject: decodeObject,
	}
}

func decodeArray(value *fastjson.Value, path string, violations *[]Violation) any {
	items := []any{}
	for index, item := range value.GetArray() {
		items = append(items, Decode(item, fmt.Sprintf("%s/%d", path, index), violations))
	}
	return items
}

func decodeObject(value *fastjson.Value, path string, violations *[]Violation) any {
	fields := map[string]any{}
	value.GetObject().Visit(func(key []byte, field *fastjson.Value) {
		name := string(key)
		if _, duplicate := fields[name]; duplicate {
			*violations = append(*violations, Violation{Path: path + "/" + name, Reason: "key given twice"})
		}
		fields[name] = Decode(field, path+"/"+name, violations)
	})
	return fields
}
