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
const MaxScheduleAhead = 366 * 24 * time.Hour

// Bindings reads a set whose shape was checked, in either form, and gives
// every reason why it cannot be taken.
func Parse(value *fastjson.Value, knows func(database string) bool) ([]model.Binding, []schema.Violation) {
	if value.Exists("routes") {
		bindings, violations := ParseRoutes(value)
		return bindings, append(violations, validate(bindings, knows, "/routes/%d/metadata/name", "/routes/%d/spec/rules/0/backendRefs/0/name", "/routes/%d/metadata/annotations/"+FreshnessAnnotation)...)
	}
	var bindings []model.Binding
	for _, item := range value.GetArray("bindings") {
		bindings = append(bindings, model.Binding{
			Name:      string(item.GetStringBytes("name")),
			Database:  string(item.GetStringBytes("database")),
			Freshness: time.Duration(item.GetInt64("freshness_ms")) * time.Millisecond,
		})
	}
	return bindings, validate(bindings, knows, "/bindings/%d/name", "/bindings/%d/database", "/bindings/%d/freshness_ms")
}

func validate(bindings []model.Binding, knows func(string) bool, namePath, databasePath, freshnessPath string) []schema.Violation {
	var violations []schema.Violation
	seen := map[string]int{}
	for at, binding := range bindings {
		if first, duplicate := seen[binding.Name]; duplicate && binding.Name != "" {
			violations = append(violations, schema.Violation{
				Path: fmt.Sprintf(namePath, at), Reason: fmt.Sprintf("name %q stands already at %s", binding.Name, fmt.Sprintf(namePath, first)),
			})
		}
		seen[binding.Name] = at
		if binding.Database != "" && !knows(binding.Database) {
			violations = append(violations, schema.Violation{
				Path: fmt.Sprintf(databasePath, at), Reason: fmt.Sprintf("unknown database %q", binding.Database),
			})
		}
		if binding.Freshness > 0 && binding.Freshness < 50*time.Millisecond {
			violations = append(violations, schema.Violation{
				Path: fmt.Sprintf(freshnessPath, at), Reason: "no replica can be held this fresh: 0 (strict), or 50 and more",
			})
		}
	}
	return violations
}

// Moment reads a booked moment and checks it against the clock.
func ParseScheduledTime(value *fastjson.Value, wallTime int64) (int64, []schema.Violation) {
	at := value.GetInt64("at_ms") * int64(time.Millisecond)
	if at < wallTime {
		return at, []schema.Violation{{Path: "/at_ms", Reason: "moment lies in the past"}}
	}
	if at > wallTime+int64(MaxScheduleAhead) {
		return at, []schema.Violation{{Path: "/at_ms", Reason: "moment lies more than a year ahead"}}
	}
	return at, nil
}

// Put writes a set's bindings as JSON.
func EncodeBindings(arena *fastjson.Arena, bindings []model.Binding) *fastjson.Value {
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
