// Package bindings reads and checks what operators send to change the bindings
// of the cluster: binding sets in the product's own form or as routes of the
// Kubernetes Gateway API, changes scheduled for later, and manifests. The shape
// of a body was checked against the schema before; the checks here need to know
// the databases, the clock, or several fields at once. Each reader gives all
// violations at once, so that operators can mend them in one go.
package bindings

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
)

// MaxScheduleAhead is the furthest ahead that a change may be scheduled.
const MaxScheduleAhead = 366 * 24 * time.Hour

// MinFreshness is the least staleness of a replica that can be promised; a
// freshness of 0 means reads from the primary only.
const MinFreshness = 50 * time.Millisecond

// bindingPaths are the formats of the JSON paths at which a binding's fields
// stand in a body; each takes the binding's index.
type bindingPaths struct{ name, database, freshness string }

var (
	plainPaths = bindingPaths{
		name:      "/bindings/%d/name",
		database:  "/bindings/%d/database",
		freshness: "/bindings/%d/freshness_ms",
	}
	routePaths = bindingPaths{
		name:      "/routes/%d/metadata/name",
		database:  "/routes/%d/spec/rules/0/backendRefs/0/name",
		freshness: "/routes/%d/metadata/annotations/" + FreshnessAnnotation,
	}
)

// Parse reads a binding set in either form, and gives every violation that
// keeps it from being accepted.
func Parse(value *fastjson.Value, databaseExists func(name string) bool) ([]model.Binding, []schema.Violation) {
	if value.Exists("routes") {
		bindings, violations := parseRoutes(value)
		return bindings, append(violations, validate(bindings, databaseExists, routePaths)...)
	}
	var bindings []model.Binding
	for _, item := range value.GetArray("bindings") {
		bindings = append(bindings, model.Binding{
			Name:      text(item, "name"),
			Database:  text(item, "database"),
			Freshness: milliseconds(item, "freshness_ms"),
		})
	}
	return bindings, validate(bindings, databaseExists, plainPaths)
}

func validate(bindings []model.Binding, databaseExists func(name string) bool, paths bindingPaths) []schema.Violation {
	var violations violationList
	indexByName := map[string]int{}
	for index, binding := range bindings {
		if first, duplicate := indexByName[binding.Name]; duplicate && binding.Name != "" {
			violations.add(fmt.Sprintf(paths.name, index), "name %q stands already at %s", binding.Name, fmt.Sprintf(paths.name, first))
		}
		indexByName[binding.Name] = index
		if binding.Database != "" && !databaseExists(binding.Database) {
			violations.add(fmt.Sprintf(paths.database, index), "unknown database %q", binding.Database)
		}
		if binding.Freshness > 0 && binding.Freshness < MinFreshness {
			violations.add(fmt.Sprintf(paths.freshness, index), "no replica can be held this fresh: 0 (strict), or 50 and more")
		}
	}
	return violations
}

// ParseScheduledTime reads the wall time, in ns since 1970, for which a change
// is scheduled, and checks it against the current wall time in ns.
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
