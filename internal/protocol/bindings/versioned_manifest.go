package bindings

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
)

func milliseconds(value *fastjson.Value, key string) time.Duration {
	return time.Duration(value.GetInt64(key)) * time.Millisecond
}

// Versioned reads a whole manifest whose shape was checked, with the bytes
// that the operator sent, and gives every reason why it cannot be taken.
func ParseManifest(value *fastjson.Value) (model.BindingSet, []byte, []schema.Violation) {
	set := model.BindingSet{Version: value.GetUint64("version")}
	var violations []schema.Violation
	fault := func(reason, path string, parts ...any) {
		violations = append(violations, schema.Violation{Path: fmt.Sprintf(path, parts...), Reason: reason})
	}
	if set.Version == 0 {
		fault("a version is 1 or more", "/version")
	}
	known := map[string]bool{}
	for at, item := range value.GetArray("databases") {
		database := model.Database{
			Name: string(item.GetStringBytes("name")), MaxConnections: item.GetInt("connections"), MinSyncReplicas: item.GetInt("synced"),
		}
		if known[database.Name] {
			fault(fmt.Sprintf("database %q stands twice", database.Name), "/databases/%d/name", at)
		}
		known[database.Name] = true
		set.Databases = append(set.Databases, database)
	}
	seen := map[string]bool{}
	for at, item := range value.GetArray("bindings") {
		binding := model.Binding{
			Name: string(item.GetStringBytes("name")), Database: string(item.GetStringBytes("database")),
			Freshness: milliseconds(item, "freshness_ms"), ReadYourWrites: item.GetBool("own"), Timeout: milliseconds(item, "timeout_ms"),
			LatencyTarget: milliseconds(item, "target_ms"), Priority: item.GetInt("priority"), MaxAttempts: item.GetInt("tries"),
		}
		if seen[binding.Name] {
			fault(fmt.Sprintf("name %q stands twice", binding.Name), "/bindings/%d/name", at)
		}
		if !known[binding.Database] {
			fault(fmt.Sprintf("unknown database %q", binding.Database), "/bindings/%d/database", at)
		}
		if binding.Timeout == 0 {
			fault("a statement needs time: 1 and more", "/bindings/%d/timeout_ms", at)
		}
		seen[binding.Name] = true
		set.Bindings = append(set.Bindings, binding)
	}
	limits := value.Get("limits")
	set.Limits = model.Limits{MaxMessageBytes: limits.GetInt("message_bytes"), IdleTimeout: milliseconds(limits, "idle_ms"), TransactionIdleTimeout: milliseconds(limits, "inside_ms")}
	raw, err := base64.StdEncoding.DecodeString(string(value.GetStringBytes("raw")))
	if err != nil {
		fault("not base64", "/raw")
	}
	return set, raw, violations
}

// Write gives a manifest in the product's own form.
func EncodeManifest(set model.BindingSet) map[string]any {
	bindings, databases := []map[string]any{}, []map[string]any{}
	for _, binding := range set.Bindings {
		bindings = append(bindings, map[string]any{
			"name": binding.Name, "database": binding.Database, "freshness_ms": binding.Freshness.Milliseconds(), "own": binding.ReadYourWrites,
			"timeout_ms": binding.Timeout.Milliseconds(), "target_ms": binding.LatencyTarget.Milliseconds(),
			"priority": binding.Priority, "tries": binding.MaxAttempts,
		})
	}
	for _, database := range set.Databases {
		databases = append(databases, map[string]any{"name": database.Name, "connections": database.MaxConnections, "synced": database.MinSyncReplicas})
	}
	return map[string]any{
		"version": set.Version, "bindings": bindings, "databases": databases,
		"limits": map[string]any{
			"message_bytes": set.Limits.MaxMessageBytes, "idle_ms": set.Limits.IdleTimeout.Milliseconds(), "inside_ms": set.Limits.TransactionIdleTimeout.Milliseconds(),
		},
	}
}
