// Package promotion writes the call that asks the product's own platform
// interface to make a replica the primary.
package promotion

import (
	"encoding/json"
	"net/http"

	"tansyseam/internal/protocol/adapter"
)

const promotePath = "/platform/promote"

// body is the body of the call.
type body struct {
	Database string `json:"database"`
	Instance string `json:"instance"`
	Term     uint64 `json:"term"`
}

// NewRequest returns the call that makes an instance the primary of a term. Its
// outcome is learned by observing the instance: the answer may be lost.
func NewRequest(database, instance string, term uint64) adapter.Request {
	// Strings and numbers always encode.
	encoded, _ := json.Marshal(body{Database: database, Instance: instance, Term: term})
	return adapter.Request{Method: http.MethodPost, Path: promotePath, Body: encoded}
}
