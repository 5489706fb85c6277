package store

import (
	"bytes"
	"encoding/gob"

	"github.com/juju/errors"
)

// ErrDecode is returned when data is not an encoded value of the expected type.
const ErrDecode = errors.ConstError("record not decodable")

// Encode returns the bytes of a value that has an encoded form (see package encoded).
// It panics if gob cannot encode the type, which is a defect of the program.
func Encode[Encoded any, Value interface{ Encoded() Encoded }](value Value) []byte {
	return EncodePlain(value.Encoded())
}

// EncodePlain returns the bytes of a value without a separate encoded form. The fields
// are stored under their names in the code, so these names must never change. It panics
// if gob cannot encode the type.
func EncodePlain(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(errors.Annotatef(err, "encode %T", value))
	}
	return buffer.Bytes()
}

// Decode decodes a value that was encoded by Encode, and converts it from its encoded
// form with from. It returns ErrDecode if data does not hold that encoded form.
func Decode[Value, Encoded any](data []byte, from func(Encoded) Value) (Value, error) {
	var encoded Encoded
	if err := DecodePlain(data, &encoded); err != nil {
		return *new(Value), err
	}
	return from(encoded), nil
}

// DecodePlain decodes a value that was encoded by EncodePlain into target. It returns
// ErrDecode if data does not match the type of target.
func DecodePlain(data []byte, target any) error {
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(target); err != nil {
		return errors.WithType(errors.Trace(err), ErrDecode)
	}
	return nil
}

// Get returns the value of one record. It returns false if the record does not exist or
// cannot be decoded.
func Get[Value, Encoded any](t *Table, key string, from func(Encoded) Value) (Value, bool) {
	record, found := t.Records[key]
	if !found {
		return *new(Value), false
	}
	value, err := Decode(record.Data, from)
	return value, err == nil
}

// GetPlain returns the value of one record that was encoded by EncodePlain. It returns
// false if the record does not exist or cannot be decoded.
func GetPlain[Value any](t *Table, key string) (Value, bool) {
	var value Value
	record, found := t.Records[key]
	if !found || DecodePlain(record.Data, &value) != nil {
		return *new(Value), false
	}
	return value, true
}
