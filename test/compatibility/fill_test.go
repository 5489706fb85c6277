package compatibility

import (
	"fmt"
	"reflect"
	"slices"
)

// filler sets each leaf of a value to a different content that depends only on the
// order of the fields, so that renaming fields does not change the content.
type filler struct {
	count         int
	includesLater bool
}

// laterFields holds, by type, the fields that were added after 6cad5d2. The golden files
// do not contain them.
var laterFields = map[string][]string{
	"distribution.UpdateRequest":   {"AcceptsSetChanges", "HeldSets"},
	"message.encodedUpdateRequest": {"IsDiff", "Sets"},
	"model.Snapshot":               {"Changes", "Sequences"},
	"encoded.Doc":                  {"Changes", "Kept"},
	"consensus.Record":             {"Fallback"},
}

func isLaterField(typ reflect.Type, index int) bool {
	return slices.Contains(laterFields[typ.String()], typ.Field(index).Name)
}

// filled returns a value of the type of sample in which no field of 6cad5d2 is zero, and
// all fields that were added later are zero.
func filled(sample any) any { return filledBy(&filler{}, sample) }

// filledCompletely returns a value of the type of sample in which no field is zero.
func filledCompletely(sample any) any { return filledBy(&filler{includesLater: true}, sample) }

func filledBy(f *filler, sample any) any {
	value := reflect.New(reflect.TypeOf(sample)).Elem()
	f.fill(value)
	return value.Interface()
}

func (f *filler) fill(value reflect.Value) {
	f.count++
	fills := map[reflect.Kind]func(){
		reflect.Bool:    func() { value.SetBool(true) },
		reflect.String:  func() { value.SetString(fmt.Sprintf("text-%d", f.count)) },
		reflect.Int:     func() { value.SetInt(int64(f.count)) },
		reflect.Int64:   func() { value.SetInt(int64(f.count) * 1_000_003) },
		reflect.Uint8:   func() { value.SetUint(uint64(f.count % 251)) },
		reflect.Uint64:  func() { value.SetUint(uint64(f.count) * 1_000_033) },
		reflect.Float64: func() { value.SetFloat(float64(f.count) + 0.25) },
		reflect.Pointer: func() {
			value.Set(reflect.New(value.Type().Elem()))
			f.fill(value.Elem())
		},
		reflect.Struct: func() {
			for i := range value.NumField() {
				if f.includesLater || !isLaterField(value.Type(), i) {
					f.fill(value.Field(i))
				}
			}
		},
		reflect.Array: func() {
			for i := range value.Len() {
				f.fill(value.Index(i))
			}
		},
		reflect.Slice: func() {
			value.Set(reflect.MakeSlice(value.Type(), 2, 2))
			f.fill(value.Index(0))
			f.fill(value.Index(1))
		},
		reflect.Map: func() {
			key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
			f.fill(key)
			f.fill(element)
			value.Set(reflect.MakeMap(value.Type()))
			value.SetMapIndex(key, element)
		},
	}
	fill, isSupported := fills[value.Kind()]
	if !isSupported {
		panic(fmt.Sprintf("unsupported kind %s of a field in a message or a stored record", value.Kind()))
	}
	fill()
}
