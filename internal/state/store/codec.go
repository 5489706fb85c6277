package store

import (
	"bytes"
	"encoding/gob"

	"github.com/juju/errors"
)

// ErrDecode says that bytes are not an encoded value of the wanted type.
const ErrDecode = errors.ConstError("record not decodable")

// Encode gives the bytes of a value that has an encoded form (see package encoded).
// It panics where gob cannot encode the type, which is a defect of the program.
func Encode[Encoded any, Value interface{ Encoded() Encoded }](value Value) []byte {
	return EncodePlain(value.Encoded())
}

// EncodePlain gives the bytes of a value whose fields are stored under the names that
// they have in the code, which must then never change. It panics where gob cannot
// encode the type.
func EncodePlain(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(errors.Annotatef(err, "encode %T", value))
	}
	return buffer.Bytes()
}

// Decode reads what Encode wrote; from converts the encoded form. The error is
// ErrDecode where data is not of that form.
func Decode[Value, Encoded any](data []byte, from func(Encoded) Value) (Value, error) {
	var encoded Encoded
	if err := DecodePlain(data, &encoded); err != nil {
		return *new(Value), err
	}
	return from(encoded), nil
}

// DecodePlain reads what EncodePlain wrote. The error is ErrDecode where data is not
// of the form of into.
func DecodePlain(data []byte, target any) error {
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(target); err != nil {
		return errors.WithType(errors.Trace(err), ErrDecode)
	}
	return nil
}

// Get reads one record; it gives false where there is none, or an unreadable one.
func Get[Value, Encoded any](t *Table, key string, from func(Encoded) Value) (Value, bool) {
	record, found := t.Records[key]
	if !found {
		return *new(Value), false
	}
	value, err := Decode(record.Data, from)
	return value, err == nil
}

// GetPlain reads one record that was written by EncodePlain; it gives false where
// there is none, or an unreadable one.
func GetPlain[Value any](t *Table, key string) (Value, bool) {
	var value Value
	record, found := t.Records[key]
	if !found || DecodePlain(record.Data, &value) != nil {
		return *new(Value), false
	}
	return value, true
}
