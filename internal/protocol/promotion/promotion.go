// Package promotion builds the request that promotes a replica through the
// product's own platform interface.
package promotion

import (
	"encoding/json"
	"net/http"

	"tansyseam/internal/protocol/adapter"
)

const promotePath = "/platform/promote"

// body is the JSON body of the promote request.
type body struct {
	Database string `json:"database"`
	Instance string `json:"instance"`
	Term     uint64 `json:"term"`
}

// NewRequest returns the request that makes an instance the primary of a term. The
// caller must determine the outcome by observing the instance, because the answer
// may be lost.
func NewRequest(database, instance string, term uint64) adapter.Request {
	// Marshal cannot fail for strings and numbers.
	encoded, _ := json.Marshal(body{Database: database, Instance: instance, Term: term})
	return adapter.Request{Method: http.MethodPost, Path: promotePath, Body: encoded}
}
