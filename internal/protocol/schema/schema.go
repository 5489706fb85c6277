// Package schema holds the one file that fixes the shape of all remote
// calls, and holds requests and answers against it.
package schema

import (
	"bytes"
	_ "embed"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/valyala/fastjson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// ErrShape says that a body does not have the shape the schema gives it.
const ErrBadShape = errors.ConstError("body not of the fixed shape")

//go:embed schema.json
var document []byte

const schemaID = "https://tansyseam.example/schema/v1"

// Fault is one reason why a body is refused, with its JSON path.
type Violation struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Call is one entry of the schema file's table of calls.
type Endpoint struct {
	Path         string
	Purpose      string
	RequestShape string
	AnswerShape  string
}

// Book is the compiled schema file.
type Validator struct {
	endpoints map[string]Endpoint
	shapes    map[string]*jsonschema.Schema
}

// File gives the schema file as it is served.
func Document() []byte { return document }

// Open compiles the schema file.
func NewValidator() (*Validator, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return nil, errors.Annotate(err, "schema file")
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaID, doc); err != nil {
		return nil, errors.Annotate(err, "schema file")
	}
	root := doc.(map[string]any)
	validator := &Validator{endpoints: map[string]Endpoint{}, shapes: map[string]*jsonschema.Schema{}}
	for name := range root["$defs"].(map[string]any) {
		compiled, err := compiler.Compile(schemaID + "#/$defs/" + name)
		if err != nil {
			return nil, errors.Annotatef(err, "schema %s", name)
		}
		validator.shapes[name] = compiled
	}
	for path, entry := range root["calls"].(map[string]any) {
		fields := entry.(map[string]any)
		endpoint := Endpoint{Path: path, Purpose: fields["for"].(string), RequestShape: fields["request"].(string), AnswerShape: fields["answer"].(string)}
		if validator.shapes[endpoint.RequestShape] == nil || validator.shapes[endpoint.AnswerShape] == nil {
			return nil, errors.Errorf("schema call %s names an unknown shape", path)
		}
		validator.endpoints[path] = endpoint
	}
	return validator, nil
}

// Calls lists the calls by path.
func (v *Validator) Endpoints() []Endpoint {
	var calls []Endpoint
	for _, endpoint := range v.endpoints {
		calls = append(calls, endpoint)
	}
	slices.SortFunc(calls, func(a, c Endpoint) int { return strings.Compare(a.Path, c.Path) })
	return calls
}

// Request parses and checks a call's body; an empty body stands for {}.
func (v *Validator) ValidateRequest(path string, body []byte) (*fastjson.Value, []Violation) {
	endpoint, known := v.endpoints[path]
	if !known {
		return nil, []Violation{{Path: "", Reason: "no such call"}}
	}
	return v.validate(endpoint.RequestShape, body)
}

// Answer checks an answer's body, or a refusal's where isRefusal.
func (v *Validator) ValidateAnswer(path string, body []byte, refusal bool) []Violation {
	name := "Refusal"
	if !refusal {
		name = v.endpoints[path].AnswerShape
	}
	_, violations := v.validate(name, body)
	return violations
}

func (v *Validator) validate(name string, body []byte) (*fastjson.Value, []Violation) {
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
	}
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, []Violation{{Path: "", Reason: "malformed JSON: " + truncate(err.Error())}}
	}
	var violations []Violation
	decoded := Decode(value, "", &violations)
	var problem *jsonschema.ValidationError
	if err := v.shapes[name].Validate(decoded); errors.As(err, &problem) {
		collectViolations(problem, &violations)
	}
	if len(violations) > 0 {
		return nil, violations
	}
	return value, nil
}

func truncate(text string) string {
	if len(text) > 120 {
		return text[:120]
	}
	return text
}

var printer = message.NewPrinter(language.English)

func collectViolations(problem *jsonschema.ValidationError, violations *[]Violation) {
	if len(problem.Causes) == 0 {
		path := ""
		for _, part := range problem.InstanceLocation {
			path += "/" + part
		}
		*violations = append(*violations, Violation{Path: path, Reason: problem.ErrorKind.LocalizedString(printer)})
		return
	}
	for _, cause := range problem.Causes {
		collectViolations(cause, violations)
	}
}

type decoder func(value *fastjson.Value, path string, violations *[]Violation) any

var decoders map[fastjson.Type]decoder

func init() {
	decoders = map[fastjson.Type]decoder{
		fastjson.TypeNull:  func(*fastjson.Value, string, *[]Violation) any { return nil },
		fastjson.TypeTrue:  func(*fastjson.Value, string, *[]Violation) any { return true },
		fastjson.TypeFalse: func(*fastjson.Value, string, *[]Violation) any { return false },
		fastjson.TypeString: func(value *fastjson.Value, _ string, _ *[]Violation) any {
			return string(value.GetStringBytes())
		},
		fastjson.TypeNumber: func(value *fastjson.Value, _ string, _ *[]Violation) any { return value.GetFloat64() },
		fastjson.TypeArray: func(value *fastjson.Value, path string, violations *[]Violation) any {
			items := []any{}
			for at, item := range value.GetArray() {
				items = append(items, Decode(item, fmt.Sprintf("%s/%d", path, at), violations))
			}
			return items
		},
		fastjson.TypeObject: func(value *fastjson.Value, path string, violations *[]Violation) any {
			fields := map[string]any{}
			value.GetObject().Visit(func(key []byte, field *fastjson.Value) {
				name := string(key)
				if _, duplicate := fields[name]; duplicate {
					*violations = append(*violations, Violation{Path: path + "/" + name, Reason: "key given twice"})
				}
				fields[name] = Decode(field, path+"/"+name, violations)
			})
			return fields
		},
	}
}

// Plain turns a parsed value into plain Go values, noting keys given twice.
func Decode(value *fastjson.Value, path string, violations *[]Violation) any {
	return decoders[value.Type()](value, path, violations)
}
