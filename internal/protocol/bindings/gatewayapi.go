package bindings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
)

// FreshnessAnnotation is the annotation of a route that holds the binding's
// freshness, in milliseconds.
const FreshnessAnnotation = "tansyseam.example/freshness-ms"

const (
	gatewayGroup = "gateway.networking.k8s.io/"
	routeKind    = "TCPRoute"
	// maxNameLength and maxFreshnessMillis equal the limits in the schema.
	maxNameLength      = 63
	maxFreshnessMillis = 3600000
	// namePunctuation holds the punctuation that a name may contain, except as its
	// first character.
	namePunctuation = "-._"
)

// parseRoutes parses a binding set given as routes of the Kubernetes Gateway API.
// Each binding is a TCPRoute with the binding's name, and the route's only backend
// is the database. An unsupported field is reported as a violation that names the
// field.
func parseRoutes(value *fastjson.Value) ([]model.Binding, []schema.Violation) {
	var bindings []model.Binding
	var violations []schema.Violation
	for index, route := range value.GetArray("routes") {
		reader := readRoute(route, fmt.Sprintf("/routes/%d", index))
		violations = append(violations, reader.violations...)
		bindings = append(bindings, reader.binding)
	}
	return bindings, violations
}

// routeReader collects the binding and the violations of one route.
type routeReader struct {
	binding     model.Binding
	violations  violationList
	hasName     bool
	hasDatabase bool
	hasKind     bool
}

func readRoute(route *fastjson.Value, path string) *routeReader {
	r := &routeReader{}
	r.readObject(routeFields, route, path)
	for _, required := range []struct {
		name    string
		present bool
	}{
		{"kind", r.hasKind},
		{"metadata.name", r.hasName},
		{"spec.rules[0].backendRefs[0].name", r.hasDatabase},
	} {
		if !required.present {
			r.violations.add(path, "%s is missing", required.name)
		}
	}
	return r
}

// fieldReaders maps each supported field of an object to the function that reads
// it.
type fieldReaders map[string]func(r *routeReader, value *fastjson.Value, path string)

// The supported fields of a route, from the innermost object to the outermost:
// each table refers to the tables declared before it.
var (
	backendFields = fieldReaders{"name": (*routeReader).readDatabase}

	ruleFields = fieldReaders{
		"backendRefs": func(r *routeReader, value *fastjson.Value, path string) { r.readSingle(backendFields, value, path) },
	}

	specFields = fieldReaders{
		"rules": func(r *routeReader, value *fastjson.Value, path string) { r.readSingle(ruleFields, value, path) },
	}

	annotationFields = fieldReaders{FreshnessAnnotation: (*routeReader).readFreshness}

	metadataFields = fieldReaders{
		"name":        (*routeReader).readBindingName,
		"annotations": func(r *routeReader, value *fastjson.Value, path string) { r.readObject(annotationFields, value, path) },
	}

	routeFields = fieldReaders{
		"apiVersion": (*routeReader).readAPIVersion,
		"kind":       (*routeReader).readKind,
		"metadata":   func(r *routeReader, value *fastjson.Value, path string) { r.readObject(metadataFields, value, path) },
		"spec":       func(r *routeReader, value *fastjson.Value, path string) { r.readObject(specFields, value, path) },
	}
)

func (r *routeReader) readAPIVersion(value *fastjson.Value, path string) {
	if !strings.HasPrefix(string(value.GetStringBytes()), gatewayGroup) {
		r.violations.add(path, "must be of %s", gatewayGroup)
	}
}

func (r *routeReader) readKind(value *fastjson.Value, path string) {
	r.hasKind = true
	if string(value.GetStringBytes()) != routeKind {
		r.violations.add(path, "must be %s", routeKind)
	}
}

func (r *routeReader) readBindingName(value *fastjson.Value, path string) {
	r.binding.Name, r.hasName = r.readName(value, path), true
}

func (r *routeReader) readDatabase(value *fastjson.Value, path string) {
	r.binding.Database, r.hasDatabase = r.readName(value, path), true
}

func (r *routeReader) readFreshness(value *fastjson.Value, path string) {
	number, err := strconv.Atoi(string(value.GetStringBytes()))
	if err != nil || number < 0 || number > maxFreshnessMillis {
		r.violations.add(path, "must be a whole number of ms, as a string")
	}
	r.binding.Freshness = time.Duration(number) * time.Millisecond
}

func (r *routeReader) readName(value *fastjson.Value, path string) string {
	name := string(value.GetStringBytes())
	if !isName(name) {
		r.violations.add(path, "must be a name of 1 to 63 letters, digits, '-', '.' or '_'")
	}
	return name
}

func isName(name string) bool {
	if name == "" || len(name) > maxNameLength || strings.ContainsRune(namePunctuation, rune(name[0])) {
		return false
	}
	return !strings.ContainsFunc(name, func(char rune) bool { return !isNameRune(char) })
}

func isNameRune(char rune) bool {
	isLetter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
	isDigit := char >= '0' && char <= '9'
	return isLetter || isDigit || strings.ContainsRune(namePunctuation, char)
}

// readObject reads the supported fields of an object, and reports any other field
// as a violation.
func (r *routeReader) readObject(supported fieldReaders, value *fastjson.Value, path string) {
	object, err := value.Object()
	if err != nil {
		r.violations.add(path, "must be an object")
		return
	}
	object.Visit(func(key []byte, field *fastjson.Value) {
		name := string(key)
		readField, isSupported := supported[name]
		if !isSupported {
			r.violations.add(path+"/"+name, "field %q is not supported", name)
			return
		}
		readField(r, field, path+"/"+name)
	})
}

// readSingle reads the object in a list that must have exactly one entry.
func (r *routeReader) readSingle(supported fieldReaders, value *fastjson.Value, path string) {
	list, err := value.Array()
	if err != nil || len(list) != 1 {
		r.violations.add(path, "must hold just one entry")
		return
	}
	r.readObject(supported, list[0], path+"/0")
}
