package bindings

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/protocol/schema"
	"tansyseam/internal/state/model"
)

// ParseManifest parses a manifest that has passed the schema: the operator's own
// version, bindings, databases and limits. It returns the manifest, the manifest's
// original text as the operator wrote it (empty if the call does not include it),
// and every violation for which the manifest must be rejected.
func ParseManifest(value *fastjson.Value) (model.BindingSet, []byte, []schema.Violation) {
	p := &manifestParser{
		set:           model.BindingSet{Version: value.GetUint64("version")},
		databaseNames: map[string]bool{},
		bindingNames:  map[string]bool{},
	}
	if p.set.Version == 0 {
		p.violations.add("/version", "a version is 1 or more")
	}
	for index, item := range value.GetArray("databases") {
		p.readDatabase(index, item)
	}
	for index, item := range value.GetArray("bindings") {
		p.readBinding(index, item)
	}
	p.readLimits(value.Get("limits"))
	raw, err := base64.StdEncoding.DecodeString(string(value.GetStringBytes("raw")))
	if err != nil {
		p.violations.add("/raw", "not base64")
	}
	return p.set, raw, p.violations
}

// manifestParser collects a manifest and the violations found in it.
type manifestParser struct {
	set model.BindingSet
	// databaseNames and bindingNames hold the names parsed so far.
	databaseNames map[string]bool
	bindingNames  map[string]bool
	violations    violationList
}

func (p *manifestParser) readDatabase(index int, item *fastjson.Value) {
	database := model.Database{
		Name:            text(item, "name"),
		MaxConnections:  item.GetInt("connections"),
		MinSyncReplicas: item.GetInt("synced"),
	}
	if p.databaseNames[database.Name] {
		p.violations.add(fmt.Sprintf("/databases/%d/name", index), "database %q stands twice", database.Name)
	}
	p.databaseNames[database.Name] = true
	p.set.Databases = append(p.set.Databases, database)
}

func (p *manifestParser) readBinding(index int, item *fastjson.Value) {
	binding := model.Binding{
		Name:           text(item, "name"),
		Database:       text(item, "database"),
		Freshness:      milliseconds(item, "freshness_ms"),
		ReadYourWrites: item.GetBool("own"),
		Timeout:        milliseconds(item, "timeout_ms"),
		LatencyTarget:  milliseconds(item, "target_ms"),
		Priority:       item.GetInt("priority"),
		MaxAttempts:    item.GetInt("tries"),
	}
	if p.bindingNames[binding.Name] {
		p.violations.add(fmt.Sprintf("/bindings/%d/name", index), "name %q stands twice", binding.Name)
	}
	if !p.databaseNames[binding.Database] {
		p.violations.add(fmt.Sprintf("/bindings/%d/database", index), "unknown database %q", binding.Database)
	}
	if binding.Timeout == 0 {
		p.violations.add(fmt.Sprintf("/bindings/%d/timeout_ms", index), "a statement needs time: 1 and more")
	}
	p.bindingNames[binding.Name] = true
	p.set.Bindings = append(p.set.Bindings, binding)
}

func (p *manifestParser) readLimits(limits *fastjson.Value) {
	p.set.Limits = model.Limits{
		MaxMessageBytes:        limits.GetInt("message_bytes"),
		IdleTimeout:            milliseconds(limits, "idle_ms"),
		TransactionIdleTimeout: milliseconds(limits, "inside_ms"),
	}
}

// Manifest is a manifest in the form of the product's own schema. The fields
// are in the alphabetical order of their JSON keys, because answers have always
// been encoded in that order.
type Manifest struct {
	Bindings  []ManifestBinding  `json:"bindings"`
	Databases []ManifestDatabase `json:"databases"`
	Limits    ManifestLimits     `json:"limits"`
	Version   uint64             `json:"version"`
}

// ManifestBinding is a binding of a Manifest. Durations are in milliseconds.
type ManifestBinding struct {
	Database            string `json:"database"`
	FreshnessMillis     int64  `json:"freshness_ms"`
	Name                string `json:"name"`
	ReadYourWrites      bool   `json:"own"`
	Priority            int    `json:"priority"`
	LatencyTargetMillis int64  `json:"target_ms"`
	TimeoutMillis       int64  `json:"timeout_ms"`
	MaxAttempts         int    `json:"tries"`
}

// ManifestDatabase is a database of a Manifest.
type ManifestDatabase struct {
	MaxConnections  int    `json:"connections"`
	Name            string `json:"name"`
	MinSyncReplicas int    `json:"synced"`
}

// ManifestLimits holds the limits of a Manifest: the size of a message in bytes,
// and how long a session may be idle outside and inside a transaction, in
// milliseconds. A value of 0 means that the manifest does not set the limit.
type ManifestLimits struct {
	IdleTimeoutMillis            int64 `json:"idle_ms"`
	TransactionIdleTimeoutMillis int64 `json:"inside_ms"`
	MaxMessageBytes              int   `json:"message_bytes"`
}

// NewManifest converts a binding set to the form of the product's schema, which
// ParseManifest parses. The lists of the result are never nil.
func NewManifest(set model.BindingSet) Manifest {
	manifest := Manifest{
		Bindings:  []ManifestBinding{},
		Databases: []ManifestDatabase{},
		Version:   set.Version,
		Limits: ManifestLimits{
			IdleTimeoutMillis:            set.Limits.IdleTimeout.Milliseconds(),
			TransactionIdleTimeoutMillis: set.Limits.TransactionIdleTimeout.Milliseconds(),
			MaxMessageBytes:              set.Limits.MaxMessageBytes,
		},
	}
	for _, binding := range set.Bindings {
		manifest.Bindings = append(manifest.Bindings, ManifestBinding{
			Database:            binding.Database,
			FreshnessMillis:     binding.Freshness.Milliseconds(),
			Name:                binding.Name,
			ReadYourWrites:      binding.ReadYourWrites,
			Priority:            binding.Priority,
			LatencyTargetMillis: binding.LatencyTarget.Milliseconds(),
			TimeoutMillis:       binding.Timeout.Milliseconds(),
			MaxAttempts:         binding.MaxAttempts,
		})
	}
	for _, database := range set.Databases {
		manifest.Databases = append(manifest.Databases, ManifestDatabase{
			MaxConnections:  database.MaxConnections,
			Name:            database.Name,
			MinSyncReplicas: database.MinSyncReplicas,
		})
	}
	return manifest
}

func text(value *fastjson.Value, key string) string { return string(value.GetStringBytes(key)) }

func milliseconds(value *fastjson.Value, key string) time.Duration {
	return time.Duration(value.GetInt64(key)) * time.Millisecond
}
