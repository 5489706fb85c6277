package schema

import (
	"bytes"
	"strings"

	"github.com/juju/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/valyala/fastjson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// maxErrorLength limits the length of a JSON parser's error in an answer, in bytes.
const maxErrorLength = 120

// Violation is one reason why a body is rejected, with the JSON path of the
// invalid value.
type Violation struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Validator validates bodies against the compiled schema document.
type Validator struct {
	endpoints map[string]endpoint
	shapes    map[string]*jsonschema.Schema
}

// ValidateRequest parses and validates the request body of a call. An empty body is
// treated as {}. It returns the parsed value if the body is valid, or else all
// violations.
func (v *Validator) ValidateRequest(path string, body []byte) (*fastjson.Value, []Violation) {
	endpoint, found := v.endpoints[path]
	if !found {
		return nil, []Violation{{Reason: "no such call"}}
	}
	return v.validate(endpoint.Request, body)
}

// ValidateAnswer validates the body of an answer to a call. If refusal is set, the
// answer must have the shape of answers that report an error.
func (v *Validator) ValidateAnswer(path string, body []byte, refusal bool) []Violation {
	shape := refusalShape
	if !refusal {
		shape = v.endpoints[path].Answer
	}
	_, violations := v.validate(shape, body)
	return violations
}

func (v *Validator) validate(shape string, body []byte) (*fastjson.Value, []Violation) {
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
	}
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, []Violation{{Reason: "malformed JSON: " + truncate(err.Error())}}
	}
	var violations []Violation
	decoded := Decode(value, "", &violations)
	var invalid *jsonschema.ValidationError
	if err := v.shapes[shape].Validate(decoded); errors.As(err, &invalid) {
		collectViolations(invalid, &violations)
	}
	if len(violations) > 0 {
		return nil, violations
	}
	return value, nil
}

func truncate(text string) string { return text[:min(len(text), maxErrorLength)] }

var printer = message.NewPrinter(language.English)

// collectViolations appends a violation for each leaf of a tree of validation errors.
func collectViolations(invalid *jsonschema.ValidationError, violations *[]Violation) {
	for _, cause := range invalid.Causes {
		collectViolations(cause, violations)
	}
	if len(invalid.Causes) > 0 {
		return
	}
	*violations = append(*violations, Violation{
		Path: jsonPath(invalid.InstanceLocation), Reason: invalid.ErrorKind.LocalizedString(printer),
	})
}

func jsonPath(location []string) string {
	var path strings.Builder
	for _, part := range location {
		path.WriteString("/" + part)
	}
	return path.String()
}
