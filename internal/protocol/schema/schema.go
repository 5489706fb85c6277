// Package schema holds the JSON Schema document that defines the bodies of all
// remote calls, and validates requests and answers against it.
package schema

import (
	"bytes"
	_ "embed"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// ErrInvalidDocument is returned when the embedded schema document is invalid, which
// is a defect of the build.
const ErrInvalidDocument = errors.ConstError("invalid schema document")

//go:embed schema.json
var document []byte

const (
	schemaID   = "https://tansyseam.example/schema/v1"
	shapesPath = schemaID + "#/$defs/"
	// refusalShape is the shape of every answer that reports an error.
	refusalShape = "Refusal"
)

// Document returns the schema document, as the nodes serve it.
func Document() []byte { return document }

// endpoint holds the names of the shapes of a remote call's request and answer.
type endpoint struct {
	Request string `json:"request"`
	Answer  string `json:"answer"`
}

// documentContents holds the remote calls of the schema document by path, and its
// shapes by name.
type documentContents struct {
	Endpoints map[string]endpoint        `json:"calls"`
	Shapes    map[string]json.RawMessage `json:"$defs"`
}

// NewValidator compiles the schema document and returns a validator for it. Errors
// are of type ErrInvalidDocument.
func NewValidator() (*Validator, error) {
	var contents documentContents
	if err := json.Unmarshal(document, &contents); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "schema file"), ErrInvalidDocument)
	}
	validator := &Validator{endpoints: contents.Endpoints, shapes: map[string]*jsonschema.Schema{}}
	if err := validator.compile(contents.Shapes); err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrInvalidDocument)
	}
	for path, endpoint := range contents.Endpoints {
		if validator.shapes[endpoint.Request] == nil || validator.shapes[endpoint.Answer] == nil {
			return nil, errors.WithType(errors.Errorf("schema call %s names an unknown shape", path), ErrInvalidDocument)
		}
	}
	return validator, nil
}

func (v *Validator) compile(shapes map[string]json.RawMessage) error {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return errors.Annotate(err, "schema file")
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaID, parsed); err != nil {
		return errors.Annotate(err, "schema file")
	}
	for name := range shapes {
		compiled, err := compiler.Compile(shapesPath + name)
		if err != nil {
			return errors.Annotatef(err, "schema %s", name)
		}
		v.shapes[name] = compiled
	}
	return nil
}
