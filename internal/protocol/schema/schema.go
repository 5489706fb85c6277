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
const ErrShape = errors.ConstError("body not of the fixed shape")

//go:embed schema.json
var file []byte

const id = "https://tansyseam.example/schema/v1"

// Fault is one reason why a body is refused, with its JSON path.
type Fault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Call is one entry of the schema file's table of calls.
type Call struct {
	Path    string
	For     string
	Request string
	Answer  string
}

// Book is the compiled schema file.
type Book struct {
	calls map[string]Call
	defs  map[string]*jsonschema.Schema
}

// File gives the schema file as it is served.
func File() []byte { return file }

// Open compiles the schema file.
func Open() (*Book, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(file))
	if err != nil {
		return nil, errors.Annotate(err, "schema file")
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(id, doc); err != nil {
		return nil, errors.Annotate(err, "schema file")
	}
	root := doc.(map[string]any)
	book := &Book{calls: map[string]Call{}, defs: map[string]*jsonschema.Schema{}}
	for name := range root["$defs"].(map[string]any) {
		compiled, err := compiler.Compile(id + "#/$defs/" + name)
		if err != nil {
			return nil, errors.Annotatef(err, "schema %s", name)
		}
		book.defs[name] = compiled
	}
	for path, entry := range root["calls"].(map[string]any) {
		fields := entry.(map[string]any)
		call := Call{Path: path, For: fields["for"].(string), Request: fields["request"].(string), Answer: fields["answer"].(string)}
		if book.defs[call.Request] == nil || book.defs[call.Answer] == nil {
			return nil, errors.Errorf("schema call %s names an unknown shape", path)
		}
		book.calls[path] = call
	}
	return book, nil
}

// Calls lists the calls by path.
func (b *Book) Calls() []Call {
	var calls []Call
	for _, call := range b.calls {
		calls = append(calls, call)
	}
	slices.SortFunc(calls, func(a, c Call) int { return strings.Compare(a.Path, c.Path) })
	return calls
}

// Request parses and checks a call's body; an empty body stands for {}.
func (b *Book) Request(path string, body []byte) (*fastjson.Value, []Fault) {
	call, isKnown := b.calls[path]
	if !isKnown {
		return nil, []Fault{{Path: "", Reason: "no such call"}}
	}
	return b.check(call.Request, body)
}

// Answer checks an answer's body, or a refusal's where isRefusal.
func (b *Book) Answer(path string, body []byte, isRefusal bool) []Fault {
	name := "Refusal"
	if !isRefusal {
		name = b.calls[path].Answer
	}
	_, faults := b.check(name, body)
	return faults
}

func (b *Book) check(name string, body []byte) (*fastjson.Value, []Fault) {
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
	}
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, []Fault{{Path: "", Reason: "malformed JSON: " + short(err.Error())}}
	}
	var faults []Fault
	plain := Plain(value, "", &faults)
	var problem *jsonschema.ValidationError
	if err := b.defs[name].Validate(plain); errors.As(err, &problem) {
		gather(problem, &faults)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return value, nil
}

func short(text string) string {
	if len(text) > 120 {
		return text[:120]
	}
	return text
}

var printer = message.NewPrinter(language.English)

func gather(problem *jsonschema.ValidationError, faults *[]Fault) {
	if len(problem.Causes) == 0 {
		path := ""
		for _, part := range problem.InstanceLocation {
			path += "/" + part
		}
		*faults = append(*faults, Fault{Path: path, Reason: problem.ErrorKind.LocalizedString(printer)})
		return
	}
	for _, cause := range problem.Causes {
		gather(cause, faults)
	}
}

type plainer func(value *fastjson.Value, path string, faults *[]Fault) any

var plainers map[fastjson.Type]plainer

func init() {
	plainers = map[fastjson.Type]plainer{
		fastjson.TypeNull:  func(*fastjson.Value, string, *[]Fault) any { return nil },
		fastjson.TypeTrue:  func(*fastjson.Value, string, *[]Fault) any { return true },
		fastjson.TypeFalse: func(*fastjson.Value, string, *[]Fault) any { return false },
		fastjson.TypeString: func(value *fastjson.Value, _ string, _ *[]Fault) any {
			return string(value.GetStringBytes())
		},
		fastjson.TypeNumber: func(value *fastjson.Value, _ string, _ *[]Fault) any { return value.GetFloat64() },
		fastjson.TypeArray: func(value *fastjson.Value, path string, faults *[]Fault) any {
			items := []any{}
			for at, item := range value.GetArray() {
				items = append(items, Plain(item, fmt.Sprintf("%s/%d", path, at), faults))
			}
			return items
		},
		fastjson.TypeObject: func(value *fastjson.Value, path string, faults *[]Fault) any {
			fields := map[string]any{}
			value.GetObject().Visit(func(key []byte, field *fastjson.Value) {
				name := string(key)
				if _, isTwice := fields[name]; isTwice {
					*faults = append(*faults, Fault{Path: path + "/" + name, Reason: "key given twice"})
				}
				fields[name] = Plain(field, path+"/"+name, faults)
			})
			return fields
		},
	}
}

// Plain turns a parsed value into plain Go values, noting keys given twice.
func Plain(value *fastjson.Value, path string, faults *[]Fault) any {
	return plainers[value.Type()](value, path, faults)
}
