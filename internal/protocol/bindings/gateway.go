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

type fields map[string]func(r *reader, value *fastjson.Value, path string)

type reader struct {
	binding model.Binding
	faults  []schema.Fault
	hasName bool
	hasBase bool
	hasKind bool
}

func (r *reader) fault(path, format string, parts ...any) {
	r.faults = append(r.faults, schema.Fault{Path: path, Reason: fmt.Sprintf(format, parts...)})
}

var routeFields, metadataFields, annotationFields, specFields, ruleFields, backendFields fields

func init() {
	routeFields = fields{
		"apiVersion": func(r *reader, value *fastjson.Value, path string) {
			if text := string(value.GetStringBytes()); !strings.HasPrefix(text, gatewayGroup) {
				r.fault(path, "must be of %s", gatewayGroup)
			}
		},
		"kind": func(r *reader, value *fastjson.Value, path string) {
			r.hasKind = true
			if string(value.GetStringBytes()) != routeKind {
				r.fault(path, "must be %s", routeKind)
			}
		},
		"metadata": func(r *reader, value *fastjson.Value, path string) { r.walk(metadataFields, value, path) },
		"spec":     func(r *reader, value *fastjson.Value, path string) { r.walk(specFields, value, path) },
	}
	metadataFields = fields{
		"name": func(r *reader, value *fastjson.Value, path string) {
			r.binding.Name, r.hasName = r.name(value, path), true
		},
		"annotations": func(r *reader, value *fastjson.Value, path string) { r.walk(annotationFields, value, path) },
	}
	annotationFields = fields{
		FreshnessAnnotation: func(r *reader, value *fastjson.Value, path string) {
			number, err := strconv.Atoi(string(value.GetStringBytes()))
			if err != nil || number < 0 || number > 3600000 {
				r.fault(path, "must be a whole number of ms, as a string")
			}
			r.binding.Freshness = time.Duration(number) * time.Millisecond
		},
	}
	specFields = fields{
		"rules": func(r *reader, value *fastjson.Value, path string) { r.only(ruleFields, value, path) },
	}
	ruleFields = fields{
		"backendRefs": func(r *reader, value *fastjson.Value, path string) { r.only(backendFields, value, path) },
	}
	backendFields = fields{
		"name": func(r *reader, value *fastjson.Value, path string) {
			r.binding.Database, r.hasBase = r.name(value, path), true
		},
	}
}

func (r *reader) name(value *fastjson.Value, path string) string {
	text := string(value.GetStringBytes())
	isOdd := func(char rune) bool {
		return !(char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || strings.ContainsRune("-._", char))
	}
	if text == "" || len(text) > 63 || strings.IndexFunc(text, isOdd) >= 0 || strings.ContainsRune("-._", rune(text[0])) {
		r.fault(path, "must be a name of 1 to 63 letters, digits, '-', '.' or '_'")
	}
	return text
}

func (r *reader) walk(known fields, value *fastjson.Value, path string) {
	object, err := value.Object()
	if err != nil {
		r.fault(path, "must be an object")
		return
	}
	object.Visit(func(key []byte, field *fastjson.Value) {
		name := string(key)
		take, isKnown := known[name]
		if !isKnown {
			r.fault(path+"/"+name, "field %q is not supported", name)
			return
		}
		take(r, field, path+"/"+name)
	})
}

func (r *reader) only(known fields, value *fastjson.Value, path string) {
	list, err := value.Array()
	if err != nil || len(list) != 1 {
		r.fault(path, "must hold just one entry")
		return
	}
	r.walk(known, list[0], path+"/0")
}

// Routes translates a set given in the manner of the Gateway API into
// bindings: one TCPRoute each, its name the binding's, its one backend the
// database. A field that is not supported is refused by name.
func Routes(value *fastjson.Value) ([]model.Binding, []schema.Fault) {
	var bindings []model.Binding
	var faults []schema.Fault
	for at, route := range value.GetArray("routes") {
		path := fmt.Sprintf("/routes/%d", at)
		r := &reader{}
		r.walk(routeFields, route, path)
		missing := map[string]bool{"kind": !r.hasKind, "metadata.name": !r.hasName, "spec.rules[0].backendRefs[0].name": !r.hasBase}
		var names []string
		for name, isMissing := range missing {
			if isMissing {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			r.fault(path, "%s is missing", name)
		}
		faults = append(faults, r.faults...)
		bindings = append(bindings, r.binding)
	}
	return bindings, faults
}
