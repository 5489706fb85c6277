// Package promotion is the narrow way in which the fleet meets its platform:
// the one call that makes a replica the new primary.
package promotion

import "encoding/json"

// Promote writes the call. Its outcome is never read from the answer, which
// may be lost, but learned by looking at the instance.
func NewRequest(database, instance string, term uint64) (string, []byte) {
	body, _ := json.Marshal(struct {
		Database string `json:"database"`
		Instance string `json:"instance"`
		Term     uint64 `json:"term"`
	}{database, instance, term})
	return "/platform/promote", body
}
