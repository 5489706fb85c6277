// Package bindings reads and checks operators' binding sets as fastjson
// values.
package bindings

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
)

// Longest is the furthest ahead that a change may be booked.
const Longest = 366 * 24 * time.Hour

// Bindings reads a set whose shape was checked, in either form, and gives
// every reason why it cannot be taken.
func Bindings(value *fastjson.Value, knows func(database string) bool) ([]model.Binding, []schema.Fault) {
	if value.Exists("routes") {
		bindings, faults := Routes(value)
		return bindings, append(faults, check(bindings, knows, "/routes/%d/metadata/name", "/routes/%d/spec/rules/0/backendRefs/0/name", "/routes/%d/metadata/annotations/"+FreshnessAnnotation)...)
	}
	var bindings []model.Binding
	for _, item := range value.GetArray("bindings") {
		bindings = append(bindings, model.Binding{
			Name:      string(item.GetStringBytes("name")),
			Database:  string(item.GetStringBytes("database")),
			Freshness: time.Duration(item.GetInt64("freshness_ms")) * time.Millisecond,
		})
	}
	return bindings, check(bindings, knows, "/bindings/%d/name", "/bindings/%d/database", "/bindings/%d/freshness_ms")
}

func check(bindings []model.Binding, knows func(string) bool, namePath, databasePath, freshnessPath string) []schema.Fault {
	var faults []schema.Fault
	seen := map[string]int{}
	for at, binding := range bindings {
		if before, isTwice := seen[binding.Name]; isTwice && binding.Name != "" {
			faults = append(faults, schema.Fault{
				Path: fmt.Sprintf(namePath, at), Reason: fmt.Sprintf("name %q stands already at %s", binding.Name, fmt.Sprintf(namePath, before)),
			})
		}
		seen[binding.Name] = at
		if binding.Database != "" && !knows(binding.Database) {
			faults = append(faults, schema.Fault{
				Path: fmt.Sprintf(databasePath, at), Reason: fmt.Sprintf("unknown database %q", binding.Database),
			})
		}
		if binding.Freshness > 0 && binding.Freshness < 50*time.Millisecond {
			faults = append(faults, schema.Fault{
				Path: fmt.Sprintf(freshnessPath, at), Reason: "no replica can be held this fresh: 0 (strict), or 50 and more",
			})
		}
	}
	return faults
}

// Moment reads a booked moment and checks it against the clock.
func Moment(value *fastjson.Value, wall int64) (int64, []schema.Fault) {
	at := value.GetInt64("at_ms") * int64(time.Millisecond)
	if at < wall {
		return at, []schema.Fault{{Path: "/at_ms", Reason: "moment lies in the past"}}
	}
	if at > wall+int64(Longest) {
		return at, []schema.Fault{{Path: "/at_ms", Reason: "moment lies more than a year ahead"}}
	}
	return at, nil
}

// Put writes a set's bindings as JSON.
func Put(arena *fastjson.Arena, bindings []model.Binding) *fastjson.Value {
	list := arena.NewArray()
	for at, binding := range bindings {
		item := arena.NewObject()
		item.Set("name", arena.NewString(binding.Name))
		item.Set("database", arena.NewString(binding.Database))
		item.Set("freshness_ms", arena.NewNumberInt(int(binding.Freshness/time.Millisecond)))
		list.SetArrayItem(at, item)
	}
	return list
}
