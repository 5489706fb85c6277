package control

import (
	"encoding/json"

	"tansyseam/internal/app/admin"
)

// The JSON keys of the types below are fixed by the schema of the product's
// calls. Their fields stand in the alphabetical order of the keys, since
// answers have always been written so.

type healthAnswer struct {
	Backup   string `json:"backup"`
	Epoch    uint64 `json:"epoch"`
	Ready    bool   `json:"is_ready"`
	Node     string `json:"node"`
	Primary  string `json:"primary"`
	Sequence uint64 `json:"sequence"`
	Reason   string `json:"why"`
}

type putBindingsAnswer struct {
	Sequence uint64 `json:"sequence"`
}

type scheduleChangeAnswer struct {
	EffectiveAtMillis int64  `json:"at_ms"`
	ID                string `json:"id"`
}

type scheduledChange struct {
	EffectiveAtMillis int64           `json:"at_ms"`
	Bindings          []admin.Binding `json:"bindings"`
	ID                string          `json:"id"`
}

type listChangesAnswer struct {
	Changes []scheduledChange `json:"changes"`
}

type manifestVersion struct {
	Version uint64 `json:"version"`
}

// rawManifest is a manifest as the operator sent it, in base64.
type rawManifest struct {
	Raw     string `json:"raw"`
	Version uint64 `json:"version"`
}

// encode writes an answer as JSON. The answers of this package hold nothing
// that JSON cannot write.
func encode(answer any) []byte {
	data, _ := json.Marshal(answer)
	return data
}
