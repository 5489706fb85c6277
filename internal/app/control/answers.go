package control

import (
	"encoding/json"

	"tansyseam/internal/app/admin"
)

// The schema of the API fixes the JSON keys of the types below. The fields are
// declared in the alphabetical order of their keys, because answers have always
// been encoded in that order.

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

// rawManifest holds the bytes of a manifest as the operator sent them, encoded as
// base64.
type rawManifest struct {
	Raw     string `json:"raw"`
	Version uint64 `json:"version"`
}

// encode returns an answer as JSON. It ignores the error, because the answers of
// this package contain only values that JSON can represent.
func encode(answer any) []byte {
	data, _ := json.Marshal(answer)
	return data
}
