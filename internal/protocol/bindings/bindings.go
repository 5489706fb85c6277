// Package bindings parses and validates the bodies that operators send to change
// the cluster's bindings: binding sets in the product's own form or as routes of
// the Kubernetes Gateway API, scheduled changes, and manifests.
//
// The caller has already validated the shape of a body against the schema. The
// checks here are those that the schema does not make, such as the checks of a
// route's fields, and those that need the known databases, the clock, or several
// fields at once. Each function returns all violations together, so that an
// operator can correct them in one step.
package bindings

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
)

// MaxScheduleAhead is the longest time in advance that a change may be scheduled.
const MaxScheduleAhead = 366 * 24 * time.Hour

// MinFreshness is the smallest bound on a replica's staleness that can be
// guaranteed. A freshness of 0 is also valid: it means that reads go to the primary
// only.
const MinFreshness = 50 * time.Millisecond

// bindingPaths holds the format strings of the JSON paths of a binding's fields in
// a body. Each format takes the binding's index.
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

// Parse parses a binding set in either form. It returns the bindings and every
// violation for which the set must be rejected.
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

// ParseScheduledTime parses the wall time for which a change is scheduled, and
// checks it against the current wall time. Both times are Unix times: nanoseconds
// since 1970.
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
