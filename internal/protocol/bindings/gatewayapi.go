package bindings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
)

// FreshnessAnnotation carries a binding's freshness in a route.
const FreshnessAnnotation = "tansyseam.example/freshness-ms"

const (
	gatewayGroup = "gateway.networking.k8s.io/"
	routeKind    = "TCPRoute"
)

type fieldReaders map[string]func(r *routeReader, value *fastjson.Value, path string)

type routeReader struct {
	binding     model.Binding
	violations  []schema.Violation
	hasName     bool
	hasDatabase bool
	hasKind     bool
}

func (r *routeReader) addViolation(path, format string, parts ...any) {
	r.violations = append(r.violations, schema.Violation{Path: path, Reason: fmt.Sprintf(format, parts...)})
}

var routeFields, metadataFields, annotationFields, specFields, ruleFields, backendFields fieldReaders

func init() {
	routeFields = fieldReaders{
		"apiVersion": func(r *routeReader, value *fastjson.Value, path string) {
			if text := string(value.GetStringBytes()); !strings.HasPrefix(text, gatewayGroup) {
				r.addViolation(path, "must be of %s", gatewayGroup)
			}
		},
		"kind": func(r *routeReader, value *fastjson.Value, path string) {
			r.hasKind = true
			if string(value.GetStringBytes()) != routeKind {
				r.addViolation(path, "must be %s", routeKind)
			}
		},
		"metadata": func(r *routeReader, value *fastjson.Value, path string) { r.readObject(metadataFields, value, path) },
		"spec":     func(r *routeReader, value *fastjson.Value, path string) { r.readObject(specFields, value, path) },
	}
	metadataFields = fieldReaders{
		"name": func(r *routeReader, value *fastjson.Value, path string) {
			r.binding.Name, r.hasName = r.readName(value, path), true
		},
		"annotations": func(r *routeReader, value *fastjson.Value, path string) { r.readObject(annotationFields, value, path) },
	}
	annotationFields = fieldReaders{
		FreshnessAnnotation: func(r *routeReader, value *fastjson.Value, path string) {
			number, err := strconv.Atoi(string(value.GetStringBytes()))
			if err != nil || number < 0 || number > 3600000 {
				r.addViolation(path, "must be a whole number of ms, as a string")
			}
			r.binding.Freshness = time.Duration(number) * time.Millisecond
		},
	}
	specFields = fieldReaders{
		"rules": func(r *routeReader, value *fastjson.Value, path string) { r.readSingle(ruleFields, value, path) },
	}
	ruleFields = fieldReaders{
		"backendRefs": func(r *routeReader, value *fastjson.Value, path string) { r.readSingle(backendFields, value, path) },
	}
	backendFields = fieldReaders{
		"name": func(r *routeReader, value *fastjson.Value, path string) {
			r.binding.Database, r.hasDatabase = r.readName(value, path), true
		},
	}
}

func (r *routeReader) readName(value *fastjson.Value, path string) string {
	text := string(value.GetStringBytes())
	invalid := func(char rune) bool {
		return !(char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || strings.ContainsRune("-._", char))
	}
	if text == "" || len(text) > 63 || strings.IndexFunc(text, invalid) >= 0 || strings.ContainsRune("-._", rune(text[0])) {
		r.addViolation(path, "must be a name of 1 to 63 letters, digits, '-', '.' or '_'")
	}
	return text
}

func (r *routeReader) readObject(known fieldReaders, value *fastjson.Value, path string) {
	object, err := value.Object()
	if err != nil {
		r.addViolation(path, "must be an object")
		return
	}
	object.Visit(func(key []byte, field *fastjson.Value) {
		name := string(key)
		take, supported := known[name]
		if !supported {
			r.addViolation(path+"/"+name, "field %q is not supported", name)
			return
		}
		take(r, field, path+"/"+name)
	})
}

func (r *routeReader) readSingle(known fieldReaders, value *fastjson.Value, path string) {
	list, err := value.Array()
	if err != nil || len(list) != 1 {
		r.addViolation(path, "must hold just one entry")
		return
	}
	r.readObject(known, list[0], path+"/0")
}

// Routes translates a set given in the manner of the Gateway API into
// bindings: one TCPRoute each, its name the binding's, its one backend the
// database. A field that is not supported is refused by name.
func ParseRoutes(value *fastjson.Value) ([]model.Binding, []schema.Violation) {
	var bindings []model.Binding
	var violations []schema.Violation
	for at, route := range value.GetArray("routes") {
		path := fmt.Sprintf("/routes/%d", at)
		r := &routeReader{}
		r.readObject(routeFields, route, path)
		missing := map[string]bool{"kind": !r.hasKind, "metadata.name": !r.hasName, "spec.rules[0].backendRefs[0].name": !r.hasDatabase}
		var names []string
		for name, absent := range missing {
			if absent {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			r.addViolation(path, "%s is missing", name)
		}
		violations = append(violations, r.violations...)
		bindings = append(bindings, r.binding)
	}
	return bindings, violations
}
